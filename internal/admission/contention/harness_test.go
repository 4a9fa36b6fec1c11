package contention_test

// Test harness: a fleet whose instances share one service, and callers that come back when they are told to.

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/contention"
	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

const service = "engines"

// kind is a kind of requests: their priority, objective and timeout.
type kind struct {
	priority  int
	objective time.Duration
	timeout   time.Duration
	// part is the part of all requests of a workspace.
	part float64
}

// customer is a workspace with the rate that it sends and the rate that it bought, in requests a second.
type customer struct {
	name  string
	sends float64
	rate  float64
}

// fleet is a simulation. Its callers arrive at random, at any of its instances.
type fleet struct {
	instances int
	// capacity is how many requests the service completes in a second. slots is how many run at once; 0 for an engine,
	// which prefills one after the other.
	capacity float64
	slots    int
	kinds    []kind
	// load returns what arrives at a time since the begin.
	load func(at time.Duration) []customer
	// cutOff is the number of instances that no other hears, and gossip the interval of the totals.
	cutOff int
	gossip time.Duration
	// noRetries: callers do not come back. off: no classes, as without a controller.
	noRetries bool
	off       bool
	seed      uint64
	random    *rand.Rand

	now     time.Time
	begun   time.Time
	nodes   []*node
	free    []time.Time
	running []time.Time
	queue   events
}

type node struct {
	name       string
	controller *contention.Controller
	ledger     *quota.Ledger
	pool       *pool.Pool
}

// caller is one caller with its request. It sends it again after a refusal.
type caller struct {
	kind      kind
	workspace string
	arrived   time.Time
	attempts  int
	// scheduled: the first refusal kept a turn for it. refusedFor is the reason.
	scheduled bool
	refusals  []refusalSeen
	served    bool
	endedAt   time.Time
	onTime    bool
	floor     bool
	turn      bool
}

type refusalSeen struct {
	at       time.Duration
	reason   contention.Reason
	class    contention.Class
	after    time.Duration
	left     time.Duration
	instance int
}

// events are what happens later, by time.
type events []event

type event struct {
	at time.Time
	do func()
}

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (f *fleet) after(delay time.Duration, do func()) {
	heap.Push(&f.queue, event{at: f.now.Add(delay), do: do})
}

// run simulates the fleet for some time and returns all callers.
func (f *fleet) run(span time.Duration) (callers []*caller) {
	f.random = rand.New(rand.NewPCG(f.seed, 2))
	f.begun = time.Unix(1e9, 0)
	f.now = f.begun
	f.start()
	f.after(f.gossip, func() { f.exchange(span) })
	const step = 10 * time.Millisecond
	var arrive func()
	arrive = func() {
		if f.now.Sub(f.begun) >= span {
			return
		}
		for _, c := range f.load(f.now.Sub(f.begun)) {
			for _, k := range f.kinds {
				for range f.poisson(c.sends * k.part * step.Seconds()) {
					one := &caller{kind: k, workspace: c.name}
					callers = append(callers, one)
					f.after(time.Duration(f.random.Float64()*float64(step)), func() {
						one.arrived = f.now
						f.send(one)
					})
				}
			}
		}
		f.after(step, arrive)
	}
	f.after(0, arrive)
	for len(f.queue) > 0 && f.now.Sub(f.begun) < span+20*time.Second {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.do()
	}
	return callers
}

func (f *fleet) poisson(mean float64) (count int) {
	for left := f.random.ExpFloat64(); left < mean; left += f.random.ExpFloat64() {
		count++
	}
	return count
}

func (f *fleet) start() {
	configuration := traffic.Configuration{Version: 1, Services: map[string]traffic.Service{service: {Name: service}}}
	for _, k := range f.kinds {
		configuration.Routes = append(configuration.Routes, traffic.Route{
			Priority: k.priority, Objective: k.objective, Timeout: k.timeout, Targets: []traffic.Target{{Service: service, Weight: 1}},
		})
	}
	limits := map[string]quota.Limit{}
	for _, c := range f.load(0) {
		configuration.Workspaces = append(configuration.Workspaces, traffic.Workspace{Name: c.name, Rate: c.rate, Burst: 1e6})
		limits[c.name] = quota.Limit{Rate: c.rate, Burst: 1e6}
	}
	f.nodes = nil
	f.free = make([]time.Time, max(f.slots, 1))
	for i := range f.instances {
		n := &node{
			name: fmt.Sprint("i", i), controller: &contention.Controller{}, ledger: &quota.Ledger{},
			pool: &pool.Pool{Settings: pool.DefaultSettings()},
		}
		n.controller.Configure(&configuration)
		n.pool.Configure(configuration.Services)
		var others []string
		for j := range f.instances {
			if j != i {
				others = append(others, fmt.Sprint("i", j))
			}
		}
		n.ledger.PeerTimeout = 3 * f.gossip
		n.ledger.SetPeers(f.now.Add(-time.Minute), nil) // the whole burst is there at the begin
		n.ledger.SetLimits(f.now.Add(-time.Minute), limits)
		n.ledger.SetPeers(f.now, others)
		f.nodes = append(f.nodes, n)
	}
}

