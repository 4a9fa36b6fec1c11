package quota_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// chargedRequest is a request that was charged and has not run.
type chargedRequest struct {
	at        int
	cost      float64
	chargedAt time.Time
}

// Guards against a workspace that gets more than its rate because requests which were charged before a flood, while the
// bucket was full, wait and are refused in it: the bucket regained their cost before it was returned.
func TestCostsThatWereRegainedAreNotReturned(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const rate = 200_000
		random := rand.New(rand.NewPCG(23, 24))
		f := newCoordinatedFleet(195, rate, 700*time.Millisecond)
		anywhere := func() int { return random.IntN(len(f.ledgers)) }
		f.sendRandomly(random, 0.8*rate, 700, anywhere)
		var waiting []chargedRequest
		ran := len(f.admitted["w"])
		for range 300 {
			for left := random.ExpFloat64(); left < 0.8*rate/2400*0.01; left += random.ExpFloat64() {
				if at := anywhere(); f.admit(at, "w", 2400) {
					waiting = append(waiting, chargedRequest{at: at, cost: 2400, chargedAt: time.Now()})
				}
			}
			f.advance(f.ticks)
			f.ticks++
		}
		f.admitted["w"] = f.admitted["w"][:ran]
		f.sendRandomly(random, 6*rate, 100, anywhere)
		for _, one := range waiting {
			f.ledgers[one.at].Refund("w", one.cost, one.chargedAt)
		}
		f.sendRandomly(random, 6*rate, 900, anywhere)
		flooded := 0.0
		for _, one := range f.admitted["w"][ran:] {
			flooded += one.cost
		}
		t.Logf("%d refunds, most in %s %.3f of what is allowed, %.2f of the rate used", len(waiting), window, f.excess("w"), flooded/(10*rate))
		is.True(f.excess("w") <= 1)
		is.True(flooded >= 0.95*10*rate)
	})
}
