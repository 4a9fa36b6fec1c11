package serve

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// An engine reads long prompts between the tokens of the streams that run there. The first event of such a stream is
// quick, and then the text stands still for seconds under the reader's eyes. Looked at by first events alone the
// service seems to be on time.
func TestLongPauseMakesAStreamLate(t *testing.T) {
	for _, c := range []struct {
		name   string
		first  time.Duration
		pauses []time.Duration
		onTime bool
	}{
		{"steady", 300 * time.Millisecond, []time.Duration{20 * time.Millisecond, 30 * time.Millisecond}, true},
		{"late first event", 1100 * time.Millisecond, []time.Duration{20 * time.Millisecond}, false},
		{"one long pause", 300 * time.Millisecond, []time.Duration{20 * time.Millisecond, 700 * time.Millisecond}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				route := traffic.Route{Objective: time.Second, MaxPause: 600 * time.Millisecond}
				j := &job{route: route, began: time.Now()}
				time.Sleep(c.first)
				j.firstByte = time.Now()
				r := &relay{job: j}
				r.notePause(time.Now())
				for _, pause := range c.pauses {
					time.Sleep(pause)
					r.notePause(time.Now())
				}
				is.Equal(j.isOnTime(), c.onTime)
			})
		})
	}
}
