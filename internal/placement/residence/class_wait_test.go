package residence_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/residence"
)

// Guards against a class that is refused without end where only one caller asks for it, and comes back when it is told to: if
// that is after more than the pause by which a class counts as served, it finds the same wait each time.
func TestClassToldToComeBackLateIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, e := newPlanner(4), newEngine(4)
		p.Contention = true
		drive(p, e, startUpTime, noFaults)
		s := &simulation{
			planner: p, engine: e, random: rand.New(rand.NewPCG(1, 2)), ends: map[string][]time.Time{},
			results: map[string]*outcomes{"high": {}, "low": {}, "returning": {}}, inUse: map[string]string{}, peak: map[string]int{},
		}
		high := &requests{kind: "high", rate: 40, hold: 600 * time.Millisecond, patience: 333 * time.Millisecond}
		low := &requests{kind: "low", rate: 3, priority: 2, hold: 600 * time.Millisecond, patience: 667 * time.Millisecond}
		returning := &requests{kind: "returning", priority: 2, hold: 100 * time.Millisecond, patience: 667 * time.Millisecond}
		told := time.Now()
		for start := time.Now(); time.Since(start) < 80*time.Second; {
			s.arrive(high, time.Since(start), 5*time.Millisecond)
			if time.Since(start) < 20*time.Second {
				s.arrive(low, time.Since(start), 5*time.Millisecond)
			} else if refused := s.results["returning"].refused; !time.Now().Before(told) {
				returning.rate = 1000
				s.arrive(returning, time.Since(start), time.Millisecond)
				told = time.Now().Add(time.Second)
				if s.results["returning"].refused > refused {
					told = time.Now().Add(p.ClassWait(time.Now(), residence.Request{Adapter: adapter("next"), Priority: 2}))
				}
			}
			s.settle()
			drive(p, e, tick, noFaults)
		}
		outcome := s.results["returning"]
		t.Logf("arrived %d, served %d, refused %d", outcome.arrived, outcome.served, outcome.refused)
		is.True(outcome.served > outcome.refused)
	})
}
