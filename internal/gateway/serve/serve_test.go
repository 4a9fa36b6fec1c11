package serve_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
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
	"lacewingrock.example/lacewingrock/platform"
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
	table  atomic.Pointer[traffic.Table]
	mutex  sync.Mutex
	broken []string
}

func (f *fleet) Table() *traffic.Table                { return f.table.Load() }
func (f *fleet) Newest(traffic.Adapter) (int64, bool) { return 0, false }
func (f *fleet) Touch(string)                         {}
func (f *fleet) Broke(u traffic.Upstream, _ suspect.Fingerprint) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.broken = append(f.broken, u.ID)
}

func (f *fleet) Prepare(context.Context, mesh.PrepareRequest) mesh.Prepared {
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
			{Name: "own", Keys: []string{key}, Rate: 1000, Burst: 1000, ByTokens: true, PlainCost: 10},
		},
	}
	for name, route := range map[string]traffic.Route{
		"idem":   {Repetition: traffic.Idempotent, Attempts: 2},
		"once":   {Repetition: traffic.Once, Attempts: 1},
		"stream": {Repetition: traffic.Streaming, Attempts: 2, Resumable: true},
		"single": {Repetition: traffic.Streaming, Attempts: 1},
		"short":  {Repetition: traffic.Once, Attempts: 1, Timeout: 150 * time.Millisecond},
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
			rw.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			answer(rw, r)
		}))
		t.Cleanup(u.server.Close)
		w.upstreams = append(w.upstreams, u)
		p.Declare(time.Now(), traffic.Upstream{
			ID: u.id, Service: "app", Address: strings.TrimPrefix(u.server.URL, "http://"), Places: 10,
		})
	}
	ledger := &quota.Ledger{}
	ledger.SetLimits(time.Now().Add(-time.Minute), map[string]quota.Limit{"own": {Rate: 1000, Burst: 1000}})
	retries := retry.New(1, 100)
	for range 100 {
		retries.First()
	}
	w.handler = &serve.Handler{
		Dialect: platform.Dialect{},
		Fleet:   w.fleet,
		Forward: &forward.Client{Dialect: platform.Dialect{}},
		Advice: &serve.Advice{
			Pool: p, Ledger: ledger, Retries: retries,
			Suspects: &suspect.Register{Settings: suspect.DefaultSettings()},
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
	request.Header.Set("X-Request-Id", "id1")
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("X-Deadline-Ms", "2500")
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
	rw.Header().Set("X-Server-Stamp", "s1")
	_, _ = io.WriteString(rw, "answer")
}

func full(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("X-Not-Executed", "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

func failing(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("X-Server-Stamp", "s1")
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
	rw.Header().Set("X-Request-Id", "another")
	served(rw, r)
}

func encoded(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Content-Encoding", "gzip")
	served(rw, r)
}

// torn states a length and sends less.
func torn(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("X-Server-Stamp", "s1")
	rw.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(rw, "half")
}

func hanging(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func TestRequestPassesUnchanged(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, served)
	response, body, err := w.call("/once/a%2Fb?q=%20x", "the body", "X-Tenant", "forged", "X-Own", "kept")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(body, "answer")
	is.Equal(response.Header.Get("X-Server-Stamp"), "s1")
	seen := w.upstreams[0].requests()[0]
	is.Equal(seen.RequestURI, "/once/a%2Fb?q=%20x")
	is.Equal(seen.Host, "a.example")
	is.Equal(w.upstreams[0].bodies[0], "the body")
	is.Equal(seen.Header.Get("X-Tenant"), "own")
	is.Equal(seen.Header.Get("X-Own"), "kept")
	is.Equal(seen.Header.Get("Authorization"), "")
	is.Equal(seen.Header.Get("X-Expect-Instance"), "u0")
	left, err := strconv.Atoi(seen.Header.Get("X-Deadline-Ms"))
	is.NoErr(err)
	is.True(left > 0 && left <= 2500)
}

// What an upstream does to the first send decides what may follow. A request that may run once is never
// sent again after it may have run, and is never said not to have run then; one that may be repeated is
// answered by another upstream.
func TestFirstSendGoesWrong(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		first  http.HandlerFunc
		status int
		runs   int
	}{
		{"refusal of a request that runs once is tried elsewhere", "/once/", full, 200, 2},
		{"refusal of an idempotent one is tried elsewhere", "/idem/", full, 200, 2},
		{"lost answer of a request that runs once", "/once/", reset, 502, 1},
		{"lost answer of an idempotent one", "/idem/", reset, 200, 2},
		{"failure of a request that runs once is passed on", "/once/", failing, 500, 1},
		{"failure of an idempotent one", "/idem/", failing, 200, 2},
		{"unsigned success of a request that runs once", "/once/", unsigned, 502, 1},
		{"unsigned success of an idempotent one", "/idem/", unsigned, 200, 2},
		{"another request's answer to one that runs once", "/once/", crossed, 502, 1},
		{"another request's answer to an idempotent one", "/idem/", crossed, 200, 2},
		{"encoded body", "/once/", encoded, 502, 1},
		{"torn answer of a request that runs once", "/once/", torn, 502, 1},
		{"torn answer of an idempotent one", "/idem/", torn, 200, 2},
		{"silence towards an idempotent one", "/idem/", hanging, 200, 2},
		{"stream that breaks before it begins", "/stream/", reset, 200, 2},
		{"stream that may not be resumed", "/single/", reset, 502, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var sends atomic.Int32
			answer := func(rw http.ResponseWriter, r *http.Request) {
				if sends.Add(1) == 1 {
					test.first(rw, r)
					return
				}
				served(rw, r)
			}
			w := newWorld(t, answer, answer)
			response, body, err := w.call(test.path, "b")
			is.NoErr(err)
			is.Equal(response.StatusCode, test.status)
			is.Equal(w.runs(), test.runs)
			if test.status == http.StatusOK {
				is.Equal(body, "answer")
			}
			if test.status == http.StatusBadGateway {
				is.Equal(response.Header.Get("X-Run"), "unknown")
				is.Equal(response.Header.Get("X-Server-Stamp"), "")
				is.True(!strings.Contains(body, "127.0.0.1")) // no upstream's address
			}
		})
	}
}

// Every upstream is full. The caller is told at once that nothing ran and when to come back, and does not
// pay for it.
func TestFullServiceRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, full, full)
	began := time.Now()
	response, _, err := w.call("/once/", "b")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("X-Run"), "not-run")
	is.True(response.Header.Get("Retry-After") != "")
	is.True(time.Since(began) < time.Second)
	is.Equal(w.handler.Advice.Ledger.Own()["own"], 0.0)
}

