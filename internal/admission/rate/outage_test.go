package rate_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
)

const (
	outageSeed   = 11
	outageLength = 10 * time.Minute
	tick         = 50 * time.Millisecond
	retryEvery   = 50 * time.Millisecond
	fleetRate    = 1000.0 // tokens a second
	fleetBurst   = 10 * fleetRate
	patience     = 250 * time.Millisecond
	mostTokens   = 200 // reserved by a request
	meanTokens   = 100 // spent by a request, from 20 to 180
	perSecond    = 50  // tokens that an engine makes for one request
)

// outage is one case: how the balancer spreads the requests, and what happens besides.
type outage struct {
	name     string
	hot      float64 // share of the requests that go to one instance; which one changes each minute
	load     float64 // offered load as a share of the rate
	borrow   bool
	patience time.Duration
	trouble  bool    // an instance is killed, one freezes for 20 s, one answer in a hundred is lost
	burst    float64 // 0: fleetBurst
	limit    float64
}

// The store is down for ten minutes and the balancer sends most requests to one instance. With a fixed
// share for each instance the workspace would be refused most of what it paid for, though its tokens
// lie idle elsewhere; if instances made do by guessing, it would get more than it paid for.
func TestTenMinutesWithoutTheStore(t *testing.T) {
	tests := []outage{
		{name: "even", load: 0.9, borrow: true, limit: 0.001},
		{name: "four fifths on one", hot: 0.8, load: 0.9, borrow: true, limit: 0.001},
		{name: "all on one", hot: 1, load: 0.9, borrow: true, limit: 0.001},
		{name: "trouble", hot: 0.8, load: 0.8, borrow: true, trouble: true, limit: 0.001},
		// The oracle counts every refusal here as wrong whose tokens the fleet lost at any time before.
		{name: "three times the rate", hot: 0.8, load: 3, borrow: true, limit: 1},
		{name: "burst of 5 s", hot: 0.8, load: 0.9, borrow: true, burst: 5 * fleetRate, limit: 0.02},
		{name: "burst of 5 s, waits", hot: 0.8, load: 0.9, borrow: true, burst: 5 * fleetRate, patience: patience, limit: 0.02},
		{name: "fixed shares, even", load: 0.9, limit: 1},
		{name: "fixed shares, four fifths on one", hot: 0.8, load: 0.9, limit: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := &outageRun{outage: tt, random: rand.New(rand.NewPCG(outageSeed, 0))}
				o.run()
				t.Log(o)
				is.True(o.over < tolerance)                     // spent over the line
				is.True(o.share() <= tt.limit)                  // refused though one bucket would have admitted
				is.True(o.load < 1 || o.used() > 0.98)          // over its rate, a workspace gets all of it
				is.True(o.wrongful+o.rightful < o.requests*3/4) // the fleet still serves
			})
		})
	}
}

type outageRun struct {
	outage
	random   *rand.Rand
	world    *world
	requests int
	rightful int
	wrongful int
	asks     int
	waiting  []waiter
	over     float64
	spent    float64
}

func (o *outageRun) share() float64 { return float64(o.wrongful) / float64(max(o.requests, 1)) }

func (o *outageRun) used() float64 {
	return o.spent / (fleetRate*outageLength.Seconds() + cmp.Or(o.burst, fleetBurst))
}

func (o *outageRun) String() string {
	return fmt.Sprintf("%d requests, %d refused rightly, %d wrongly (%.5f), %.2f asks a request, "+
		"%.1f%% of the line used, %.3f tokens over it", o.requests, o.rightful, o.wrongful, o.share(),
		float64(o.asks)/float64(max(o.requests, 1)), 100*o.used(), max(o.over, 0))
}

func (o *outageRun) run() {
	o.world = newWorld(rate.Limit{Workspace: workspace, Rate: fleetRate, Burst: cmp.Or(o.burst, fleetBurst)})
	o.world.grow("a", "b", "c", "d", "e", "f", "g", "h")
	o.world.pass(30 * time.Second)
	o.world.down = true
	began := time.Now()
	for round := 0; time.Since(began) < outageLength; round++ {
		time.Sleep(tick)
		o.arrive(time.Since(began))
		o.generate()
		if round%int(retryEvery/tick) == 0 {
			o.retry()
		}
		if round%int(beatEvery/tick) == 0 {
			o.exchange(time.Since(began))
		}
		if round%2 == 0 {
			o.over = max(o.over, o.world.line.over(o.world))
		}
	}
	o.spent = o.world.line.spent
}

// exchange does what the daemons do besides serving, and brings about the trouble.
func (o *outageRun) exchange(passed time.Duration) {
	if o.trouble {
		o.world.nodes[6].dead = passed > 3*time.Minute
		o.world.nodes[5].frozen = passed > 5*time.Minute && passed < 5*time.Minute+20*time.Second
	}
	o.world.exchange()
	for _, from := range o.world.live() {
		if o.borrow {
			o.world.topUp(from)
		}
		for _, to := range o.world.live() {
			if from != to {
				o.world.giveBack(from, to)
			}
		}
	}
}

// arrive brings the requests of one tick. The balancer sends none to an instance that does not answer.
func (o *outageRun) arrive(passed time.Duration) {
	expected := o.load * fleetRate / meanTokens * tick.Seconds()
	for ; expected > 0; expected-- {
		if o.random.Float64() >= expected {
			continue
		}
		live := o.world.live()
		n := live[o.random.IntN(len(live))]
		if o.random.Float64() < o.hot {
			n = live[int(passed.Minutes())%len(live)]
		}
		o.requests++
		if !o.try(n) {
			o.refuse(waiter{node: n, until: time.Now().Add(o.patience)})
		}
	}
}

// waiter is a request that waits for refill.
type waiter struct {
	node  *node
	until time.Time
}

// retry lets the waiting requests try again, and refuses those that waited long enough.
func (o *outageRun) retry() {
	waiting := o.waiting
	o.waiting = nil
	for _, each := range waiting {
		if !o.try(each.node) {
			o.refuse(each)
		}
	}
}

// try reserves, after borrowing when the instance is short.
func (o *outageRun) try(n *node) bool {
	err := o.world.reserve(n, mostTokens)
	if err != nil && o.borrow {
		o.world.borrow(n, mostTokens, func() bool {
			o.asks++
			return o.trouble && o.random.IntN(100) == 0
		})
		err = o.world.reserve(n, mostTokens)
	}
	if err != nil {
		return false
	}
	r := o.world.running[len(o.world.running)-1]
	r.unused = float64(o.random.IntN(161) + mostTokens - 180)
	return true
}

// refuse lets the request wait as long as it may, and otherwise counts what one bucket would have done.
func (o *outageRun) refuse(w waiter) {
	if time.Now().Before(w.until) {
		o.waiting = append(o.waiting, w)
		return
	}
	reserved := 0.0
	for _, r := range o.world.running {
		reserved += r.left
	}
	if o.world.line.level-reserved < mostTokens {
		o.rightful++
		return
	}
	o.wrongful++
}

func (o *outageRun) generate() {
	for _, r := range slices.Clone(o.world.running) {
		o.world.generate(r, min(perSecond*tick.Seconds(), max(r.left-r.unused, 0)))
		if r.left <= r.unused+tolerance && r.left > 0 {
			o.world.settle(r)
		}
	}
}
