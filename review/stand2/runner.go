//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a sound runner of a service as PROTOCOL.md describes it.
type runner struct {
	world   *world
	id      string
	service string
	zone    string
	version string
	slots   int
	engine  bool
	address string
	born    int64
	server  *http.Server
	// command is the process of a runner that has its own, nil for others.
	command *exec.Cmd
	// serve answers a request that the runner runs.
	serve func(w http.ResponseWriter, r *http.Request, body []byte)

	mutex sync.Mutex
	// present: the model is loaded. A runner that starts again has nothing.
	present, busy bool
	sequence      int
	adapters      map[string]bool
	pending       map[string]bool
	active        int
	stopped       bool
	beatAt        time.Time
	// returnsAfter is how long after the end of an outage of the store the runner writes its entry again.
	returnsAfter time.Duration
	// silentUntil is when a runner that has started again writes its entry.
	silentUntil time.Time
}

const (
	modelName     = "m0"
	heartbeat     = 1200 * time.Millisecond
	adapterLoad   = 250 * time.Millisecond
	modelLoad     = 720 * time.Millisecond
	adapterSlots  = 5
	engineService = "lm"
	plainService  = "app"
)

// addRunner starts a runner, which registers itself.
func (w *world) addRunner(id, service, zone, version string) (*runner, error) {
	listener, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	r := newRunner(id, service, zone, version, listener.Addr().String())
	r.world = w
	go func() { _ = r.server.Serve(listener) }()
	go r.runHeartbeats()
	w.runners = append(w.runners, r)
	return r, nil
}

func newRunner(id, service, zone, version, address string) *runner {
	r := &runner{
		id: id, service: service, zone: zone, version: version, slots: 64, engine: service == engineService,
		address: address, born: time.Now().UnixMilli(), present: true, adapters: make(map[string]bool), pending: make(map[string]bool),
	}
	r.serve = r.answer
	r.server = &http.Server{Handler: r.handler()}
	return r
}

func (r *runner) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", r.health)
	mux.HandleFunc("GET /v1/report", r.report)
	mux.HandleFunc("POST /v1/order", r.order)
	mux.HandleFunc("/", r.request)
	return mux
}

// restart ends the runner as a crash does, and starts it again under its id and address after a while.
func (r *runner) restart(after time.Duration) error {
	r.world.note("%s crashes", r.id)
	r.mutex.Lock()
	r.silentUntil = time.Now().Add(after + heartbeat)
	r.mutex.Unlock()
	_ = r.server.Close()
	time.Sleep(after)
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mutex.Lock()
	r.born, r.sequence, r.present = time.Now().UnixMilli(), 0, false
	r.adapters, r.pending = make(map[string]bool), make(map[string]bool)
	r.server = &http.Server{Handler: r.handler()}
	server := r.server
	r.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	r.world.note("%s is back", r.id)
	return nil
}

// addProcess starts a runner that is a process of its own. Its entry is written for it, as it says in its reports.
func (w *world) addProcess(id, service, zone, version string) (*runner, error) {
	r := newRunner(id, service, zone, version, freeAddress())
	r.world = w
	r.command = exec.Command(os.Args[0], "runner", id, service, zone, version, r.address)
	r.command.Stderr = os.Stderr
	if err := r.command.Start(); err != nil {
		return nil, err
	}
	for until := time.Now().Add(5 * time.Second); !r.readReport() && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
	}
	go r.runHeartbeats()
	w.runners = append(w.runners, r)
	return r, nil
}

