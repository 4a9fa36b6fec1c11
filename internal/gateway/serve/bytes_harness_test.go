package serve_test

// A harness whose callers may read slowly: their connections have a backlog within an account.

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/gateway/backlog"
	"lacewingrock.example/lacewingrock/internal/gateway/memory"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/socket"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// bytesHarness is a harness with an account.
type bytesHarness struct {
	*harness
	account  *memory.Account
	backlogs *backlog.Backlogs
	scope    tally.TestScope
}

// newBytesHarness returns a harness with the account of an instance of a size, with routes that take bodies of 4 MiB.
func newBytesHarness(t *testing.T, megabytes int64, responders ...http.HandlerFunc) *bytesHarness {
	t.Helper()
	h := &bytesHarness{harness: newHarness(t), scope: tally.NewTestScope("", nil)}
	h.server.Close()
	h.account = &memory.Account{Limit: memory.LimitOf(megabytes), Scope: h.scope}
	h.backlogs = &backlog.Backlogs{Account: h.account, Log: zerolog.Nop(), Scope: h.scope}
	h.handler.Memory = h.account
	h.handler.Scope = h.scope
	configuration := h.fleet.table.Load().Configuration
	configuration.Limits.BodyBytes = 4 << 20
	configuration.Workspaces = []traffic.Workspace{{Name: "own", Keys: []string{key}, Rate: 1e9, Burst: 1e9, DefaultCost: 1}}
	// Services of their own, so that requests of one kind say nothing of the queues of the others.
	services := map[string]traffic.Service{"app": {Name: "app"}}
	for _, name := range []string{"slow", "large"} {
		services[name] = traffic.Service{Name: name}
		configuration.Routes = append(configuration.Routes, traffic.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Execution: traffic.AtMostOnce, MaxAttempts: 1,
			Timeout: 3 * time.Second, Targets: []traffic.Target{{Service: name, Weight: 1}},
		})
	}
	h.handler.State.WithLock(func(state *serve.SharedState) { state.Pool.Configure(services) })
	h.fleet.table.Store(traffic.NewTable(configuration))
	for i, respond := range responders {
		h.declare("app", fmt.Sprint("u", i), respond)
	}
	listener, err := socket.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.server = httptest.NewUnstartedServer(h.handler)
	h.server.Listener.Close()
	h.server.Listener = h.backlogs.Listener(smallBuffers{listener})
	h.server.Start()
	t.Cleanup(h.server.Close)
	return h
}

// smallBuffers is a listener whose connections keep little in the kernel, as on a slow link.
type smallBuffers struct{ net.Listener }

func (l smallBuffers) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return accepted, setSendBuffer(accepted, 32<<10)
}

// declare starts an upstream that keeps nothing of what it receives.
func (h *bytesHarness) declare(service, id string, respond http.HandlerFunc) {
	h.declareUnread(service, id, func(rw http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		rw.Header().Set(headerID, r.Header.Get(headerID))
		respond(rw, r)
	})
}

// declareUnread starts an upstream that reads no body by itself.
func (h *bytesHarness) declareUnread(service, id string, respond http.HandlerFunc) {
	server := httptest.NewServer(respond)
	h.t.Cleanup(server.Close)
	h.handler.State.WithLock(func(state *serve.SharedState) {
		state.Pool.Declare(time.Now(), traffic.Upstream{
			ID: id, Service: service, Address: strings.TrimPrefix(server.URL, "http://"), BatchSlots: 1000, Software: "v1",
		})
	})
}

// isInFlight reports whether an attempt at an upstream has not ended.
func (h *bytesHarness) isInFlight(id string) (is bool) {
	h.handler.State.WithLock(func(state *serve.SharedState) { is = state.Pool.HasOwnLoad(id) })
	return is
}

// awaitEmptyAccount fails the test unless all is released soon: a handler may end after its response.
func (h *bytesHarness) awaitEmptyAccount() {
	h.t.Helper()
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		now, _ := h.account.Total()
		switch {
		case now == 0:
			return
		case time.Since(begun) > time.Second:
			h.t.Fatalf("%d bytes are still held", now)
		}
	}
}

// excesses returns how many attempts were ended because an upstream sent too much, for a reason.
func (h *bytesHarness) excesses(reason string) int64 {
	counter := h.scope.Snapshot().Counters()["excessive_responses+reason="+reason]
	if counter == nil {
		return 0
	}
	return counter.Value()
}

// slowDialer returns a dialer whose connections take few bytes that are not read.
func slowDialer() *net.Dialer {
	return &net.Dialer{ControlContext: func(_ context.Context, _, _ string, raw rawConnection) error {
		return setReceiveBuffer(raw, 8<<10)
	}}
}

// slowClient returns a client whose connections take few bytes that are not read.
func slowClient(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{DialContext: slowDialer().DialContext, DisableKeepAlives: true, ReadBufferSize: 4 << 10}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// readSlowly reads a body in parts with a pause before each.
func readSlowly(body io.Reader, part int, pause time.Duration) (length int, err error) {
	buffer := make([]byte, part)
	for {
		time.Sleep(pause)
		n, err := io.ReadFull(body, buffer)
		length += n
		if err == io.EOF || err == io.ErrUnexpectedEOF && n > 0 {
			_, err = body.Read(buffer) // a body that broke off says so again
		}
		if err == io.EOF {
			return length, nil
		}
		if err != nil {
			return length, err
		}
	}
}

// heapWatch records the most that the heap has in use.
type heapWatch struct {
	before uint64
	most   atomic.Uint64
	stop   chan struct{}
	done   chan struct{}
}

func watchHeap() *heapWatch {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	w := &heapWatch{before: stats.HeapInuse, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *heapWatch) run() {
	defer close(w.done)
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		w.most.Store(max(w.most.Load(), stats.HeapInuse))
	}
}

// growth returns by how much the heap grew at most, in MiB.
func (w *heapWatch) growth() float64 {
	close(w.stop)
	<-w.done
	return float64(max(w.most.Load(), w.before)-w.before) / (1 << 20)
}

// impatient is an upstream that ends a response which is not read for some time. It writes a body with a length, or events.
type impatient struct {
	length   int
	patience time.Duration
	stream   bool
	whole    atomic.Int32
	ended    atomic.Int32
	took     atomic.Int64
}

func (u *impatient) respond(rw http.ResponseWriter, r *http.Request) {
	connection, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	begun := time.Now()
	_ = setSendBuffer(connection, 16<<10)
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s1\r\nContent-Length: %d\r\n\r\n",
		headerID, r.Header.Get(headerID), headerSigned, u.length)
	piece := []byte(strings.Repeat("x", 8<<10))
	if u.stream {
		piece = []byte("data: " + strings.Repeat("x", 8<<10-8) + "\n\n")
	}
	for left := u.length; left > 0; left -= len(piece) {
		_ = connection.SetWriteDeadline(time.Now().Add(u.patience))
		if _, err := connection.Write(piece[:min(left, len(piece))]); err != nil {
			u.ended.Add(1)
			_ = connection.(*net.TCPConn).SetLinger(0)
			return
		}
	}
	u.whole.Add(1)
	u.took.Store(int64(time.Since(begun)))
}
