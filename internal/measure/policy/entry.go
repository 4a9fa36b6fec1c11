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

// entry.go models one entry instance: it admits requests, chooses an upstream, asks its holder and retries
// within its retry budget.

const baseModel = "base"

// refKey is the map key for an adapter version.
type refKey = model.Reference

const (
	// maxAttempts is the maximum number of times that one request is sent to an upstream.
	maxAttempts = 4
	// callerRetryDelay is the delay after which the caller of a poison request retries it, up to maxCallerRetries
	// times.
	callerRetryDelay = time.Second
	maxCallerRetries = 5
)

type entry struct {
	sim              *simulation
	name             string
	router           *route.Router
	budget           *retry.Budget
	suspects         *suspect.Tracker
	shares           share.Tracker
	rates            [workspaces]rateBucket
	summaries        []route.Summary
	sentSinceSummary []int
}

// call is one request in progress.
type call struct {
	request       request
	id            string
	entry         *entry
	fingerprint   suspect.Fingerprint
	deadline      time.Time
	alone         bool
	apart         bool
	attempts      int
	exclude       []string
	waitedLoad    time.Duration
	neededLoad    bool
	firstToken    time.Duration
	callerRetries int
}

func (c *call) workspace() string { return fmt.Sprint(c.request.workspace) }

func newEntry(s *simulation, number int, declared []resource.Upstream) *entry {
	policy := s.variant.policy
	e := &entry{
		sim:              s,
		name:             fmt.Sprintf("i%d", number),
		router:           &route.Router{Settings: policy.Route},
		budget:           retry.New(policy.RetryRatio, policy.MaxSavedRetries),
		suspects:         &suspect.Tracker{Settings: policy.Suspect},
		rates:            newBuckets(s.load, 1.0/instances),
		summaries:        make([]route.Summary, len(declared)),
		sentSinceSummary: make([]int, len(declared)),
	}
	e.router.SetUpstreams(declared)
	return e
}

// admit admits a request and places it. One over its workspace's rate limit is refused, which is not counted as a
// wrongful refusal.
func (e *entry) admit(r request) {
	within := e.sim.rates[r.workspace].take(e.sim.clock.elapsed(), r.cost)
	e.sim.tally.recordOffered(r, within)
	if !within {
		return
	}
	c := &call{request: r, id: r.id, entry: e, deadline: e.sim.clock.now.Add(r.timeout)}
	if e.sim.variant.splitRate && !e.rates[r.workspace].take(e.sim.clock.elapsed(), r.cost) {
		e.sim.tally.recordRefusal(c)
		return
	}
	e.submit(c)
}

// submit handles a first send or a retry by the caller.
func (e *entry) submit(c *call) {
	c.fingerprint = suspect.FingerprintOf(c.workspace(), c.request.ref.String(), []byte(c.request.id))
	verdict := e.suspects.Judge(e.sim.clock.now, c.fingerprint).Verdict
	if verdict == suspect.Refused {
		e.refuse(c)
		return
	}
	c.alone, c.apart = verdict == suspect.Alone, verdict == suspect.Apart
	e.budget.CountFirstTry()
	e.sim.tally.firstAttempts++
	e.place(c)
}

func (e *entry) place(c *call) {
	name, ok := e.choose(c)
	if !ok {
		e.refuse(c)
		return
	}
	c.attempts++
	holderRequest := holder.Request{
		ID: fmt.Sprintf("%s/%d", c.id, c.attempts), Instance: e.name, Incarnation: "1",
		Workspace: c.workspace(), Weight: e.shares.Weight(e.sim.clock.now, c.workspace(), trafficShares[c.request.workspace]),
		Model: c.request.ref, Cost: c.request.cost, Deadline: c.deadline, Alone: c.alone, Apart: c.apart,
	}
	e.sim.calls[holderRequest.ID] = c
	for _, engine := range e.sim.engines {
		if engine.name() == name {
			e.sim.clock.after(messageDelay, func() { e.sim.deliver(engine, holder.Arrived{Request: holderRequest}) })
		}
	}
}

