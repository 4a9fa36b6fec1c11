package serve_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/retry"
)

// longSilence is longer than an upstream may be silent before another one is looked for.
const longSilence = 1800 * time.Millisecond

// eventsOf streams the events from one on to another, after Last-Event-Id.
func eventsOf(rw http.ResponseWriter, r *http.Request, from, to int) {
	if resumed, err := strconv.Atoi(r.Header.Get(headerLastEvent)); err == nil {
		from = max(from, resumed+1)
	}
	rw.Header().Set(headerSigned, "s1")
	for id := from; id <= to; id++ {
		if _, err := io.WriteString(rw, event(id)); err != nil {
			return
		}
	}
	rw.(http.Flusher).Flush()
}

// pausesFor streams two events, is silent, and streams two more if the request is not withdrawn meanwhile.
func pausesFor(silence time.Duration) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		eventsOf(rw, r, 1, 2)
		select {
		case <-time.After(silence):
			eventsOf(rw, r, 3, 4)
		case <-r.Context().Done():
		}
	}
}

// isLateFor is silent before its response.
func isLateFor(silence time.Duration, respond http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(silence):
			respond(rw, r)
		case <-r.Context().Done():
		}
	}
}

func allEvents(rw http.ResponseWriter, r *http.Request) { eventsOf(rw, r, 1, 4) }

// unframedRest streams the last two events without a length or chunks.
func unframedRest(rw http.ResponseWriter, r *http.Request) { respondUnframed(rw, r, event(3)+event(4)) }

// breaksAfter streams two events, and resets its connection after a silence.
func breaksAfter(silence time.Duration) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		eventsOf(rw, r, 1, 2)
		time.Sleep(silence)
		reset(rw, r)
	}
}

// Guards against a response that is given up because its upstream is silent, before another upstream has begun to respond.
func TestSilentUpstreamIsKeptUntilAnotherResponds(t *testing.T) {
	whole := event(1) + event(2) + event(3) + event(4)
	for _, c := range []struct {
		name   string
		path   string
		first  http.HandlerFunc
		second http.HandlerFunc
		body   string
		runs   int
		within time.Duration
	}{
		{"another one goes on", "/stream/", pausesFor(time.Minute), allEvents, whole, 2, longSilence},
		{"another one begins", "/stream/", isLateFor(time.Minute, allEvents), allEvents, whole, 2, longSilence},
		{"another one answers", "/idem/", isLateFor(time.Minute, served), served, answer, 2, longSilence},
		{"the other one is silent too", "/stream/", pausesFor(longSilence), isLateFor(time.Minute, allEvents), whole, 2, 0},
		{"the other one is silent too before the first event", "/stream/", isLateFor(longSilence, allEvents), isLateFor(time.Minute, allEvents), whole, 2, 0},
		{"the other one is silent too before its answer", "/idem/", isLateFor(longSilence, served), isLateFor(time.Minute, served), answer, 2, 0},
		{"the other one is full", "/stream/", pausesFor(longSilence), full, whole, 3, 0}, // it is asked again
		{"the other one fails", "/stream/", pausesFor(longSilence), failing, whole, 2, 0},
		{"the other one fails a call", "/idem/", isLateFor(longSilence, served), failing, answer, 2, 0},
		{"the other one breaks off", "/stream/", pausesFor(longSilence), reset, whole, 2, 0},
		{"the silent one breaks off while the other one begins", "/stream/", breaksAfter(1400 * time.Millisecond), isLateFor(500*time.Millisecond, allEvents), whole, 2, 0},
		{"the other one's end would show nothing", "/stream/", pausesFor(longSilence), unframedRest, whole, 2, 0},
		{"no second run is allowed", "/single/", pausesFor(longSilence), allEvents, whole, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var attempts atomic.Int32
			respond := func(rw http.ResponseWriter, r *http.Request) {
				if attempts.Add(1) == 1 {
					c.first(rw, r)
					return
				}
				c.second(rw, r)
			}
			h := newHarness(t, respond, respond)
			sent := time.Now()
			response, body, err := h.call(c.path, "b")
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(body, c.body)
			is.Equal(h.runs(), c.runs)
			is.True(c.within == 0 || time.Since(sent) < c.within)
		})
	}
}

