package policy

import (
	"fmt"
	"math"
	"time"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/model"
	"lacewingrock.example/lacewingrock/internal/placement/retry"
	"lacewingrock.example/lacewingrock/internal/placement/route"
	"lacewingrock.example/lacewingrock/internal/placement/share"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// entry.go is one entry instance: it admits, chooses an upstream, asks its holder and tries again
// within its budget.

const baseModel = "base"

// refKey keeps the maps of adapter versions short to write.
type refKey = model.Reference

const (
	// mostSends is how often one request is sent to an upstream at the most.
	mostSends = 4
	// callerAgain is when the caller of a poisonous request sends it again, mostCallerSends times.
	callerAgain     = time.Second
	mostCallerSends = 5
)

type entry struct {
	sim      *simulation
	name     string
	router   *route.Router
	budget   *retry.Budget
	suspects *suspect.Tracker
	shares   share.Tracker
	rates    [workspaces]rateBucket
	heard    []route.Summary
	sentTo   []int
}

// call is one request on its way.
type call struct {
	request     request
	id          string
	entry       *entry
	fingerprint suspect.Fingerprint
	deadline    time.Time
	alone       bool
	apart       bool
	sends       int
	exclude     []string
	waitedLoad  time.Duration
	wantedLoad  bool
	firstToken  time.Duration
	callerSends int
}

func (c *call) workspace() string { return fmt.Sprint(c.request.workspace) }

func newEntry(s *simulation, number int, declared []resource.Upstream) *entry {
	policy := s.variant.policy
	e := &entry{
		sim:      s,
		name:     fmt.Sprintf("i%d", number),
		router:   &route.Router{Settings: policy.Route},
		budget:   retry.New(policy.RetryRatio, policy.MaxSavedRetries),
		suspects: &suspect.Tracker{Settings: policy.Suspect},
		rates:    newBuckets(s.load, 1.0/instances),
		heard:    make([]route.Summary, len(declared)),
		sentTo:   make([]int, len(declared)),
	}
	e.router.SetUpstreams(declared)
	return e
}

// arrive admits a request and places it. One over its workspace's rate is refused, and rightly so.
func (e *entry) arrive(r request) {
	within := e.sim.rates[r.workspace].take(e.sim.clock.since(), r.cost)
	e.sim.tally.offered(r, within)
	if !within {
		return
	}
	c := &call{request: r, id: r.id, entry: e, deadline: e.sim.clock.now.Add(r.patience)}
	if e.sim.variant.splitRate && !e.rates[r.workspace].take(e.sim.clock.since(), r.cost) {
		e.sim.tally.refuse(c)
		return
	}
	e.submit(c)
}

// submit takes in a request as its caller sends it, or sends it again.
func (e *entry) submit(c *call) {
	c.fingerprint = suspect.FingerprintOf(c.workspace(), c.request.ref.String(), []byte(c.request.id))
	verdict, _ := e.suspects.Judge(e.sim.clock.now, c.fingerprint)
	if verdict == suspect.Refused {
		e.giveUp(c)
		return
	}
	c.alone, c.apart = verdict == suspect.Alone, verdict == suspect.Apart
	e.budget.CountFirstTry()
	e.sim.tally.firsts++
	e.place(c)
}

func (e *entry) place(c *call) {
	name, ok := e.choose(c)
	if !ok {
		e.giveUp(c)
		return
	}
	c.sends++
	asked := holder.Request{
		ID: fmt.Sprintf("%s/%d", c.id, c.sends), Instance: e.name, Incarnation: "1",
		Workspace: c.workspace(), Weight: e.shares.Weight(e.sim.clock.now, c.workspace(), shares[c.request.workspace]),
		Model: c.request.ref, Cost: c.request.cost, Deadline: c.deadline, Alone: c.alone, Apart: c.apart,
	}
	e.sim.calls[asked.ID] = c
	for _, engine := range e.sim.engines {
		if engine.name() == name {
			e.sim.clock.after(hop, func() { e.sim.tell(engine, holder.Arrived{Request: asked}) })
		}
	}
}

func (e *entry) choose(c *call) (name string, ok bool) {
	switch e.sim.variant.chooser.(type) {
	case randomly:
		return e.sim.engines[e.sim.rng.IntN(upstreams)].name(), true
	case leastLoaded:
		return e.leastLoaded(), true
	default:
		choice, err := e.router.Choose(e.sim.clock.now, route.Query{
			Model: c.request.ref, BaseModel: baseModel, Cost: c.request.cost,
			Deadline: c.deadline, Exclude: c.exclude,
		})
		return choice.Upstream, err == nil
	}
}

// leastLoaded is the baseline that sees load and no adapters.
func (e *entry) leastLoaded() string {
	best := 0
	least := math.Inf(1)
	for i, told := range e.heard {
		pressure := told.Backlog.Seconds()*batch - float64(told.FreePlaces) + float64(e.sentTo[i])
		if !told.Healthy && told.Upstream != "" {
			pressure = math.Inf(1)
		}
		if pressure < least {
			least = pressure
			best = i
		}
	}
	e.sentTo[best]++
	return e.sim.engines[best].name()
}

func (e *entry) learn(told holder.Summary, at time.Time) {
	summary := route.Summary{
		Upstream: told.Upstream, Epoch: told.Epoch, FreePlaces: told.FreeBatchSlots,
		Backlog: told.Backlog, Resident: told.Resident, Healthy: told.Healthy, Coldest: told.Coldest, At: at,
	}
	e.router.UpdateSummary(e.sim.clock.now, summary)
	for i, engine := range e.sim.engines {
		if engine.name() == told.Upstream {
			e.heard[i] = summary
			e.sentTo[i] = 0
		}
	}
}

// refused tries another upstream, or tells the caller.
func (e *entry) refused(c *call, by *engine) {
	c.exclude = append(c.exclude, by.name())
	c.wantedLoad = c.wantedLoad || !by.resident[c.request.ref]
	e.again(c)
}

func (e *entry) again(c *call) {
	if c.sends >= mostSends || !e.sim.clock.now.Before(c.deadline) || !e.budget.Allow() {
		e.giveUp(c)
		return
	}
	e.sim.tally.retries++
	e.place(c)
}

// ended takes note of how a granted request ended.
func (e *entry) ended(c *call, upstream string, released holder.Released, took time.Duration) {
	if released.NotResident {
		e.again(c)
		return
	}
	e.router.RecordOutcome(e.sim.clock.now, route.Outcome{
		Upstream: upstream, Tokens: released.Tokens, Took: took, Failed: released.UpstreamFailed,
	})
	if !released.UpstreamFailed {
		e.shares.Served(e.sim.clock.now, c.workspace(), shares[c.request.workspace], released.Tokens)
		e.suspects.RecordCompletion(e.sim.clock.now, c.fingerprint)
		e.sim.tally.answer(c)
		return
	}
	verdict, _ := e.suspects.Judge(e.sim.clock.now, c.fingerprint)
	if verdict == suspect.Refused {
		e.giveUp(c)
		return
	}
	c.alone, c.apart = verdict == suspect.Alone, verdict == suspect.Apart
	e.again(c)
}

// crashed counts this instance's requests that were in flight.
func (e *entry) crashed(lost []*run) {
	var mine []suspect.Fingerprint
	for _, r := range lost {
		if r.call.entry == e {
			mine = append(mine, r.call.fingerprint)
		}
	}
	e.suspects.RecordCrash(e.sim.clock.now, mine)
}

// giveUp refuses the request. The caller of a poisonous one sends it again, to another instance.
func (e *entry) giveUp(c *call) {
	if !c.request.poison || c.callerSends >= mostCallerSends {
		e.sim.tally.refuse(c)
		return
	}
	other := e.sim.entries[(c.request.instance+c.callerSends+1)%instances]
	again := &call{request: c.request, entry: other, callerSends: c.callerSends + 1}
	again.id = fmt.Sprintf("%s+%d", c.request.id, again.callerSends)
	e.sim.clock.after(callerAgain, func() {
		again.deadline = e.sim.clock.now.Add(again.request.patience)
		other.submit(again)
	})
}
