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
// half not at all. As in the entry layer, an instance avoids a coordinator after two such charges in a row, for a second at
// first and twice as long each time.
type unansweredCharges struct {
	random *rand.Rand
	part   float64
	// misses counts the charges in a row without a verdict, avoided is until when a coordinator is avoided and lasts for
	// how long it was, by instance and coordinator.
	misses  map[[2]int]int
	avoided map[[2]int]time.Time
	lasts   map[[2]int]time.Duration
	late    []lateCharge
}

// lateCharge is a charge that reaches its coordinator after its instance has given up.
type lateCharge struct {
	due             time.Time
	at, coordinator int
	charge          quota.Charge
}

// lateness is how long after it was asked a coordinator decides about a late charge.
const lateness = 500 * time.Millisecond

func newUnansweredCharges(part float64) *unansweredCharges {
	return &unansweredCharges{
		random: rand.New(rand.NewPCG(21, 22)), part: part, misses: make(map[[2]int]int),
		avoided: make(map[[2]int]time.Time), lasts: make(map[[2]int]time.Duration),
	}
}

// coordinatorOf returns the first instance that this one does not avoid.
func (u *unansweredCharges) coordinatorOf(at int) (coordinator int) {
	for coordinator != at && time.Now().Before(u.avoided[[2]int{at, coordinator}]) {
		coordinator++
	}
	return coordinator
}

// isAnswered reports whether a charge gets a verdict in time.
func (u *unansweredCharges) isAnswered(at, coordinator int, charge quota.Charge) bool {
	link := [2]int{at, coordinator}
	if u.random.Float64() >= u.part {
		return true
	}
	if u.random.IntN(2) == 0 {
		u.late = append(u.late, lateCharge{due: time.Now().Add(lateness), at: at, coordinator: coordinator, charge: charge})
	}
	u.misses[link]++
	if u.misses[link] == 2 {
		u.lasts[link] = min(max(2*u.lasts[link], time.Second), 8*time.Second)
		u.avoided[link] = time.Now().Add(u.lasts[link])
	}
	return false
}

// deliver has the coordinators decide about the late charges that are due, and returns the verdicts.
func (u *unansweredCharges) deliver(ledgers []*quota.Ledger) {
	for len(u.late) > 0 && !time.Now().Before(u.late[0].due) {
		next := u.late[0]
		u.late = u.late[1:]
		verdict := ledgers[next.coordinator].Decide(time.Now(), next.charge)
		ledgers[next.at].FinishLate(time.Now(), next.charge, verdict)
	}
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
				settling := f.sendRandomly(random, 0.55*rate, 1000, anywhere)
				refusedAfter := f.sendRandomly(random, 0.55*rate, 1000, anywhere)
				t.Logf("most in %s %.3f of what is allowed, %.2f of the rate used in the flood; refused %d in the 10 s before it, %d and %d after it; %d charges, %d urgent messages",
					window, f.excess("w"), flooded/(10*rate), refused, settling, refusedAfter, f.charges, f.urgent)
				is.True(f.excess("w") <= 1)
				is.Equal(refused, 0)
				is.Equal(refusedAfter, 0)
			})
		})
	}
}

// Guards against refusals within the rate where half of the charges get no answer, in normal use and right after all
// buckets have begun to fill: a small debt is no sign that the workspace is over its rate.
func TestUnansweredChargesRefuseNobodyWithinTheRate(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		instances int
		rate, use float64
		// filling: the requests begin when the buckets do.
		filling bool
	}{
		{66, 10_000, 0.5, false},
		{66, 10_000, 0.5, true},
		{195, 30_000, 0.5, false},
		{195, 30_000, 0.5, true},
		{66, 100_000, 0.8, false},
		{66, 100_000, 0.8, true},
		{195, 200_000, 0.8, false},
		{195, 200_000, 0.8, true},
	} {
		t.Run(fmt.Sprintf("%d instances, %.1f of %.0f a second, filling %t", c.instances, c.use, c.rate, c.filling), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(31, 32))
				f := newFloodedFleet(c.instances, map[string]quota.Limit{"w": {Rate: c.rate, Burst: c.rate}}, 700*time.Millisecond, time.Second)
				if !c.filling {
					f = newCoordinatedFleet(c.instances, c.rate, 700*time.Millisecond)
				}
				f.coordinated = true
				f.unanswered = newUnansweredCharges(0.5)
				is.Equal(f.sendRandomly(random, c.use*c.rate, 2000, func() int { return random.IntN(c.instances) }), 0)
			})
		})
	}
}