// Guards against a request that waits for two lost upstreams until its deadline while a third one could serve it.
func TestThirdUpstreamServesWhileTwoAreSilent(t *testing.T) {
	for _, c := range []struct {
		name  string
		first http.HandlerFunc
	}{
		{"both stay silent", pausesFor(time.Minute)},
		{"the first one breaks off meanwhile", breaksAfter(1500 * time.Millisecond)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var attempts atomic.Int32
			respond := func(rw http.ResponseWriter, r *http.Request) {
				switch attempts.Add(1) {
				case 1:
					c.first(rw, r)
				case 2:
					isLateFor(time.Minute, allEvents)(rw, r)
				default:
					allEvents(rw, r)
				}
			}
			h := newHarness(t, respond, respond, respond)
			_, body, err := h.call("/thrice/", "b", headerTimeout, "3000")
			is.NoErr(err)
			is.Equal(body, event(1)+event(2)+event(3)+event(4))
			is.Equal(h.runs(), 3)
		})
	}
}

// Guards against a stream that is given up although the retry budget is used up, so that it can go on nowhere else.
func TestSilentUpstreamIsKeptWithoutARetry(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, pausesFor(longSilence), pausesFor(longSilence))
	h.handler.State.Retries = &retry.Budgets{}
	_, body, err := h.call("/stream/", "b")
	is.NoErr(err)
	is.Equal(body, event(1)+event(2)+event(3)+event(4))
	is.Equal(h.runs(), 1)
}

// Guards against requests that are sent to an upstream that is silent itself: all upstreams of a busy host are silent at
// once, and each second run is work for nothing.
func TestSilenceOfAllUpstreamsCausesNoRuns(t *testing.T) {
	const (
		callers = 6
		// silence ends between two looks for another upstream: one that falls on the end may find an upstream that goes on already.
		silence = 1600 * time.Millisecond
	)
	is := is.New(t)
	begun := make(chan struct{}) // closed once all streams have arrived, so that all are silent from the same time on
	respond := func(rw http.ResponseWriter, r *http.Request) {
		<-begun
		pausesFor(silence)(rw, r)
	}
	h := newHarness(t, respond, respond)
	results := make(chan string, callers)
	for number := range callers {
		h.setDraining(0, number%2 == 0)
		h.setDraining(1, number%2 == 1)
		go func() {
			_, body, err := h.call("/stream/", "b", headerID, fmt.Sprint("id", number))
			if err != nil {
				body = err.Error()
			}
			results <- body
		}()
		for h.runs() <= number {
			time.Sleep(time.Millisecond)
		}
	}
	h.setDraining(0, false)
	h.setDraining(1, false)
	close(begun)
	for range callers {
		is.Equal(<-results, event(1)+event(2)+event(3)+event(4))
	}
	is.Equal(h.runs(), callers)
}

// setDraining declares whether an upstream takes new requests.
func (h *harness) setDraining(number int, draining bool) {
	h.handler.State.WithLock(func(state *serve.SharedState) {
		declared, _ := state.Pool.Upstream(h.upstreams[number].id)
		declared.Draining = draining
		state.Pool.Declare(time.Now(), declared)
	})
}

// Guards against an upstream that keeps working on a request that another one has finished.
func TestReplacedUpstreamStops(t *testing.T) {
	is := is.New(t)
	stopped := make(chan time.Time, 1)
	var attempts atomic.Int32
	respond := func(rw http.ResponseWriter, r *http.Request) {
		if attempts.Add(1) > 1 {
			allEvents(rw, r)
			return
		}
		eventsOf(rw, r, 1, 2)
		<-r.Context().Done()
		stopped <- time.Now()
	}
	h := newHarness(t, respond, respond)
	_, body, err := h.call("/stream/", "b")
	ended := time.Now()
	is.NoErr(err)
	is.Equal(strings.Count(body, "data:"), 4)
	is.True((<-stopped).Sub(ended) < 200*time.Millisecond)
}
