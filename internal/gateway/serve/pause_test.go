package serve

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// Guards against a stream that counts as on time because its first event was early, although it paused for seconds
// later: an engine that prefills long prompts between the tokens of its running streams delays their next events.
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
				j := &job{route: route, startedAt: time.Now()}
				time.Sleep(c.first)
				j.firstByte = time.Now()
				a := &attempt{job: j}
				a.measurePause(time.Now())
				for _, pause := range c.pauses {
					time.Sleep(pause)
					a.measurePause(time.Now())
				}
				is.Equal(j.isOnTime(), c.onTime)
			})
		})
	}
}
