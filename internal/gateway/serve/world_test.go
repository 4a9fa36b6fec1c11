package serve_test

// The world of these tests: a handler before upstreams that answer as they are told.

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/forward"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/retry"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// world is a handler before some upstreams, with callers who speak HTTP to it.
type world struct {
	t         *testing.T
	handler   *serve.Handler
	server    *httptest.Server
	fleet     *fleet
	upstreams []*upstream
}

type fleet struct {
	table atomic.Pointer[traffic.Table]
	// outdated: changes may be missing.
	outdated bool
	mutex    sync.Mutex
	broken   []string
}

func (f *fleet) Table() *traffic.Table                       { return f.table.Load() }
func (f *fleet) NewestVersion(traffic.Adapter) (int64, bool) { return 0, false }
func (f *fleet) QueryHolder(context.Context, string)         {}
func (f *fleet) ConfirmedAge() time.Duration                 { return 0 }
func (f *fleet) MayBeStale() bool                            { return f.outdated }
func (f *fleet) PublishSpent()                               {}
func (f *fleet) NotifyHolder(string)                         {}
func (f *fleet) ReportBrokenResponse(u traffic.Upstream, _ suspect.Fingerprint) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.broken = append(f.broken, u.ID)
}

func (f *fleet) Prepare(context.Context, mesh.PrepareRequest) mesh.PrepareResult {
	return mesh.Loaded{Version: 1}
}

// upstream answers as a test says and keeps the requests that reached it.
type upstream struct {
	id     string
	server *httptest.Server
	mutex  sync.Mutex
	seen   []*http.Request
	bodies []string
}

func (u *upstream) requests() []*http.Request {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.seen
}

const key = "secret"

func newWorld(t *testing.T, answers ...http.HandlerFunc) *world {
	t.Helper()
	w := &world{t: t, fleet: &fleet{}}
	p := &pool.Pool{Settings: pool.DefaultSettings()}
	configuration := traffic.Configuration{
		Version:  3,
		Services: map[string]traffic.Service{"app": {Name: "app"}},
		Limits:   traffic.CallerLimits{BodyBytes: 1000},
		Workspaces: []traffic.Workspace{
			{Name: "own", Keys: []string{key}, Rate: 1000, Burst: 1000, ByTokens: true, DefaultCost: 10},
		},
	}
	for name, route := range map[string]traffic.Route{
		"idem":   {Execution: traffic.Idempotent, MaxAttempts: 2},
		"once":   {Execution: traffic.AtMostOnce, MaxAttempts: 1},
		"stream": {Execution: traffic.Streaming, MaxAttempts: 2, Resumable: true},
		"single": {Execution: traffic.Streaming, MaxAttempts: 1},
		"short":  {Execution: traffic.AtMostOnce, MaxAttempts: 1, Timeout: 150 * time.Millisecond},
	} {
		route.Name = name
		route.Host = "a.example"
		route.Prefix = "/" + name + "/"
		route.Targets = []traffic.Target{{Service: "app", Weight: 1}}
		if route.Timeout == 0 {
			route.Timeout = 3 * time.Second
		}
		configuration.Routes = append(configuration.Routes, route)
	}
	p.Configure(configuration.Services)
	for i, answer := range answers {
		u := &upstream{id: fmt.Sprint("u", i)}
		u.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			u.mutex.Lock()
			u.seen = append(u.seen, r)
			u.bodies = append(u.bodies, string(body))
			u.mutex.Unlock()
			rw.Header().Set(headerID, r.Header.Get(headerID))
			answer(rw, r)
		}))
		t.Cleanup(u.server.Close)
		w.upstreams = append(w.upstreams, u)
		p.Declare(time.Now(), traffic.Upstream{
			ID: u.id, Service: "app", Address: strings.TrimPrefix(u.server.URL, "http://"), BatchSlots: 10,
		})
	}
	ledger := &quota.Ledger{}
	ledger.SetLimits(time.Now().Add(-time.Minute), map[string]quota.Limit{"own": {Rate: 1000, Burst: 1000}})
	retries := &retry.Budgets{Ratio: 1, MaxUnused: 100}
	for range 100 {
		retries.For("app").CountFirstTry()
	}
	w.handler = &serve.Handler{
		Dialect: dialect{},
		Fleet:   w.fleet,
		Forward: &forward.Client{Dialect: dialect{}},
		State: &serve.SharedState{
			Pool: p, Ledger: ledger, Retries: retries,
			Suspects: &suspect.Tracker{Settings: suspect.DefaultSettings()},
		},
		Log:   zerolog.Nop(),
		Scope: tally.NoopScope,
	}
	w.fleet.table.Store(traffic.NewTable(configuration))
	w.server = httptest.NewServer(w.handler)
	t.Cleanup(w.server.Close)
	return w
}

// call sends a request and reads the whole answer.
func (w *world) call(path, body string, headers ...string) (*http.Response, string, error) {
	w.t.Helper()
	request, err := http.NewRequest(http.MethodPost, w.server.URL+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	request.Host = "a.example"
	request.Header.Set(headerID, "id1")
	request.Header.Set(headerKey, key)
	request.Header.Set(headerPatience, "2500")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response, string(content), err
}

// runs is how often a request reached any upstream.
func (w *world) runs() (count int) {
	for _, u := range w.upstreams {
		count += len(u.requests())
	}
	return count
}

func served(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set(headerSigned, "s1")
	_, _ = io.WriteString(rw, "answer")
}

func full(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set(headerNotRun, "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

func failing(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set(headerSigned, "s1")
	rw.WriteHeader(http.StatusInternalServerError)
}

// reset breaks the connection without an answer.
func reset(rw http.ResponseWriter, _ *http.Request) {
	connection, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = connection.(*net.TCPConn).SetLinger(0)
	connection.Close()
}

func unsigned(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "forged") }

func crossed(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(headerID, "another")
	served(rw, r)
}

func encoded(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Content-Encoding", "gzip")
	served(rw, r)
}

// torn states a length and sends less.
func torn(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set(headerSigned, "s1")
	rw.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(rw, "half")
}

func hanging(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
