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

// sendRandomly sends a workspace's requests of 2,400 units on the mean, as many units a second as given, and returns how
// many were refused. pick chooses the instance of each.
func (f *floodedFleet) sendRandomly(random *rand.Rand, perSecond float64, ticks int, pick func() int) (refused int) {
	for range ticks {
		for left := random.ExpFloat64(); left < perSecond/2400*0.01; left += random.ExpFloat64() {
			if !f.admit(pick(), "w", 2400*(0.25+1.5*random.Float64())) {
				refused++
			}
		}
		f.advance(f.ticks)
		f.ticks++
	}
	return refused
}

// newCoordinatedFleet is a fleet with one workspace whose buckets are full.
func newCoordinatedFleet(instances int, rate float64, delay time.Duration) *floodedFleet {
	f := newFloodedFleet(instances, map[string]quota.Limit{"w": {Rate: rate, Burst: rate}}, delay, time.Second)
	f.coordinated = true
	for range 400 {
		f.advance(f.ticks)
		f.ticks++
	}
	return f
}

// Guards against refusals within the rate where the coordinator decides, also if the callers reach a few instances.
func TestCoordinatorRefusesNobodyWithinTheRate(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		favoured int
		part     float64
	}{
		{"evenly spread callers", 195, 1},
		{"most callers reach a tenth of the instances", 20, 0.9},
		{"a third of the callers reach one instance", 1, 0.33},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(13, 14))
				f := newCoordinatedFleet(195, 200_000, 1500*time.Millisecond)
				refused := f.sendRandomly(random, 0.8*200_000, 2000, func() int {
					if random.Float64() < c.part {
						return random.IntN(c.favoured)
					}
					return random.IntN(len(f.ledgers))
				})
				is.Equal(refused, 0)
			})
		})
	}
}

// Guards against a workspace that gets more than its rate when its coordinator is lost in the middle of a flood, or when a
// part of the instances reaches no coordinator and decides from totals that are late.
func TestFloodWithoutTheCoordinatorStaysWithinTheRate(t *testing.T) {
	t.Parallel()
	const rate = 200_000
	for _, c := range []struct {
		name string
		// lostAfter is when another instance becomes the coordinator, cutOff how many instances reach none.
		lostAfter time.Duration
		cutOff    int
	}{
		{"lost as the flood begins", 500 * time.Millisecond, 0},
		{"lost in the flood", 3 * time.Second, 0},
		{"a tenth of the instances reaches none", 0, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(15, 16))
				f := newCoordinatedFleet(195, rate, 700*time.Millisecond)
				f.cutOff = make(map[int]bool)
				for i := range c.cutOff {
					f.cutOff[10+i] = true
				}
				anywhere := func() int { return random.IntN(len(f.ledgers)) }
				f.sendRandomly(random, 0.55*rate, 1000, anywhere)
				f.sendRandomly(random, 6*rate, int(c.lostAfter/(10*time.Millisecond)), anywhere)
				if c.lostAfter > 0 {
					f.coordinator = 1
				}
				f.sendRandomly(random, 6*rate, 1000, anywhere)
				t.Logf("most in %s %.3f of what is allowed, %d charges, %d urgent messages", window, f.excess("w"), f.charges, f.urgent)
				is.True(f.excess("w") <= 1)
			})
		})
	}
}

// Guards against a workspace that gets more than its rate while most of its requests are refused elsewhere after they were
// charged: costs that were returned would be admitted again without asking, on top of what the coordinator admits.
func TestReturnedCostsAreAskedForAgain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const rate = 200_000
		random := rand.New(rand.NewPCG(19, 20))
		f := newCoordinatedFleet(195, rate, 700*time.Millisecond)
		for range 1500 {
			for left := random.ExpFloat64(); left < 9*rate/2400*0.01; left += random.ExpFloat64() {
				at := random.IntN(len(f.ledgers))
				if f.admit(at, "w", 2400) && random.Float64() < 0.6 {
					f.admitted["w"] = f.admitted["w"][:len(f.admitted["w"])-1]
					f.ledgers[at].Refund("w", 2400, time.Now())
				}
			}
			f.advance(f.ticks)
			f.ticks++
		}
		one := f.ledgers[1]
		asked, pending := one.Begin(time.Now(), "w", 2400, quota.Peer{Name: "0"}).(quota.Asked)
		for ; !pending; asked, pending = one.Begin(time.Now(), "w", 2400, quota.Peer{Name: "0"}).(quota.Asked) {
			f.advance(f.ticks)
			f.ticks++
		}
		one.Finish(time.Now(), asked.Charge, quota.Charged{})
		one.Refund("w", 2400, time.Now())
		_, pending = one.Begin(time.Now(), "w", 2400, quota.Peer{Name: "0"}).(quota.Asked)
		is.True(pending)
		used := 2400 * float64(len(f.admitted["w"])) / (15 * rate)
		t.Logf("most in %s %.3f of what is allowed, %.2f of the rate used", window, f.excess("w"), used)
		is.True(f.excess("w") <= 1)
		is.True(used >= 0.9)
	})
}