// readReport takes over what the process reports of itself.
func (r *runner) readReport() bool {
	response, err := http.Get("http://" + r.address + "/v1/report")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var report struct {
		Sequence int   `json:"sequence"`
		Born     int64 `json:"born"`
		Models   []struct {
			Adapters []string `json:"adapters"`
		} `json:"models"`
	}
	if json.NewDecoder(response.Body).Decode(&report) != nil {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sequence, r.born = report.Sequence, report.Born
	r.adapters = make(map[string]bool)
	for _, model := range report.Models {
		for _, adapter := range model.Adapters {
			name, _, _ := strings.Cut(adapter, "@")
			r.adapters[name] = true
		}
	}
	return true
}

// crash kills the process of a runner. It is not started again, and its entry ends after three heartbeats.
func (r *runner) crash() {
	r.world.note("%s crashes", r.id)
	r.mutex.Lock()
	r.stopped = true
	r.mutex.Unlock()
	_ = r.command.Process.Kill()
	_ = r.command.Wait()
	time.AfterFunc(3*heartbeat, func() { r.world.store.remove("servers/" + r.id) })
}

// runProcess is the process of a runner.
func runProcess(arguments []string) int {
	if len(arguments) != 5 {
		return exitNotRun
	}
	r := newRunner(arguments[0], arguments[1], arguments[2], arguments[3], arguments[4])
	r.serve = r.answerUnframed
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return exitNotRun
	}
	_ = r.server.Serve(listener)
	return exitHeld
}

func (r *runner) runHeartbeats() {
	for {
		r.mutex.Lock()
		stopped := r.stopped
		r.mutex.Unlock()
		if stopped {
			return
		}
		if r.command != nil {
			r.readReport()
		}
		r.mutex.Lock()
		silent := time.Until(r.silentUntil)
		r.mutex.Unlock()
		if silent > 0 {
			time.Sleep(silent)
			continue
		}
		if r.world.store.isDown() {
			r.awaitReturn()
			continue
		}
		r.beat()
		time.Sleep(heartbeat)
	}
}

// awaitReturn waits for the end of an outage of the store, which drops an entry that is not written for three heartbeats, and for
// the time after it.
func (r *runner) awaitReturn() {
	for r.world.store.isDown() {
		r.mutex.Lock()
		lapsed := time.Since(r.beatAt) > 3*heartbeat
		r.mutex.Unlock()
		if lapsed {
			r.world.store.lapse("servers/" + r.id)
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(r.returnsAfter)
}

// beat writes the entry of the runner.
func (r *runner) beat() {
	r.world.store.put("servers/"+r.id, r.entry())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.beatAt = time.Now()
}

// entry is what the runner writes of itself.
func (r *runner) entry() map[string]any {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": "ready",
		"cold-remaining-ms": 0, "stage": "unified", "models": r.models(), "sequence": r.sequence, "born": r.born,
	}
}

// models lists what the runner holds. The lock is held.
func (r *runner) models() []map[string]any {
	if !r.engine || !r.present {
		return []map[string]any{}
	}
	names := []string{}
	for name := range r.adapters {
		names = append(names, name+"@1")
	}
	return []map[string]any{{"name": modelName, "version": 1, "adapters": names}}
}

func (r *runner) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Instance-Id", r.id)
	w.WriteHeader(http.StatusOK)
}

func (r *runner) report(w http.ResponseWriter, _ *http.Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	pending := []string{}
	for name := range r.pending {
		pending = append(pending, modelName+"/"+name+"@1")
	}
	answer(w, http.StatusOK, map[string]any{
		"stage": "unified", "models": r.models(), "busy": r.busy, "sequence": r.sequence, "queued": 0, "active": r.active,
		"kv-used": 0, "kv-total": 120_000, "handles": 0, "pending": pending, "born": r.born,
	})
}

func (r *runner) order(w http.ResponseWriter, request *http.Request) {
	var body struct {
		Operation    string `json:"operation"`
		Model        string `json:"model"`
		Adapter      string `json:"adapter"`
		Precondition *int   `json:"precondition"`
		Holder       string `json:"holder"`
		Fence        int64  `json:"fencing-token"`
	}
	_ = json.NewDecoder(request.Body).Decode(&body)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	status := http.StatusAccepted
	switch {
	case request.Header.Get("X-Expect-Instance") != "" && request.Header.Get("X-Expect-Instance") != r.id:
		status = http.StatusMisdirectedRequest
	case body.Precondition != nil && *body.Precondition != r.sequence:
		status = http.StatusConflict
	case r.busy:
		status = http.StatusConflict
	case body.Operation == "loading" && (body.Adapter == "" && r.present || r.adapters[body.Adapter] || r.pending[body.Adapter]):
		status = http.StatusOK
	case body.Operation == "loading" && body.Adapter == "":
		r.sequence++
		r.busy = true
		time.AfterFunc(modelLoad, func() {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.busy, r.present = false, true
		})
	case body.Operation == "loading" && !r.present:
		status = http.StatusBadRequest
	case body.Operation == "loading":
		r.sequence++
		r.pending[body.Adapter] = true
		time.AfterFunc(adapterLoad, func() {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			delete(r.pending, body.Adapter)
			r.adapters[body.Adapter] = true
		})
	default:
		r.sequence++
		delete(r.adapters, body.Adapter)
		status = http.StatusOK
	}
	r.world.note("order at %s: %s %s from %s with fence %d: %d", r.id, body.Operation, body.Adapter, body.Holder, body.Fence, status)
	answer(w, status, map[string]any{})
}

