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
	maxWait      = 250 * time.Millisecond
	maxTokens    = 200 // reserved by a request
	meanTokens   = 100 // spent by a request, from 20 to 180
	perSecond    = 50  // tokens a second that an engine generates for one request
)

// outage is one test case: how the load balancer distributes the requests, and which faults occur.
type outage struct {
	name    string
	skew    float64 // fraction of the requests that go to one instance; which one changes each minute
	load    float64 // offered load as a fraction of the rate
	borrow  bool
	maxWait time.Duration
	faults  bool    // an instance is killed, one freezes for 20 s, one response in a hundred is lost
	burst   float64 // 0: fleetBurst
	limit   float64
}

// Guards against wrongful refusals and overspending while the store is down for ten minutes and the load balancer
// sends most requests to one instance. With a fixed share for each instance, the workspace would be refused most of
// what it paid for although its tokens are unused elsewhere; if instances guessed, it would get more than it paid
// for.
func TestTenMinutesWithoutTheStore(t *testing.T) {
	tests := []outage{
		{name: "even", load: 0.9, borrow: true, limit: 0.001},
		{name: "four fifths on one", skew: 0.8, load: 0.9, borrow: true, limit: 0.001},
		{name: "all on one", skew: 1, load: 0.9, borrow: true, limit: 0.001},
		{name: "faults", skew: 0.8, load: 0.8, borrow: true, faults: true, limit: 0.001},
		// Here the oracle counts every refusal as wrongful if the fleet lost the tokens for it at any time before.
		{name: "three times the rate", skew: 0.8, load: 3, borrow: true, limit: 1},
		{name: "burst of 5 s", skew: 0.8, load: 0.9, borrow: true, burst: 5 * fleetRate, limit: 0.02},
		{name: "burst of 5 s, waits", skew: 0.8, load: 0.9, borrow: true, burst: 5 * fleetRate, maxWait: maxWait, limit: 0.02},
		{name: "fixed shares, even", load: 0.9, limit: 1},
		{name: "fixed shares, four fifths on one", skew: 0.8, load: 0.9, limit: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := &outageRun{outage: tt, random: rand.New(rand.NewPCG(outageSeed, 0))}
				o.run()
				t.Log(o)
				is.True(o.excess < tolerance)                   // spent above the limit
				is.True(o.wrongfulFraction() <= tt.limit)       // refused although a single bucket would have admitted
				is.True(o.load < 1 || o.usedFraction() > 0.98)  // above its rate, a workspace gets all of the rate
				is.True(o.wrongful+o.rightful < o.requests*3/4) // the fleet still serves
			})
		})
	}
}

type outageRun struct {
	outage
	random         *rand.Rand
	fleet          *simulation
	requests       int
	rightful       int
	wrongful       int
	borrowRequests int
	waiting        []waiter
	excess         float64
	spent          float64
}

func (o *outageRun) wrongfulFraction() float64 {
	return float64(o.wrongful) / float64(max(o.requests, 1))
}

func (o *outageRun) usedFraction() float64 {
	return o.spent / (fleetRate*outageLength.Seconds() + cmp.Or(o.burst, fleetBurst))
}

func (o *outageRun) String() string {
	return fmt.Sprintf("%d requests, %d refused rightly, %d wrongly (%.5f), %.2f borrow requests a request, "+
		"%.1f%% of the limit used, %.3f tokens above it", o.requests, o.rightful, o.wrongful, o.wrongfulFraction(),
		float64(o.borrowRequests)/float64(max(o.requests, 1)), 100*o.usedFraction(), max(o.excess, 0))
}

func (o *outageRun) run() {
	o.fleet = newSimulation(rate.Limit{Workspace: workspace, Rate: fleetRate, Burst: cmp.Or(o.burst, fleetBurst)})
	o.fleet.grow("a", "b", "c", "d", "e", "f", "g", "h")
	o.fleet.advance(30 * time.Second)
	o.fleet.down = true
	start := time.Now()
	for round := 0; time.Since(start) < outageLength; round++ {
		time.Sleep(tick)
		o.arrive(time.Since(start))
		o.generate()
		if round%int(retryEvery/tick) == 0 {
			o.retry()
		}
		if round%int(heartbeatInterval/tick) == 0 {
			o.exchange(time.Since(start))
		}
		if round%2 == 0 {
			o.excess = max(o.excess, o.fleet.oracle.excess(o.fleet))
		}
	}
	o.spent = o.fleet.oracle.spent
}

// exchange does what the daemons do in the background, and injects the faults.
func (o *outageRun) exchange(passed time.Duration) {
	if o.faults {
		o.fleet.nodes[6].dead = passed > 3*time.Minute
		o.fleet.nodes[5].frozen = passed > 5*time.Minute && passed < 5*time.Minute+20*time.Second
	}
	o.fleet.exchange()
	for _, from := range o.fleet.live() {
		if o.borrow {
			o.fleet.rebalance(from)
		}
		for _, to := range o.fleet.live() {
			if from != to {
				o.fleet.deliverReturns(from, to)
			}
		}
	}
}

// arrive generates the requests of one tick. The load balancer sends none to an instance that does not respond.
func (o *outageRun) arrive(passed time.Duration) {
	expected := o.load * fleetRate / meanTokens * tick.Seconds()
	for ; expected > 0; expected-- {
		if o.random.Float64() >= expected {
			continue
		}
		live := o.fleet.live()
		n := live[o.random.IntN(len(live))]
		if o.random.Float64() < o.skew {
			n = live[int(passed.Minutes())%len(live)]
		}
		o.requests++
		if !o.try(n) {
			o.refuse(waiter{node: n, until: time.Now().Add(o.maxWait)})
		}
	}
}

// waiter is a request that waits for refill.
type waiter struct {
	node  *node
	until time.Time
}

// retry retries the waiting requests, and refuses those whose wait has ended.
func (o *outageRun) retry() {
	waiting := o.waiting
	o.waiting = nil
	for _, each := range waiting {
		if !o.try(each.node) {
			o.refuse(each)
		}
	}
}

// try reserves tokens, after borrowing if the instance has too few.
func (o *outageRun) try(n *node) bool {
	err := o.fleet.reserve(n, maxTokens)
	if err != nil && o.borrow {
		o.fleet.borrow(n, maxTokens, func() bool {
			o.borrowRequests++
			return o.faults && o.random.IntN(100) == 0
		})
		err = o.fleet.reserve(n, maxTokens)
	}
	if err != nil {
		return false
	}
	r := o.fleet.running[len(o.fleet.running)-1]
	r.unused = float64(o.random.IntN(161) + maxTokens - 180)
	return true
}

// refuse lets the request wait until its deadline; after that it counts the refusal as rightful or wrongful,
// depending on whether a single bucket would have admitted the request.
func (o *outageRun) refuse(w waiter) {
	if time.Now().Before(w.until) {
		o.waiting = append(o.waiting, w)
		return
	}
	reserved := 0.0
	for _, r := range o.fleet.running {
		reserved += r.left
	}
	if o.fleet.oracle.level-reserved < maxTokens {
		o.rightful++
		return
	}
	o.wrongful++
}

func (o *outageRun) generate() {
	for _, r := range slices.Clone(o.fleet.running) {
		o.fleet.generate(r, min(perSecond*tick.Seconds(), max(r.left-r.unused, 0)))
		if r.left <= r.unused+tolerance && r.left > 0 {
			o.fleet.settle(r)
		}
	}
}