// Each refusal has a status of its own, which tells the caller what to do about it.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		body    string
		headers []string
		status  int
	}{
		{"no such route", "/none/", "", nil, 404},
		{"no key", "/once/", "", []string{"Authorization", ""}, 401},
		{"unknown key", "/once/", "", []string{"Authorization", "Bearer x"}, 401},
		{"malformed deadline", "/once/", "", []string{"X-Deadline-Ms", "x"}, 400},
		{"no id", "/once/", "", []string{"X-Request-Id", ""}, 400},
		{"body over the limit", "/once/", strings.Repeat("b", 1001), nil, 413},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, served)
			response, _, err := w.call(test.path, test.body, test.headers...)
			is.NoErr(err)
			is.Equal(response.StatusCode, test.status)
			is.Equal(w.runs(), 0)
		})
	}
}

// A workspace has used up its rate. The refusal says when to come back, and that time is true.
func TestOverTheRate(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, served)
	response, _, err := w.call("/once/", "b", "X-Token-Count", "1000,200")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	response, _, err = w.call("/once/", "b")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusTooManyRequests)
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(seconds > 0 && seconds < 1)
	time.Sleep(time.Duration(seconds * float64(time.Second)))
	response, _, err = w.call("/once/", "b")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}

// An instance that has just started knows no configuration. A 404 or 401 would make callers give up for
// good; they are told to come back.
func TestNoConfigurationYet(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, served)
	w.fleet.table.Store(nil)
	response, _, err := w.call("/once/", "b")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
}

// An upstream never answers and the route's time is over. The caller hears so then, not when its own
// deadline passes; whether the request ran is not known. Told anything else, such as that it had closed the
// connection itself, it would not come back.
func TestRouteTimeIsOver(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, hanging)
	statuses := make(chan int)
	began := time.Now()
	const calls = 10
	for range calls {
		go func() {
			response, _, err := w.call("/short/", "b")
			if err != nil || response.Header.Get("X-Run") == "not-run" {
				statuses <- 0
				return
			}
			statuses <- response.StatusCode
		}()
	}
	for range calls {
		is.Equal(<-statuses, http.StatusGatewayTimeout)
	}
	is.True(time.Since(began) < 600*time.Millisecond)
}

// bounded records the bounds on reading from its connection.
type bounded struct {
	*httptest.ResponseRecorder
	reads []time.Time
}

func (b *bounded) SetReadDeadline(at time.Time) error {
	b.reads = append(b.reads, at)
	return nil
}

func (b *bounded) SetWriteDeadline(time.Time) error { return nil }

