package serve_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a stream that is lost where its silent upstream and the one that was found meanwhile go on at the same moment.
func TestUpstreamsThatGoOnTogetherLoseNoStream(t *testing.T) {
	const streams = 150
	whole := event(1) + event(2) + event(3) + event(4)
	for _, c := range []struct {
		name string
		// sent is how many events the first upstream sends before it is silent.
		sent int
		rest http.HandlerFunc
	}{
		{"before the first event", 0, allEvents},
		{"after the first events", 2, allEvents},
		{"slowly", 2, func(rw http.ResponseWriter, r *http.Request) {
			for id := 1; id <= 4; id++ {
				if r.Header.Get(headerLastEvent) < event(id)[4:5] {
					eventsOf(rw, r, id, id)
					time.Sleep(5 * time.Millisecond)
				}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var running sync.WaitGroup
			var lost atomic.Int32
			for number := range streams {
				soundAt := time.Now().Add(1500*time.Millisecond + time.Duration(number%8)*100*time.Microsecond)
				begin := func(rw http.ResponseWriter, r *http.Request) {
					if c.sent > 0 {
						eventsOf(rw, r, 1, c.sent)
					}
					time.Sleep(time.Until(soundAt))
					if r.Context().Err() == nil {
						eventsOf(rw, r, c.sent+1, 4)
					}
				}
				others := func(rw http.ResponseWriter, r *http.Request) {
					time.Sleep(time.Until(soundAt))
					c.rest(rw, r)
				}
				respond := firstThen(begin, others)
				h := newHarness(t, respond, respond, respond)
				running.Go(func() {
					_, body, err := h.call("/thrice/", "b")
					if err != nil || body != whole {
						lost.Add(1)
						t.Logf("%q, %v", body, err)
					}
				})
			}
			running.Wait()
			is.Equal(lost.Load(), int32(0))
		})
	}
}
