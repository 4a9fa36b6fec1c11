package serve_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sendsAndBreaks streams one further event, and resets its connection a moment later.
func sendsAndBreaks(id int) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		eventsOf(rw, r, id, id)
		time.Sleep(50 * time.Millisecond)
		reset(rw, r)
	}
}

// Guards against a stream that is lost because the upstream that replaced a silent one breaks off: the silent one has not failed, and
// may continue the stream if it is sound again.
func TestReplacedUpstreamContinuesAfterItsSuccessor(t *testing.T) {
	whole := event(1) + event(2) + event(3) + event(4)
	for _, c := range []struct {
		name  string
		path  string
		first http.HandlerFunc
	}{
		{"after the first events", "/thrice/", pausesFor(time.Minute)},
		{"before the first event", "/thrice/", isLateFor(time.Minute, allEvents)},
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
					from := 1
					if r.Header.Get(headerLastEvent) != "" {
						from = 3
					}
					sendsAndBreaks(from)(rw, r)
				default:
					allEvents(rw, r)
				}
			}
			h := newHarness(t, respond, respond)
			_, body, err := h.call(c.path, "b")
			is.NoErr(err)
			is.Equal(body, whole)
			is.Equal(h.runs(), 3)
		})
	}
}

// Guards against a stream that is lost because its upstream breaks off after a silence, in which another one was tried and withdrawn:
// that one has not failed.
func TestWithdrawnUpstreamContinuesTheStream(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int32
	respond := func(rw http.ResponseWriter, r *http.Request) {
		switch attempts.Add(1) {
		case 1:
			goesOnAndBreaks(rw, r)
		case 2:
			isLateFor(time.Minute, allEvents)(rw, r)
		default:
			allEvents(rw, r)
		}
	}
	h := newHarness(t, respond, respond)
	_, body, err := h.call("/thrice/", "b")
	is.NoErr(err)
	is.Equal(body, event(1)+event(2)+event(3)+event(4))
	is.Equal(h.runs(), 3)
}
