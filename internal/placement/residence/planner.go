package residence

import (
	"cmp"
	"sort"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/forecast"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/timing/instant"
)

const (
	// reportLag is the maximum age of a report on arrival, according to the upstreams' documentation. A report
	// fetched sooner after an order may not show that order's effect.
	reportLag = 300 * time.Millisecond
	// fewerOrdersAfter is how long after an accepted order a report that counts fewer orders counts as older than it:
	// several times reportLag.
	fewerOrdersAfter = time.Second
	// fetchInterval is the interval between two report requests while the state is unknown: each request is billed.
	fetchInterval = 150 * time.Millisecond
	// maxReportAge is the maximum age of the last report. Refreshing it detects changes that no order made, such
	// as an undetected restart.
	maxReportAge = 10 * time.Second
	// maxConcurrentLoads is how many adapters an upstream can load at the same time.
	maxConcurrentLoads = 4
	// pollInterval is the poll interval for an order that loads no adapter.
	pollInterval = 30 * time.Millisecond
	// maxRepeats is how often an order without a response is repeated before the upstream is considered
	// unreachable and the planner waits for its report. repeatDelay is the delay before each repeat.
	maxRepeats  = 6
	repeatDelay = 15 * time.Millisecond
	// replaceIfUsedWithin is the age of the last use up to which an adapter is replaced as soon as a newer version
	// is declared. Other adapters are replaced once a request waits for them.
	replaceIfUsedWithin = 3 * time.Second
	// reservationTime is how long an adapter that was just prepared for a request counts as in use, unless its use is
	// reported earlier: instances notify the holder at once when they begin or end using an adapter.
	reservationTime = 350 * time.Millisecond
	// defaultTurnover is the estimated time that an adapter occupies an adapter slot, used until a pace was measured:
	// a load and a short stream. The measured pace is a moving mean over the last few grants. Gaps longer than
	// maxPace are ignored: during them no adapter waited.
	defaultTurnover = 700 * time.Millisecond
	paceWeight      = 0.2
	maxPace         = time.Second
	// maxRecent is how many recently loaded adapters the upstream is assumed to keep a copy of after eviction.
	maxRecent = 30
)

// Planner decides for one upstream. Set Contention and Engine before use, and Engine anew when the configuration
// changes it. It is not safe for concurrent use.
type Planner struct {
	Engine traffic.Engine
	// LoadEstimate is the time of a load from the weight store, measured at other upstreams of the service. It is used
	// until a load was measured here; 0 if unknown.
	LoadEstimate time.Duration
	// ReloadEstimate is the same for a load from a recent copy near the upstream.
	ReloadEstimate time.Duration
	// Contention: adapter slots are granted by class, and a part of them is reserved for higher priorities.
	Contention bool

	// stateKnown is true while sequence and residents match the upstream's state as far as its responses show.
	stateKnown bool
	// reported is true once a report was applied, confirmed once a second one agreed; see ApplyReport. acceptedAt is when the
	// response to an order last raised sequence.
	reported   bool
	confirmed  bool
	confirmAt  time.Time
	sequence   int64
	acceptedAt time.Time
	reportedAt time.Time
	fetchAt    time.Time
	// doubted: the life that the state is of may have ended.
	doubted   bool
	residents map[traffic.Adapter]*resident
	waiters   map[traffic.Adapter]*waiterGroup
	newest    map[traffic.Adapter]int64
	inUse     map[traffic.Adapter]bool
	recent    []traffic.Adapter
	// fullLoads and reloads predict load times from the weight store and from a copy near the upstream.
	fullLoads forecast.LoadTime
	reloads   forecast.LoadTime
	grantedAt time.Time
	grantPace time.Duration
	// unanswered is the last order if it got no response; repeats counts how often it was given.
	unanswered *Order
	repeats    int
	repeatAt   time.Time
	// classes, uses and the last grant are kept under contention only.
	classes classTracker
	uses    map[traffic.Adapter]adapterUse
	grant   Grant
}

type state int

const (
	loaded state = iota
	loading
	unloading
)

// resident is an adapter or a base model in the upstream's memory. Each adapter takes one adapter slot.
type resident struct {
	state   state
	version int64
	// loadingVersion is the version of a load in progress, 0 if there is none. orderedVersion is the version in the
	// order.
	loadingVersion int64
	orderedVersion int64
	pollAt         time.Time
	// orderedAt is when a load was accepted, reload whether the upstream is assumed to have a copy, and polls how
	// often the load's completion was polled.
	orderedAt time.Time
	reload    bool
	polls     int
	usedAt    time.Time
	// unloadOrdered is true while an unload order has no response yet. A request sent to the adapter meanwhile would
	// find it unloaded, or would be running when the order is executed.
	unloadOrdered bool
	// reservedUntil protects the adapter for a request whose use has not been reported yet.
	reservedUntil time.Time
}

// waiterGroup holds the requests that wait for one adapter. onTimeUntil is the latest time by which an answer to one of
// them is on time.
type waiterGroup struct {
	version     int64
	since       time.Time
	count       int
	priority    int
	onTimeUntil time.Time
	// standing is kept under contention only.
	standing standing
}

// Restart begins anew with the next life of the upstream, which knows nothing of what the one before had loaded and been ordered. Requests go on to
// wait, and measured times and declared versions still apply.
func (p *Planner) Restart() {
	p.ensureInitialised()
	p.residents = make(map[traffic.Adapter]*resident)
	p.recent = nil
	p.unanswered = nil
	p.stateKnown, p.reported, p.confirmed = false, false, false
	p.sequence = 0
	p.fetchAt = time.Time{}
}

