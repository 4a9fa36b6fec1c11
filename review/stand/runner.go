//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner.go has the stand-ins of runners. They are sound: they do what "PROTOCOL.md" says of runners without a fault.

// heartbeat is how often a runner writes its entry.
const heartbeat = 1200 * time.Millisecond

// runner listens at an address of its own and serves one request at a time on a connection. run answers a request and reports
// whether the connection goes on.
type runner struct {
	id, service, zone, address string
	// version is that of the runner's software.
	version string
	slots   int
	born    int64
	run     func(c *runnerConnection, r *http.Request, body []byte) bool
	// models lists what the runner holds, for its entry and its report; nil for a runner without models.
	models func() []any

	listener net.Listener
	gone     chan struct{}

	mutex    sync.Mutex
	open     []net.Conn
	sequence int
	ran      map[string]int
}

type runnerConnection struct {
	net.Conn
	reader *bufio.Reader
}

func newRunner(id, service, zone string, slots int, run func(c *runnerConnection, r *http.Request, body []byte) bool) *runner {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	r := &runner{
		id: id, service: service, zone: zone, address: listener.Addr().String(), slots: slots, run: run, born: time.Now().UnixMilli(),
		ran: map[string]int{}, version: "v1", listener: listener, gone: make(chan struct{}),
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			r.mutex.Lock()
			r.open = append(r.open, connection)
			r.mutex.Unlock()
			go r.serve(connection)
		}
	}()
	return r
}

// exit ends the runner: it listens no more, and all its connections are closed.
func (r *runner) exit() {
	r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, connection := range r.open {
		connection.Close()
	}
}

// unregister ends the heartbeats and removes the entry, as for a runner that leaves without a word and goes on serving for a time.
func (r *runner) unregister(s *store) {
	close(r.gone)
	s.remove("servers/" + r.id)
}

// register writes the runner's entry now and with each heartbeat.
func (r *runner) register(s *store) {
	s.put("servers/"+r.id, r.entry())
	go func() {
		for {
			select {
			case <-r.gone:
				return
			case <-time.After(heartbeat):
				s.put("servers/"+r.id, r.entry())
			}
		}
	}()
}

func (r *runner) entry() map[string]any {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	models := []any{}
	if r.models != nil {
		models = r.models()
	}
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": "ready",
		"cold-remaining-ms": 0, "sequence": r.sequence, "born": r.born, "models": models,
	}
}

func (r *runner) serve(connection net.Conn) {
	defer connection.Close()
	c := &runnerConnection{Conn: connection, reader: bufio.NewReader(connection)}
	for {
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		expected := request.Header.Get("X-Expect-Instance")
		switch {
		case expected != "" && expected != r.id:
			c.answer(request, 421, "X-Not-Executed: 1\r\n", "")
		case request.URL.Path == "/healthz":
			c.answer(request, 200, "X-Instance-Id: "+r.id+"\r\n", "")
		default:
			if !r.run(c, request, body) {
				return
			}
		}
	}
}

// answer sends a whole answer.
func (c *runnerConnection) answer(r *http.Request, status int, header, body string) bool {
	id := ""
	if sent := r.Header.Get("X-Request-Id"); sent != "" {
		id = "X-Request-Id: " + sent + "\r\n"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, header, len(body), body)
	return err == nil
}

// begin counts a run and writes it to the record.
func (r *runner) begin(request *http.Request) (id string) {
	id = request.Header.Get("X-Request-Id")
	r.mutex.Lock()
	r.ran[id]++
	r.mutex.Unlock()
	note("%s: runs request %s: %s %s, host %s", r.id, id, request.Method, request.RequestURI, request.Host)
	return id
}

// runs returns how often a request has run.
func (r *runner) runs(id string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ran[id]
}

// -----------------------------------------------------------------------------------------------

// adapterLoad is how long an adapter takes to load.
const adapterLoad = 250 * time.Millisecond

// modelRunner is a runner with one model and adapters, which it loads and unloads as it is ordered.
type modelRunner struct {
	*runner
	// present has the adapters, and since when they are loaded. unloading are those that wait for their runs to end.
	present   map[string]time.Time
	unloading map[string]bool
	running   map[string]int
	fence     int
	// unfenced: fences are not checked.
	unfenced bool
}

const (
	modelName  = "m0"
	pieceEvery = 200 * time.Millisecond
	// pieceTokens is how many tokens are in a piece of a stream.
	pieceTokens = 4
)

