package serve_test

// Requests that end without an upstream's response: refused, timed out, or cancelled by their caller.

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Every upstream is full. The caller is refused at once with the statement that nothing ran and with a retry time, and
// the request is not charged.
func TestFullServiceRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, full, full)
	start := time.Now()
	response, _, err := h.call("/once/", "b")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("X-Run"), "not-run")
	is.True(response.Header.Get("Retry-After") != "")
	is.True(time.Since(start) < time.Second)
	is.Equal(h.handler.State.Ledger.OwnTotals()["own"], 0.0)
}

// Each refusal has its own status, which tells the caller how to react.
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
		{"malformed deadline", "/once/", "", []string{headerTimeout, "x"}, 400},
		{"no id", "/once/", "", []string{headerID, ""}, 400},
		{"body over the limit", "/once/", strings.Repeat("b", 1001), nil, 413},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, served)
			response, _, err := h.call(test.path, test.body, test.headers...)
			is.NoErr(err)
			is.Equal(response.StatusCode, test.status)
			is.Equal(h.runs(), 0)
		})
	}
}

// Guards against a final refusal by an instance whose configuration is out of date: a route or key that was just added
// is missing there, and callers do not retry after a 404 or 401.
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
			h := newHarness(t, served)
			h.fleet.stale = true
			response, _, err := h.call(test.path, "", headerKey, test.key)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.True(response.Header.Get("Retry-After") != "")
			is.Equal(h.runs(), 0)
		})
	}
}

// A workspace has used up its rate limit. A request that is sent again after the stated retry time must be admitted.
func TestRetryAfterOverTheRate(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, served)
	response, _, err := h.call("/once/", "b", headerTokens, "1000,200")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	response, _, err = h.call("/once/", "b")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusTooManyRequests)
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(seconds > 0 && seconds < 1)
	time.Sleep(time.Duration(seconds * float64(time.Second)))
	response, _, err = h.call("/once/", "b")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}

// An instance that has just started has no configuration. After a 404 or 401 callers would not retry, so the refusal
// must be retryable.
func TestNoConfigurationYet(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, served)
	h.fleet.table.Store(nil)
	response, _, err := h.call("/once/", "b")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
}

// An upstream does not respond before the route's timeout. The caller gets the time-out response at that time, not at
// its own deadline, and it is unknown whether the request ran. After another status, such as the one for a connection
// that the caller closed, the caller would not retry.
func TestRouteTimeIsOver(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, hanging)
	statuses := make(chan int)
	start := time.Now()
	const calls = 10
	for range calls {
		go func() {
			response, _, err := h.call("/short/", "b")
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
	is.True(time.Since(start) < 600*time.Millisecond)
}

// deadlineRecorder records the read deadlines that are set on its connection.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	readDeadlines []time.Time
}

func (b *deadlineRecorder) SetReadDeadline(at time.Time) error {
	b.readDeadlines = append(b.readDeadlines, at)
	return nil
}

func (b *deadlineRecorder) SetWriteDeadline(time.Time) error { return nil }

// Guards against a read deadline for the body that expires at the same time as the request's deadline: net/http reports
// that as a disconnect of the caller, and the request was refused with the status for a cancelled request although the
// caller was waiting.
func TestBoundOnReadingEndsWithTheBody(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, served)
	request := httptest.NewRequest(http.MethodPost, "/once/", strings.NewReader("b"))
	request.Host = "a.example"
	request.Header.Set(headerID, "id1")
	request.Header.Set(headerKey, key)
	recorder := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	h.handler.ServeHTTP(recorder, request)
	is.Equal(recorder.Code, http.StatusOK)
	is.True(len(recorder.readDeadlines) > 1)
	is.True(!recorder.readDeadlines[0].IsZero())
	is.True(recorder.readDeadlines[len(recorder.readDeadlines)-1].IsZero())
}

// Guards against an upstream that continues to work on a request after its caller has disconnected.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{})
	h := newHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, h.server.URL+"/once/", strings.NewReader("b"))
	is.NoErr(err)
	request.Host = "a.example"
	request.Header.Set(headerID, "id1")
	request.Header.Set(headerKey, key)
	_, err = http.DefaultClient.Do(request)
	is.True(err != nil)
	select {
	case <-cancelled:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the upstream has not stopped working on the request")
	}
}

// The instance stops. A request that arrives while idle connections are being closed must not be forwarded, because its
// response could not be delivered; a running request ends normally.
func TestStopRefusesBeforeItCloses(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	h := newHarness(t, func(rw http.ResponseWriter, r *http.Request) {
		<-release
		served(rw, r)
	})
	running := make(chan int)
	go func() {
		response, _, err := h.call("/once/", "first")
		if err != nil {
			running <- 0
			return
		}
		running <- response.StatusCode
	}()
	for h.runs() == 0 {
		time.Sleep(time.Millisecond)
	}
	h.handler.StartDraining()
	h.handler.RefuseRequests()
	response, _, err := h.call("/once/", "second")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("X-Run"), "not-run")
	is.True(response.Close)
	close(release)
	is.Equal(<-running, http.StatusOK)
	is.Equal(h.runs(), 1)
}

// Guards against a caller whose path cannot be sent unchanged and counts as a failure of each upstream that is tried.
func TestTargetThatCannotBeSentIsRefusedBeforeAnUpstreamIsChosen(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, served)
	connection, err := net.Dial("tcp", h.server.Listener.Addr().String())
	is.NoErr(err)
	defer connection.Close()
	_, err = fmt.Fprintf(connection, "POST //once/\"b HTTP/1.0\r\nHost: a.example\r\n%s: id1\r\n%s: %s\r\n\r\n", headerID, headerKey, key)
	is.NoErr(err)
	response, err := io.ReadAll(connection)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(response), "HTTP/1.0 400 "))
	is.Equal(h.runs(), 0)
}