// Guards against a coordinator that has just started and decides from a bucket that is empty or does not contain what the
// others have admitted.
func TestNewLedgerDecidesForNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFloodedFleet(3, map[string]quota.Limit{"w": {Rate: 1000, Burst: 1000}}, 0, time.Second)
		charge := quota.Charge{Instance: "1", Incarnation: "1", Version: 1, Workspace: "w", Cost: 100, Total: 100}
		is.Equal(f.ledgers[0].Decide(time.Now(), charge), quota.Unanswered{})
		time.Sleep(5 * time.Second)
		is.Equal(f.ledgers[0].Decide(time.Now(), charge), quota.Charged{})
		charge.Workspace = "unknown"
		is.Equal(f.ledgers[0].Decide(time.Now(), charge), quota.Unanswered{})
	})
}

// Guards against totals at the coordinator that count a charge twice, lose one, or return one: charges of an instance
// overtake each other, a record that is older than a charge arrives after it, and the instance starts again.
func TestChargesCountOnceInAnyOrder(t *testing.T) {
	charge := func(incarnation string, version int64, cost, total float64) quota.Charge {
		return quota.Charge{Instance: "1", Incarnation: incarnation, Version: version, Workspace: "w", Cost: cost, Total: total}
	}
	for _, c := range []struct {
		name string
		send func(ledger *quota.Ledger)
		// left is the level afterwards, of 1000.
		left float64
	}{
		{"in order", func(l *quota.Ledger) {
			l.Decide(time.Now(), charge("1", 1, 100, 100))
			l.Decide(time.Now(), charge("1", 2, 100, 200))
		}, 800},
		{"overtaken", func(l *quota.Ledger) {
			l.Decide(time.Now(), charge("1", 2, 100, 200))
			l.Decide(time.Now(), charge("1", 1, 100, 100))
		}, 800},
		{"a charge that was lost, or withdrawn for lack of an answer", func(l *quota.Ledger) {
			l.Decide(time.Now(), charge("1", 2, 100, 300))
		}, 700},
		{"an older record arrives after the charge", func(l *quota.Ledger) {
			l.Decide(time.Now(), charge("1", 5, 100, 100))
			old := l.WithCharged("1", 4, quota.Totals{"w": 0, "v": 0})
			l.MergePartialTotals(time.Now(), "1", "1", old)
		}, 900},
		{"an older record with all totals", func(l *quota.Ledger) {
			l.Decide(time.Now(), charge("1", 5, 100, 100))
			l.MergeTotals(time.Now(), "1", "1", l.WithCharged("1", 4, quota.Totals{"w": 0, "v": 0}))
		}, 900},
		{"an older record from before the first charge", func(l *quota.Ledger) {
			l.Decide(time.Now(), charge("1", 5, 100, 100))
			l.MergeTotals(time.Now(), "1", "1", l.WithCharged("1", 4, quota.Totals{"v": 0}))
			l.Decide(time.Now(), charge("1", 6, 100, 200))
		}, 800},
		{"a newer record returns a cost that did not run", func(l *quota.Ledger) {
			l.Decide(time.Now(), charge("1", 5, 100, 100))
			l.MergePartialTotals(time.Now(), "1", "1", l.WithCharged("1", 6, quota.Totals{"w": 0}))
		}, 1000},
		{"the instance starts again", func(l *quota.Ledger) {
			l.Decide(time.Now(), charge("1", 1, 100, 100))
			l.Decide(time.Now(), charge("2", 7, 50, 50))
			l.MergeTotals(time.Now(), "1", "2", quota.Totals{"w": 50})
		}, 850},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFloodedFleet(2, map[string]quota.Limit{"w": {Rate: 1000, Burst: 1000}, "v": {Rate: 1, Burst: 1}}, 0, time.Second)
				time.Sleep(5 * time.Second)
				ledger := f.ledgers[0]
				c.send(ledger)
				is.Equal(ledger.Estimate(time.Now(), "w").Level, c.left)
			})
		})
	}
}

// Guards against instances that ask the coordinator for each of the requests that it will refuse: at several times the
// rate the coordinator would spend its processor time on refusals. All that the bucket gains must still be admitted.
func TestInstancesAskLessWhileAWorkspaceIsOverItsRate(t *testing.T) {
	t.Parallel()
	for _, times := range []float64{1.2, 4, 12, 40} {
		t.Run(fmt.Sprintf("%.1f times the rate", times), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const rate, seconds = 200_000, 10
				random := rand.New(rand.NewPCG(17, 18))
				f := newCoordinatedFleet(195, rate, 700*time.Millisecond)
				anywhere := func() int { return random.IntN(len(f.ledgers)) }
				f.sendRandomly(random, times*rate, 200, anywhere)
				charges, admitted := f.charges, len(f.admitted["w"])
				f.sendRandomly(random, times*rate, 100*seconds, anywhere)
				used := 0.0
				for _, one := range f.admitted["w"][admitted:] {
					used += one.cost
				}
				asked := float64(f.charges-charges) * 2400 / (rate * seconds)
				t.Logf("charges %.2f times the rate, %.3f of the rate used", asked, used/(rate*seconds))
				is.True(used >= 0.95*rate*seconds)
				is.True(asked <= 5)
			})
		})
	}
}
