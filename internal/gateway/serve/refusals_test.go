package serve_test

// Requests that end without an upstream's answer: refused, timed out, or left by their caller.

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

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
	is.Equal(w.handler.State.Ledger.OwnTotals()["own"], 0.0)
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
		{"no key", "/once/", "", []string{headerKey, ""}, 401},
		{"unknown key", "/once/", "", []string{headerKey, "x"}, 401},
		{"malformed deadline", "/once/", "", []string{headerPatience, "x"}, 400},
		{"no id", "/once/", "", []string{headerID, ""}, 400},
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

// Guards against a final refusal by an instance whose configuration is out of date: a route or key that was just added is
// not there, and callers do not come back after a 404 or 401.
func TestOutdatedConfigurationRefusesNobodyForGood(t *testing.T) {
	for _, test := range []struct {
		name, path, key string
	}{
		{"no such route", "/none/", key},
		{"no key", "/once/", ""},
		{"unknown key", "/once/", "x"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, served)
			w.fleet.outdated = true
			response, _, err := w.call(test.path, "", headerKey, test.key)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.True(response.Header.Get("Retry-After") != "")
			is.Equal(w.runs(), 0)
		})
	}
}

// A workspace has used up its rate. The refusal says when to come back, and that time is true.
func TestOverTheRate(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, served)
	response, _, err := w.call("/once/", "b", headerTokens, "1000,200")
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
	request.Header.Set(headerID, "id1")
	request.Header.Set(headerKey, key)
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
	request.Header.Set(headerID, "id1")
	request.Header.Set(headerKey, key)
	_, err = http.DefaultClient.Do(request)
	is.True(err != nil)
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the upstream still works")
	}
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
	w.handler.StartDraining()
	w.handler.RefuseRequests()
	response, _, err := w.call("/once/", "second")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("X-Run"), "not-run")
	is.True(response.Close)
	close(release)
	is.Equal(<-running, http.StatusOK)
	is.Equal(w.runs(), 1)
}