// Doubt makes a report due, because the life of the upstream may have ended: the next one has loaded nothing.
func (p *Planner) Doubt() { p.doubted = true }

// SetNewest records the newest version of an adapter. An older loaded version is replaced.
func (p *Planner) SetNewest(adapter traffic.Adapter, version int64) {
	p.ensureInitialised()
	p.newest[adapter] = max(p.newest[adapter], version)
}

// Reserve reports whether an adapter is loaded in the given version or a newer one, and reserves it for the request that
// is about to use it. at is the loaded version.
func (p *Planner) Reserve(now time.Time, adapter traffic.Adapter, version int64) (at int64, ok bool) {
	if at, ok = p.LoadedVersion(adapter, version); ok {
		r := p.residents[adapter]
		r.usedAt = now
		r.reservedUntil = now.Add(reservationTime)
	}
	return at, ok
}

// LoadedVersion returns in which version an adapter is loaded, if in the given one or a newer one.
func (p *Planner) LoadedVersion(adapter traffic.Adapter, version int64) (at int64, ok bool) {
	r := p.residents[adapter]
	if !p.stateKnown || r == nil || r.state != loaded || r.version < version || r.unloadOrdered {
		return 0, false
	}
	if r.loadingVersion > r.version {
		return 0, false // being replaced: the upstream refuses its requests until that has finished
	}
	return r.version, true
}

// SetInUse sets which adapters have requests in flight, over all instances.
func (p *Planner) SetInUse(now time.Time, adapters []traffic.Adapter) {
	p.inUse = make(map[traffic.Adapter]bool, len(adapters))
	for _, adapter := range adapters {
		p.inUse[adapter] = true
		if r := p.residents[adapter]; r != nil {
			r.usedAt = now
			r.reservedUntil = time.Time{}
		}
	}
}

// Residents lists the adapters and models that are loaded or loading, and returns how many adapter slots are empty or
// idle.
func (p *Planner) Residents(now time.Time) (list []pool.Resident, idle int) {
	for adapter, r := range p.residents {
		if r.state == unloading {
			continue
		}
		list = append(list, pool.Resident{
			Adapter:   adapter,
			Version:   r.version,
			InTransit: r.state == loading || r.loadingVersion > r.version,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Adapter.String() < list[j].Adapter.String() })
	return list, max(p.Engine.AdapterSlots-p.occupiedAdapterSlots(now), 0)
}

// ---------------------------------------------------------------------------------------------

// NextStep returns the next step.
func (p *Planner) NextStep(now time.Time) Step {
	p.ensureInitialised()
	if !p.stateKnown || now.Sub(p.reportedAt) > maxReportAge {
		if now.Before(p.fetchAt) {
			return Idle{Until: p.fetchAt}
		}
		return FetchReport{}
	}
	if p.unanswered != nil {
		if now.Before(p.repeatAt) {
			return Idle{Until: p.repeatAt}
		}
		return SendOrder{Order: *p.unanswered}
	}
	fetchAt := instant.Later(p.fetchAt, p.reportedAt.Add(fetchInterval))
	switch {
	case p.doubted && !now.Before(fetchAt), !p.confirmed && !now.Before(p.confirmAt) && !now.Before(p.fetchAt):
		p.doubted = false
		p.fetchAt = now.Add(fetchInterval)
		return FetchReport{}
	}
	until := p.reportedAt.Add(maxReportAge)
	if !p.confirmed {
		until = instant.Later(p.confirmAt, p.fetchAt)
	}
	if p.doubted && fetchAt.Before(until) {
		until = fetchAt
	}
	if order, at, found := p.nextPoll(now); found {
		return SendOrder{Order: order}
	} else if !at.IsZero() && at.Before(until) {
		until = at
	}
	if order, found := p.nextLoad(now); found {
		order.Sequence = p.sequence
		if order.Unload {
			p.residents[order.Adapter].unloadOrdered = true
		}
		return SendOrder{Order: order}
	}
	if at := now.Add(idlePollInterval); len(p.waiters) > 0 && at.Before(until) {
		until = at
	}
	return Idle{Until: until}
}

// idlePollInterval is the poll interval for adapter slots that became idle while an adapter waits for one.
const idlePollInterval = 20 * time.Millisecond

// nextPoll repeats the order whose completion is due to be polled, or returns when the next poll is due.
func (p *Planner) nextPoll(now time.Time) (order Order, at time.Time, found bool) {
	for adapter, r := range p.residents {
		if r.state == loaded && r.loadingVersion == 0 {
			continue
		}
		if now.Before(r.pollAt) {
			if at.IsZero() || r.pollAt.Before(at) {
				at = r.pollAt
			}
			continue
		}
		r.pollAt = now.Add(p.pollDelay(adapter, r))
		r.polls++
		return Order{
			Unload:   r.state == unloading,
			Adapter:  adapter,
			Version:  r.orderedVersion,
			Sequence: p.sequence,
		}, at, true
	}
	return Order{}, at, false
}

// ensureInitialised makes the zero value usable.
func (p *Planner) ensureInitialised() {
	if p.residents == nil {
		p.residents = make(map[traffic.Adapter]*resident)
		p.waiters = make(map[traffic.Adapter]*waiterGroup)
		p.newest = make(map[traffic.Adapter]int64)
		p.uses = make(map[traffic.Adapter]adapterUse)
		p.fullLoads.InitialEstimate = cmp.Or(p.LoadEstimate, forecast.InitialLoadTime)
		p.reloads.InitialEstimate = cmp.Or(p.ReloadEstimate, forecast.InitialReloadTime)
	}
}