// exchange delivers the totals of all instances that are not cut off. It ends after the span once nothing else happens any
// more, since it takes most of the time of a simulation.
func (f *fleet) exchange(span time.Duration) {
	if f.now.Sub(f.begun) >= span && len(f.queue) == 0 {
		return
	}
	for i, from := range f.nodes {
		totals := from.ledger.OwnTotals()
		for j, to := range f.nodes {
			if i == j || i < f.cutOff || j < f.cutOff {
				continue
			}
			to.ledger.MergeTotals(f.now, from.name, "1", totals)
		}
	}
	f.after(f.gossip, func() { f.exchange(span) })
}

// wait is how long a request that arrives now waits until its work begins, and begin begins it.
func (f *fleet) wait() time.Duration {
	return max(f.free[f.earliest()].Sub(f.now), 0)
}

func (f *fleet) earliest() (first int) {
	for i := range f.free {
		if f.free[i].Before(f.free[first]) {
			first = i
		}
	}
	return first
}

func (f *fleet) workTime() time.Duration {
	return time.Duration(float64(max(f.slots, 1)) / f.capacity * float64(time.Second))
}

// limit is how long a request may wait in the highest class. The queue of slots is full with two requests for each.
func (f *fleet) limit(k kind) time.Duration {
	if f.slots > 0 {
		return min(k.objective/2, f.workTime())
	}
	return k.objective / 2
}

// inFlight is how many requests are at the service.
func (f *fleet) inFlight() int {
	still := f.running[:0]
	for _, ends := range f.running {
		if ends.After(f.now) {
			still = append(still, ends)
		}
	}
	f.running = still
	return len(still)
}

// send sends the request of a caller to any instance.
func (f *fleet) send(c *caller) {
	at := f.random.IntN(f.instances)
	n := f.nodes[at]
	c.attempts++
	waited := f.now.Sub(c.arrived)
	remaining := c.kind.timeout - waited
	work := f.workTime()
	queue := f.wait()
	if _, admitted := n.ledger.Admit(f.now, c.workspace, 1); !admitted {
		return
	}
	choice := pool.Choice{Expected: queue + work, ExpectedIdle: work}
	budget := pool.TimeBudget{OnTime: c.kind.objective, Remaining: remaining, Objective: c.kind.objective}
	after, refused := n.pool.Refuse(f.now, pool.Query{Service: service}, choice, budget)
	verdict := contention.Fits
	switch {
	case queue+work > remaining || f.slots > 0 && f.inFlight() >= 2*f.slots:
		verdict, refused = contention.Impossible, true
	case refused:
		verdict = contention.TooLong
	}
	var class contention.Class
	seen := refusalSeen{at: f.now.Sub(f.begun), left: remaining, instance: at, after: after, reason: contention.ReasonQueue}
	if !f.off {
		if n.controller.IsUseDue(f.now) {
			n.controller.RecordUse(f.now, n.ledger.FleetTotals(f.now))
		}
		decision := n.controller.Decide(f.now, contention.Request{
			Service: service, Workspace: c.workspace, Priority: c.kind.priority, Cost: 1, Queue: queue,
			Limit: f.limit(c.kind), Objective: c.kind.objective, Remaining: remaining, Allowed: remaining, Route: fmt.Sprint(c.kind), Verdict: verdict,
		})
		switch decision := decision.(type) {
		case contention.Admit:
			refused = false
			class = decision.Class
			c.floor, c.turn = decision.Floor, decision.Returned
		case contention.Refuse:
			refused = true
			seen.reason, seen.class, seen.after = decision.Reason, decision.Class, decision.RetryAfter
			if c.attempts == 1 {
				c.scheduled = decision.Scheduled
			}
		}
	}
	if refused {
		n.ledger.Refund(c.workspace, 1, f.now)
		c.refusals = append(c.refusals, seen)
		if !f.noRetries && seen.after <= remaining/3 && remaining > 50*time.Millisecond && c.attempts < 10 {
			f.after(seen.after, func() { f.send(c) })
		}
		return
	}
	slot := f.earliest()
	ends := f.now.Add(queue + work)
	f.free[slot] = ends
	f.running = append(f.running, ends)
	f.after(queue+work, func() {
		c.served = true
		c.endedAt = f.now
		c.onTime = f.now.Sub(c.arrived) <= c.kind.objective
		n.controller.RecordCompletion(f.now, service, class, 1)
	})
}

// arrivedBetween returns the callers that arrived between two times since the begin.
func (f *fleet) arrivedBetween(callers []*caller, from, until time.Duration) (list []*caller) {
	for _, c := range callers {
		if at := c.arrived.Sub(f.begun); at >= from && at < until {
			list = append(list, c)
		}
	}
	return list
}

// onTimePart returns the part of the selected callers that were served on time.
func onTimePart(callers []*caller, selected func(c *caller) bool) float64 {
	return part(callers, selected, func(c *caller) bool { return c.onTime })
}

// servedPart returns the part of the selected callers that were served.
func servedPart(callers []*caller, selected func(c *caller) bool) float64 {
	return part(callers, selected, func(c *caller) bool { return c.served })
}

// part returns the part of the selected callers to which something applies.
func part(callers []*caller, selected, applies func(c *caller) bool) float64 {
	some, all := 0, 0
	for _, c := range callers {
		if !selected(c) {
			continue
		}
		all++
		if applies(c) {
			some++
		}
	}
	return float64(some) / float64(max(all, 1))
}