func (e *entry) choose(c *call) (name string, ok bool) {
	switch e.sim.variant.chooser.(type) {
	case randomChooser:
		return e.sim.engines[e.sim.rng.IntN(upstreams)].name(), true
	case leastLoadedChooser:
		return e.pickLeastLoaded(), true
	default:
		choice, err := e.router.Choose(e.sim.clock.now, route.Query{
			Model: c.request.ref, BaseModel: baseModel, Cost: c.request.cost,
			Deadline: c.deadline, Exclude: c.exclude,
		})
		return choice.Upstream, err == nil
	}
}

// pickLeastLoaded implements the baseline that considers load and ignores loaded adapters.
func (e *entry) pickLeastLoaded() string {
	best := 0
	least := math.Inf(1)
	for i, summary := range e.summaries {
		pressure := summary.Backlog.Seconds()*batchSlots - float64(summary.FreePlaces) + float64(e.sentSinceSummary[i])
		if !summary.Healthy && summary.Upstream != "" {
			pressure = math.Inf(1)
		}
		if pressure < least {
			least = pressure
			best = i
		}
	}
	e.sentSinceSummary[best]++
	return e.sim.engines[best].name()
}

func (e *entry) updateSummary(received holder.Summary, at time.Time) {
	summary := route.Summary{
		Upstream: received.Upstream, Epoch: received.Epoch, FreePlaces: received.FreeBatchSlots,
		Backlog: received.Backlog, Resident: received.Resident, Healthy: received.Healthy, Coldest: received.Coldest, At: at,
	}
	e.router.UpdateSummary(e.sim.clock.now, summary)
	for i, engine := range e.sim.engines {
		if engine.name() == received.Upstream {
			e.summaries[i] = summary
			e.sentSinceSummary[i] = 0
		}
	}
}

// handleRefusal handles a holder's refusal: it retries the request at another upstream or refuses it to the caller.
func (e *entry) handleRefusal(c *call, by *engine) {
	c.exclude = append(c.exclude, by.name())
	c.neededLoad = c.neededLoad || !by.resident[c.request.ref]
	e.retry(c)
}

func (e *entry) retry(c *call) {
	if c.attempts >= maxAttempts || !e.sim.clock.now.Before(c.deadline) || !e.budget.Allow() {
		e.refuse(c)
		return
	}
	e.sim.tally.retries++
	e.place(c)
}

// handleEnd handles the end of a granted request.
func (e *entry) handleEnd(c *call, upstream string, released holder.Released, took time.Duration) {
	if released.NotResident {
		e.retry(c)
		return
	}
	e.router.RecordOutcome(e.sim.clock.now, route.Outcome{
		Upstream: upstream, Tokens: released.Tokens, Took: took, Failed: released.UpstreamFailed,
	})
	if !released.UpstreamFailed {
		e.shares.Served(e.sim.clock.now, c.workspace(), trafficShares[c.request.workspace], released.Tokens)
		e.suspects.RecordCompletion(e.sim.clock.now, c.fingerprint)
		e.sim.tally.recordAnswer(c)
		return
	}
	verdict := e.suspects.Judge(e.sim.clock.now, c.fingerprint).Verdict
	if verdict == suspect.Refused {
		e.refuse(c)
		return
	}
	c.alone, c.apart = verdict == suspect.Alone, verdict == suspect.Apart
	e.retry(c)
}

// recordCrash records a crash with this instance's requests that were in flight.
func (e *entry) recordCrash(crash suspect.Crash, lost []*execution) {
	var mine []suspect.Fingerprint
	for _, r := range lost {
		if r.call.entry == e {
			mine = append(mine, r.call.fingerprint)
		}
	}
	e.suspects.RecordCrash(e.sim.clock.now, crash, mine)
}

// refuse refuses the request. The caller of a poison request retries it at another instance.
func (e *entry) refuse(c *call) {
	if !c.request.poison || c.callerRetries >= maxCallerRetries {
		e.sim.tally.recordRefusal(c)
		return
	}
	other := e.sim.entries[(c.request.instance+c.callerRetries+1)%instances]
	again := &call{request: c.request, entry: other, callerRetries: c.callerRetries + 1}
	again.id = fmt.Sprintf("%s+%d", c.request.id, again.callerRetries)
	e.sim.clock.after(callerRetryDelay, func() {
		again.deadline = e.sim.clock.now.Add(again.request.timeout)
		other.submit(again)
	})
}