// A request runs until its time is over, and the bound on reading its body passes at the same moment. The
// library takes that for a caller that left, and the request was answered with the status for that, which is
// a refusal that nobody had earned.
func TestBoundOnReadingEndsWithTheBody(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, served)
	request := httptest.NewRequest(http.MethodPost, "/once/", strings.NewReader("b"))
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", "id1")
	request.Header.Set("Authorization", "Bearer "+key)
	recorder := &bounded{ResponseRecorder: httptest.NewRecorder()}
	w.handler.ServeHTTP(recorder, request)
	is.Equal(recorder.Code, http.StatusOK)
	is.True(len(recorder.reads) > 1)
	is.True(!recorder.reads[0].IsZero())
	is.True(recorder.reads[len(recorder.reads)-1].IsZero())
}

// A caller hangs up while its request runs. An upstream that goes on works for nobody.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	w := newWorld(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, w.server.URL+"/once/", strings.NewReader("b"))
	is.NoErr(err)
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", "id1")
	request.Header.Set("Authorization", "Bearer "+key)
	_, err = http.DefaultClient.Do(request)
	is.True(err != nil)
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the upstream still works")
	}
}

// event is one event of a stream, in the upstreams' form.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// An upstream crashes in the middle of an event. The stream goes on at another upstream after the last
// whole event; a piece that came twice, or half, would garble the caller's text without a sign.
func TestStreamGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	var sends atomic.Int32
	answer := func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("X-Server-Stamp", fmt.Sprint("s", sends.Load()))
		flusher := rw.(http.Flusher)
		if sends.Add(1) == 1 {
			_, _ = io.WriteString(rw, event(1)+event(2)+"id: 3\ndata: pie")
			flusher.Flush()
			time.Sleep(30 * time.Millisecond)
			reset(rw, r)
			return
		}
		from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if err != nil {
			return
		}
		for id := from + 1; id <= 4; id++ {
			_, _ = io.WriteString(rw, event(id))
		}
	}
	w := newWorld(t, answer, answer)
	response, body, err := w.call("/stream/", "b")
	is.NoErr(err)
	is.Equal(body, event(1)+event(2)+event(3)+event(4))
	is.Equal(response.Header.Get("X-Server-Stamp"), "s0") // the headers of the first upstream
	is.Equal(w.runs(), 2)
}

// A stream that may not run twice breaks in the middle. Its caller must see that it is not complete.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("X-Server-Stamp", "s1")
		_, _ = io.WriteString(rw, event(1))
		rw.(http.Flusher).Flush()
		time.Sleep(30 * time.Millisecond)
		reset(rw, r)
	})
	_, body, err := w.call("/single/", "b")
	is.True(err != nil)
	is.Equal(body, event(1))
	is.Equal(w.runs(), 1)
}

// A request crashes each upstream that runs it and comes again and again. After three crashes it is not
// sent on any more, and its caller is told that it did not run.
func TestPoisonousRequestIsStopped(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, served)
	fingerprint := suspect.Of("own", "POST a.example/once/", []byte("poison"))
	for range 3 {
		w.handler.Advice.Suspects.Crashed(time.Now(), []suspect.Fingerprint{fingerprint})
	}
	response, _, err := w.call("/once/", "poison")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("X-Run"), "not-run")
	response, _, err = w.call("/once/", "innocent")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(w.runs(), 1)
}

// The instance stops. A request that arrives while idle connections are being closed could be passed on
// with nowhere for its answer to go; one that is being served ends as usual.
func TestStopRefusesBeforeItCloses(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	w := newWorld(t, func(rw http.ResponseWriter, r *http.Request) {
		<-release
		served(rw, r)
	})
	running := make(chan int)
	go func() {
		response, _, err := w.call("/once/", "first")
		if err != nil {
			running <- 0
			return
		}
		running <- response.StatusCode
	}()
	for w.runs() == 0 {
		time.Sleep(time.Millisecond)
	}
	w.handler.Leave()
	w.handler.Close()
	response, _, err := w.call("/once/", "second")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("X-Run"), "not-run")
	is.True(response.Close)
	close(release)
	is.Equal(<-running, http.StatusOK)
	is.Equal(w.runs(), 1)
}

// The retry budget of the instance is used up in an outage. Further sends would multiply the load just
// when there is the least capacity. The upstream's own failure goes to the caller, as there is nothing better.
func TestNoRetryWithoutBudget(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, failing, failing)
	w.handler.Advice.Retries = retry.New(0, 0)
	response, _, err := w.call("/idem/", "b")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusInternalServerError)
	is.Equal(response.Header.Get("X-Server-Stamp"), "s1")
	is.Equal(w.runs(), 1)
}
