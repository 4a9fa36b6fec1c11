package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
)

// unansweredCharges is a part of the charges that get no verdict in time. Half of them reach their coordinator too late and
// half not at all. As in the entry layer, an instance avoids a coordinator for a second after two such charges in a row.
type unansweredCharges struct {
	random *rand.Rand
	part   float64
	// misses counts the charges in a row without a verdict and avoided is until when a coordinator is avoided, by
	// instance and coordinator.
	misses  map[[2]int]int
	avoided map[[2]int]time.Time
}

func newUnansweredCharges(part float64) *unansweredCharges {
	return &unansweredCharges{
		random: rand.New(rand.NewPCG(21, 22)), part: part, misses: make(map[[2]int]int), avoided: make(map[[2]int]time.Time),
	}
}

// coordinatorOf returns the first instance that this one does not avoid.
func (u *unansweredCharges) coordinatorOf(at int) (coordinator int) {
	for coordinator != at && time.Now().Before(u.avoided[[2]int{at, coordinator}]) {
		coordinator++
	}
	return coordinator
}

// verdict returns what an instance learns of its charge.
func (u *unansweredCharges) verdict(at, coordinator int, decide func() quota.Verdict) quota.Verdict {
	link := [2]int{at, coordinator}
	if u.random.Float64() >= u.part {
		delete(u.misses, link)
		return decide()
	}
	if u.random.IntN(2) == 0 {
		decide()
	}
	u.misses[link]++
	if u.misses[link] == 2 {
		delete(u.misses, link)
		u.avoided[link] = time.Now().Add(time.Second)
	}
	return quota.Unanswered{}
}

// Guards against a workspace that gets more than its rate in a flood while many charges get no answer in time, as where
// processors or links are short of capacity: the instances that asked decide from their estimates.
func TestFloodWithUnansweredChargesStaysWithinTheRate(t *testing.T) {
	t.Parallel()
	const rate = 200_000
	for _, c := range []struct {
		instances  int
		times      float64
		delay      time.Duration
		unanswered float64
	}{
		{66, 6, 700 * time.Millisecond, 0.3},
		{66, 6, 1500 * time.Millisecond, 0.6},
		{195, 6, 700 * time.Millisecond, 0.3},
		{195, 6, 1500 * time.Millisecond, 0.3},
		{195, 6, 1500 * time.Millisecond, 0.6},
		{195, 6, 1500 * time.Millisecond, 0.9},
		{195, 3, 1500 * time.Millisecond, 0.6},
		{330, 9, 1500 * time.Millisecond, 0.6},
	} {
		t.Run(fmt.Sprintf("%d instances, %.0f times the rate, totals take %s, %.1f unanswered", c.instances, c.times, c.delay, c.unanswered), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(17, 18))
				f := newCoordinatedFleet(c.instances, rate, c.delay)
				f.unanswered = newUnansweredCharges(c.unanswered)
				anywhere := func() int { return random.IntN(len(f.ledgers)) }
				refused := f.sendRandomly(random, 0.55*rate, 1000, anywhere)
				before := len(f.admitted["w"])
				f.sendRandomly(random, c.times*rate, 1000, anywhere)
				flooded := 0.0
				for _, one := range f.admitted["w"][before:] {
					flooded += one.cost
				}
				t.Logf("most in %s %.3f of what is allowed, %.2f of the rate used in the flood, %d refused before it, %d charges, %d urgent messages", window, f.excess("w"), flooded/(10*rate), refused, f.charges, f.urgent)
				is.True(f.excess("w") <= 1)
				is.Equal(refused, 0)
			})
		})
	}
}