func newModelRunner(id, zone string, adapters ...string) *modelRunner {
	m := &modelRunner{present: map[string]time.Time{}, unloading: map[string]bool{}, running: map[string]int{}}
	for _, adapter := range adapters {
		m.present[adapter] = time.Now()
	}
	m.runner = newRunner(id, "lm-pool", zone, 64, m.handle)
	m.models = func() []any {
		names := []string{}
		for adapter, since := range m.present {
			if !time.Now().Before(since) {
				names = append(names, adapter+"@1")
			}
		}
		return []any{map[string]any{"name": modelName, "version": 1, "adapters": names}}
	}
	return m
}

func (m *modelRunner) handle(c *runnerConnection, r *http.Request, body []byte) bool {
	switch r.URL.Path {
	case "/v1/report":
		return c.answer(r, 200, "Content-Type: application/json\r\n", m.report())
	case "/v1/order":
		return c.answer(r, m.order(body), "", "")
	}
	return m.generate(c, r)
}

func (m *modelRunner) report() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	active := 0
	for _, count := range m.running {
		active += count
	}
	pending := []string{}
	for adapter, since := range m.present {
		if time.Now().Before(since) {
			pending = append(pending, modelName+"/"+adapter+"@1")
		}
	}
	text, err := json.Marshal(map[string]any{
		"stage": "unified", "models": m.models(), "busy": false, "sequence": m.sequence, "queued": 0, "active": active, "pending": pending,
		"kv-used": 1480 * active, "kv-total": 123223, "handles": 0, "born": m.born,
	})
	must(err)
	return string(text)
}

// order carries out an order and returns the status of the answer.
func (m *modelRunner) order(body []byte) int {
	var order struct {
		Operation    string `json:"operation"`
		Adapter      string `json:"adapter"`
		Holder       string `json:"holder"`
		Fence        int    `json:"fencing-token"`
		Precondition *int   `json:"precondition"`
	}
	if json.Unmarshal(body, &order) != nil || order.Holder == "" || order.Fence == 0 {
		return 400
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if order.Fence < m.fence && !m.unfenced {
		return 412
	}
	m.fence = order.Fence
	since, present := m.present[order.Adapter]
	loaded := present && !time.Now().Before(since)
	load := order.Operation == "loading"
	if order.Adapter == "" || load && loaded || !load && !present {
		return 200 // the model is always present
	}
	if load && present || !load && m.unloading[order.Adapter] {
		return 202 // under way
	}
	if order.Precondition != nil && *order.Precondition != m.sequence {
		return 409
	}
	m.sequence++
	note("%s: order of %s: %s %s", m.id, order.Holder, order.Operation, order.Adapter)
	switch {
	case load:
		m.present[order.Adapter] = time.Now().Add(adapterLoad)
		return 202
	case m.running[order.Adapter] > 0:
		m.unloading[order.Adapter] = true
		return 202
	}
	delete(m.present, order.Adapter)
	return 200
}

// generate runs a request: it streams pieces in chunks.
func (m *modelRunner) generate(c *runnerConnection, r *http.Request) bool {
	_, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	m.mutex.Lock()
	since, present := m.present[adapter]
	switch {
	case m.unloading[adapter]:
		m.mutex.Unlock()
		return c.answer(r, 503, "X-Not-Executed: 1\r\n", "")
	case !present || time.Now().Before(since):
		m.mutex.Unlock()
		return c.answer(r, 421, "X-Not-Executed: 1\r\n", "")
	}
	m.running[adapter]++
	m.mutex.Unlock()
	defer func() {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.running[adapter]--
		if m.running[adapter] == 0 && m.unloading[adapter] {
			delete(m.unloading, adapter)
			delete(m.present, adapter)
		}
	}()
	id := m.begin(r)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Server-Stamp: stamp-%s\r\nX-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id, id); err != nil {
		return false
	}
	_, output, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	tokens, _ := strconv.Atoi(output)
	for number := 1; number <= tokens/pieceTokens; number++ {
		event := "id: " + strconv.Itoa(number) + "\ndata: piece\n\n"
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(pieceEvery)
	}
	_, err := fmt.Fprintf(c, "0\r\n\r\n")
	return err == nil
}

// engineService is the entry of a service of model runners in the configuration.
func engineService(adapterSlots, memoryTokens int) map[string]any {
	return map[string]any{"name": "lm-pool", "max-connections": 360, "health-path": "/healthz", "engine": map[string]any{
		"slots": 64, "kv-capacity": memoryTokens, "size-mb": 66500, "adapter-slots": adapterSlots,
		"models": []any{map[string]any{"name": modelName, "size-mb": 65100, "load-time-s": 0.72, "adapters": 3000, "adapter-size-mb": 12}},
	}}
}
