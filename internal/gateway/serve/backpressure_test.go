package serve_test

// Upstreams that ask for a pause when they refuse a request, or state that they are leaving.

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const backpressure = 700 * time.Millisecond

// overloaded refuses a request and asks for a pause.
func overloaded(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(headerBackpressure, strconv.Itoa(int(backpressure.Milliseconds())))
	full(rw, r)
}

// departing serves a request and states that the upstream is leaving.
func departing(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(headerLeaving, "1")
	served(rw, r)
}

// Guards against requests that are sent to upstreams which have asked for none, and against callers who wait for an
// attempt that cannot succeed, or are not told when one can.
func TestAllUpstreamsAskForAPause(t *testing.T) {
	for _, path := range []string{"/idem/", "/once/", "/stream/", "/single/"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, overloaded, overloaded)
			begun := time.Now()
			for range 20 {
				response, _, err := h.call(path, "b")
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusServiceUnavailable)
				is.Equal(response.Header.Get("X-Run"), "not-run")
			}
			response, _, err := h.call(path, "b")
			is.NoErr(err)
			seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			is.NoErr(err)
			returns := time.Since(begun) + time.Duration(seconds*float64(time.Second))
			is.True(returns >= backpressure)              // not before an upstream takes requests again
			is.True(returns < backpressure+time.Second/2) // and not much later
			is.Equal(h.runs(), 2)                         // one for each upstream
		})
	}
}

// Guards against requests to an upstream that has asked for none: it refuses them at once, so that it looks idle beside the
// busy ones.
func TestUpstreamThatAsksForAPauseLooksIdle(t *testing.T) {
	is := is.New(t)
	slow := func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		served(rw, r)
	}
	h := newHarness(t, overloaded, slow)
	begun := time.Now()
	var callers sync.WaitGroup
	for range 14 {
		callers.Go(func() {
			for time.Since(begun) < backpressure-150*time.Millisecond {
				if response, _, err := h.call("/idem/", "b"); err != nil || response.StatusCode != http.StatusOK {
					t.Error("not served", response, err)
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond) // for requests that were on their way
	atFirst := len(h.upstreams[0].requests())
	callers.Wait()
	is.True(atFirst > 0)
	is.Equal(len(h.upstreams[0].requests()), atFirst)
}

// Guards against an upstream that gets no requests any more although the pause that it asked for is over.
func TestUpstreamGetsRequestsAfterThePause(t *testing.T) {
	is := is.New(t)
	var first sync.Once
	h := newHarness(t, func(rw http.ResponseWriter, r *http.Request) {
		respond := served
		first.Do(func() { respond = overloaded })
		respond(rw, r)
	})
	response, _, err := h.call("/once/", "b")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	time.Sleep(backpressure)
	response, _, err = h.call("/once/", "b")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}

// Guards against requests to an upstream that has stated with its responses that it is leaving, while the store has not.
func TestLeavingUpstreamGetsNoMoreRequests(t *testing.T) {
	for _, path := range []string{"/idem/", "/once/", "/stream/", "/single/"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, departing, served)
			for range 20 {
				response, _, err := h.call(path, "b")
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusOK)
			}
			is.True(len(h.upstreams[0].requests()) <= 1)
			is.Equal(h.runs(), 20)
		})
	}
}

// Guards against callers who are not served by the upstream that is left, because another one has the address of one that
// was removed and is itself leaving.
func TestAnotherUpstreamIsLeaving(t *testing.T) {
	is := is.New(t)
	misdirected := func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/once/") {
			rw.Header().Set(headerLeaving, "1")
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		served(rw, r)
	}
	h := newHarness(t, misdirected)
	_, _, err := h.call("/once/", "b")
	is.NoErr(err)
	response, _, err := h.call("/idem/", "b")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}
