package serve_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/gateway/backlog"
	"lacewingrock.example/lacewingrock/internal/gateway/forward"
	"lacewingrock.example/lacewingrock/internal/gateway/memory"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/socket"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/retry"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// BenchmarkNormalResponses measures responses whose callers read normally: streams of 57 events that are flushed one by one,
// and bodies of 2 KiB. One benchmark has the callers' connections as they are, the other one lets them have a backlog.
func BenchmarkNormalResponses(b *testing.B) {
	stream := func(rw http.ResponseWriter, r *http.Request) {
		for id := range 57 {
			respondInChunks(rw, r, event(id))
		}
	}
	body := func(rw http.ResponseWriter, r *http.Request) { respondWithLength(rw, r, strings.Repeat("b", 2<<10)) }
	for _, c := range []struct {
		name    string
		path    string
		respond http.HandlerFunc
	}{{"stream", "/single/", stream}, {"body", "/once/", body}} {
		for _, kept := range []bool{false, true} {
			name := c.name
			if kept {
				name += ", backlog"
			}
			b.Run(name, func(b *testing.B) {
				h := newBenchmarkHarness(b, kept, c.respond)
				b.ReportAllocs()
				for b.Loop() {
					request, err := http.NewRequest(http.MethodPost, h.URL+c.path, strings.NewReader("b"))
					if err != nil {
						b.Fatal(err)
					}
					request.Host = "a.example"
					request.Header.Set(headerID, "id1")
					request.Header.Set(headerKey, key)
					response, err := http.DefaultClient.Do(request)
					if err != nil {
						b.Fatal(err)
					}
					if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
						b.Fatal(response.StatusCode, err)
					}
					response.Body.Close()
				}
			})
		}
	}
}

// newBenchmarkHarness returns the server of a handler with one upstream.
func newBenchmarkHarness(b *testing.B, kept bool, respond http.HandlerFunc) *httptest.Server {
	b.Helper()
	upstream := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(headerID, r.Header.Get(headerID))
		respond(rw, r)
	}))
	b.Cleanup(upstream.Close)
	listener, err := socket.Listen(b.Context(), "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	handler := newBenchmarkHandler(strings.TrimPrefix(upstream.URL, "http://"))
	if kept {
		listener = keepBacklogs(handler, listener)
	}
	server := httptest.NewUnstartedServer(handler)
	server.Listener.Close()
	server.Listener = listener
	server.Start()
	b.Cleanup(server.Close)
	return server
}

// keepBacklogs gives a handler the account of an instance of 144 MiB, and its callers' connections a backlog.
func keepBacklogs(handler *serve.Handler, listener net.Listener) net.Listener {
	handler.Memory = &memory.Account{Limit: memory.LimitOf(144), Scope: tally.NoopScope}
	backlogs := &backlog.Backlogs{Account: handler.Memory, Log: zerolog.Nop(), Scope: tally.NoopScope}
	return backlogs.Listener(listener)
}

func newBenchmarkHandler(upstream string) *serve.Handler {
	p := &pool.Pool{Settings: pool.DefaultSettings()}
	configuration := traffic.Configuration{
		Services:   map[string]traffic.Service{"app": {Name: "app"}},
		Workspaces: []traffic.Workspace{{Name: "own", Keys: []string{key}, Rate: 1e9, Burst: 1e9, DefaultCost: 1}},
	}
	for name, execution := range map[string]traffic.Execution{"once": traffic.AtMostOnce, "single": traffic.Streaming} {
		configuration.Routes = append(configuration.Routes, traffic.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Execution: execution, MaxAttempts: 1, Timeout: 3 * time.Second,
			Targets: []traffic.Target{{Service: "app", Weight: 1}},
		})
	}
	p.Configure(configuration.Services)
	p.Declare(time.Now(), traffic.Upstream{ID: "u0", Service: "app", Address: upstream, BatchSlots: 1000, Software: "v1"})
	ledger := &quota.Ledger{}
	ledger.SetPeers(time.Now(), nil)
	ledger.SetLimits(time.Now().Add(-time.Minute), map[string]quota.Limit{"own": {Rate: 1e9, Burst: 1e9}})
	f := &fleet{}
	f.table.Store(traffic.NewTable(configuration))
	return &serve.Handler{
		Dialect: dialect{},
		Fleet:   f,
		Forward: &forward.Client{Dialect: dialect{}, Dial: dialUpstream, KeepsConnections: func(string) bool { return true }},
		State: &serve.SharedState{
			Pool: p, Ledger: ledger, Retries: &retry.Budgets{Ratio: 1, MaxUnused: 100},
			Suspects: &suspect.Tracker{Settings: suspect.DefaultSettings()},
		},
		Log:   zerolog.Nop(),
		Scope: tally.NoopScope,
	}
}
