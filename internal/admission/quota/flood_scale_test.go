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

// Guards against a workspace that gets more than its rate when it begins to send several times the rate to all instances
// of a large fleet: the bucket is full, an instance sees few of the requests, and the totals of the others take long.
func TestFloodOutOfNormalUseStaysWithinTheRate(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		instances int
		times     float64
		delay     time.Duration
	}{
		{66, 6, 700 * time.Millisecond},
		{66, 6, 1500 * time.Millisecond},
		{195, 3, 1500 * time.Millisecond},
		{195, 6, 700 * time.Millisecond},
		{195, 6, 1500 * time.Millisecond},
		{330, 9, 1500 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d instances, %.0f times the rate, totals take %s", c.instances, c.times, c.delay), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const rate, normal = 200_000, 0.55
				random := rand.New(rand.NewPCG(11, 12))
				f := newFloodedFleet(c.instances, map[string]quota.Limit{"w": {Rate: rate, Burst: rate}}, c.delay, time.Second)
				f.coordinated = true
				for tick := range 400 {
					f.advance(tick) // a new bucket is empty
				}
				send := func(fromTick, ticks int, asked float64) (refused int) {
					for tick := range ticks {
						for left := random.ExpFloat64(); left < asked/2400*0.01; left += random.ExpFloat64() {
							if !f.admit(random.IntN(len(f.ledgers)), "w", 2400*(0.25+1.5*random.Float64())) {
								refused++
							}
						}
						f.advance(fromTick + tick)
					}
					return refused
				}
				refused := send(400, 1000, normal*rate)
				before := len(f.admitted["w"])
				send(1400, 1000, c.times*rate)
				flooded := 0.0
				for _, one := range f.admitted["w"][before:] {
					flooded += one.cost
				}
				t.Logf("most in %s %.3f of what is allowed, %.2f of the rate used in the flood, %d urgent messages, %d charges", window, f.excess("w"), flooded/(10*rate), f.urgent, f.charges)
				is.Equal(refused, 0)
				is.True(f.excess("w") <= 1)
				is.True(flooded >= 0.9*10*rate)
			})
		})
	}
}
