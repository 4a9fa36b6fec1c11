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

// Guards against refusals within the rate where load balancers spread callers unevenly: an instance that is sent several times
// as much as the others must not assume that the others are sent as much.
func TestUnevenlySpreadCallersAreNotRefusedWithinTheRate(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// favoured instances get part of all requests.
		favoured int
		part     float64
	}{
		{"most callers reach a quarter of the instances", 16, 0.9},
		{"a third of the callers reach one instance", 1, 0.33},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(7, 8))
				limits := map[string]quota.Limit{}
				for i, rate := range []float64{30_000, 100_000, 400_000} {
					limits[fmt.Sprint("w", i)] = quota.Limit{Rate: rate, Burst: 2 * rate}
				}
				f := newFloodedFleet(66, limits, 250*time.Millisecond, time.Second)
				for tick := range 400 {
					f.advance(tick) // a new bucket is empty
				}
				asked, refused := 0, 0
				for tick := range 1000 {
					for i := range len(limits) {
						name := fmt.Sprint("w", i)
						for left := random.ExpFloat64(); left < 0.8*limits[name].Rate/1200*0.01; left += random.ExpFloat64() {
							at := random.IntN(len(f.ledgers))
							if random.Float64() < c.part {
								at = random.IntN(c.favoured)
							}
							asked++
							if !f.admit(at, name, 1200*(0.5+random.Float64())) {
								refused++
							}
						}
					}
					f.advance(400 + tick)
				}
				t.Logf("%d of %d refused", refused, asked)
				is.Equal(refused, 0)
			})
		})
	}
}

// Guards against refusals within the rate while a service is contended: callers that are refused there come back several times,
// and what they did not use is returned to the bucket.
func TestReturnedCostsAreNoDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(9, 10))
		limits := map[string]quota.Limit{"w": {Rate: 400_000, Burst: 400_000}}
		f := newFloodedFleet(66, limits, 250*time.Millisecond, time.Second)
		for tick := range 400 {
			f.advance(tick) // a new bucket is empty
		}
		refused := 0
		for tick := range 800 {
			for left := random.ExpFloat64(); left < 5*400_000.0/1200*0.01; left += random.ExpFloat64() {
				at := random.IntN(len(f.ledgers))
				switch {
				case !f.admit(at, "w", 1200):
					refused++
				case random.Float64() > 0.1: // refused by another part
					f.ledgers[at].Refund("w", 1200, time.Now())
				}
			}
			f.advance(400 + tick)
		}
		is.Equal(refused, 0)
	})
}