// request turns a request away, or runs it.
func (r *runner) request(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, adapter, _ := strings.Cut(request.Header.Get("X-Model"), "/")
	r.mutex.Lock()
	missing := r.engine && (!r.present || adapter != "" && !r.adapters[adapter])
	r.mutex.Unlock()
	if missing {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	r.mutex.Lock()
	r.active++
	load := fmt.Sprintf("%d,0,%d", r.active, r.slots)
	r.mutex.Unlock()
	defer func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.active--
	}()
	w.Header().Set("X-Instance-Load", load)
	w.Header().Set("X-Server-Stamp", "stamp-"+r.id)
	r.serve(w, request, body)
}

// answer is the work of a usual runner: a short answer of a plain service, or a stream of ten events.
func (r *runner) answer(w http.ResponseWriter, request *http.Request, _ []byte) {
	if !r.engine {
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(w, "done by "+r.id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for number := last + 1; number <= 10; number++ {
		time.Sleep(30 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", number, r.version, number)
		w.(http.Flusher).Flush()
	}
}

// ---------------------------------------------------------------------------------------------

const (
	host        = "own.example"
	pathOnce    = "/once/"
	pathIdem    = "/idem/"
	pathStream  = "/stream/"
	pathSingle  = "/single/"
	keyUsual    = "key-usual"
	maxBodySize = 4194304
)

// streamTimeout is the time-out of the route of streams, in ms.
var streamTimeout = 15_000

// configure writes a configuration with the limits and times of the sheets, and with added routes.
func (w *world) configure(added ...string) {
	route := func(name, prefix, kind, service string, attempts, timeout, target int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "route-kind": kind, "service": service, "attempts": attempts,
			"resumable": resumable, "timeout-ms": timeout, "latency-target-ms": target, "max-gap-ms": 250, "priority": 1,
			"public": false, "sticky": kind == "streaming",
		}
	}
	routes := []map[string]any{
		route("once", pathOnce, "non_idempotent", plainService, 1, 1500, 150, false),
		route("idem", pathIdem, "idempotent", plainService, 2, 1500, 150, false),
		route("stream", pathStream, "streaming", engineService, 2, streamTimeout, 800, true),
		route("single", pathSingle, "streaming", engineService, 1, 8000, 1000, false),
	}
	for number, prefix := range added {
		routes = append(routes, route(fmt.Sprintf("added-%d", number), prefix, "idempotent", plainService, 2, 1500, 150, false))
	}
	w.store.put("op/config", map[string]any{
		"version": 7 + len(added), "routes": routes,
		"services": []map[string]any{
			{"name": plainService, "health-path": "/healthz", "max-connections": 400, "protocol": "h1", "tls": false},
			{"name": engineService, "health-path": "/healthz", "max-connections": 400, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv-capacity": 120_000, "size-mb": 66_500, "adapter-slots": adapterSlots, "loads-per-s": 2.1,
				"models": []map[string]any{{
					"name": modelName, "size-mb": 65_100, "load-time-s": 0.72, "adapters": 3000, "adapter-size-mb": 12,
				}},
			}},
		},
		"limits": map[string]any{
			"max-header-bytes": 16_384, "max-body-bytes": maxBodySize, "header-timeout-ms": 3000, "idle-timeout-ms": 15_000,
		},
		"tenants": []map[string]any{{
			"name": "usual", "api-keys": []string{keyUsual}, "unit": "tokens", "plain-tokens": 200, "rate-per-s": 0, "burst": 0,
		}},
	})
}
