package residence

import (
	"cmp"
	"sort"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/forecast"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

const (
	// reportLag is how old a report may be when it arrives, by the upstreams' description; a report read
	// sooner after an order may not show it.
	reportLag = 300 * time.Millisecond
	// inspectAgain is the pause between two reports while the state is not known: each one is billed.
	inspectAgain = 150 * time.Millisecond
	// inspectAnyway is how old the last report may get. It finds out what changed without an order, such
	// as a restart that nobody has noticed.
	inspectAnyway = 10 * time.Second
	// mostInTransit is how many adapters an upstream takes at once.
	mostInTransit = 4
	// checkAgain is the pause between two checks of an order that loads no adapter.
	checkAgain = 30 * time.Millisecond
	// mostRepeats is how often an order without an answer is given again before the upstream is taken to
	// be away and its report is waited for; repeatAfter is the pause between two.
	mostRepeats = 6
	repeatAfter = 15 * time.Millisecond
	// replaceUsedWithin: an adapter that was used this lately is replaced as soon as a newer version is
	// declared, the others once they are wanted.
	replaceUsedWithin = 3 * time.Second
	// reserved is how long an adapter that was just prepared for a request counts as in use, unless the
	// request shows before: instances tell the holder at once when they begin and end to use an adapter.
	reserved = 350 * time.Millisecond
	// usualTurnover is how long a place is taken until it is free for the next adapter, as long as nothing
	// was measured: a load and a short stream. The measured pace follows the last few grants; gaps longer
	// than longestPace say that nothing waited.
	usualTurnover = 700 * time.Millisecond
	paceLearning  = 0.2
	longestPace   = time.Second
	// lately is how many evicted adapters the upstream is taken to have a copy of.
	lately = 30
)

// Planner decides for one upstream. Set Engine before use. It is not safe for use by several goroutines.
type Planner struct {
	Engine traffic.Engine
	// LoadGuess and ReloadGuess are how long loads take at other upstreams of the service, and count until one was
	// seen here; 0 if that is not known.
	LoadGuess   time.Duration
	ReloadGuess time.Duration

	// known: sequence and places are what the upstream has, as far as its answers tell.
	known bool
	// learnt: a report was taken over before; settled: a second one agreed, see Learn.
	learnt    bool
	settled   bool
	settleAt  time.Time
	sequence  int64
	inspected time.Time
	inspectAt time.Time
	places    map[traffic.Adapter]*place
	wants     map[traffic.Adapter]*want
	newest    map[traffic.Adapter]int64
	inUse     map[traffic.Adapter]bool
	recent    []traffic.Adapter
	// fullLoads and reloads are how long loads take, from the weight store and with a copy near the upstream.
	fullLoads forecast.LoadTime
	reloads   forecast.LoadTime
	grantedAt time.Time
	grantPace time.Duration
	// unanswered is the last order if no answer came, given repeats times.
	unanswered *Order
	repeats    int
	repeatAt   time.Time
}

type state int

const (
	loaded state = iota
	loading
	unloading
)

// place is an adapter's or a model's place in the upstream's memory.
type place struct {
	state   state
	version int64
	// ordered is the version of a load under way, 0 if there is none; asked is what the order said.
	ordered int64
	asked   int64
	checkAt time.Time
	// orderedAt is when a load was accepted, reload whether the upstream is taken to have a copy, and checks how
	// often was checked whether it is done.
	orderedAt time.Time
	reload    bool
	checks    int
	used      time.Time
	// leaving: an order to unload it was given, and its answer has not come. A request that is sent there
	// meanwhile would find nothing, or be in use while the order is carried out.
	leaving bool
	// reservedUntil protects an adapter for a request that has not shown yet.
	reservedUntil time.Time
}

// want is an adapter that requests wait for. onTimeUntil is until when the last of them can be on time.
type want struct {
	version     int64
	since       time.Time
	waiting     int
	priority    int
	onTimeUntil time.Time
}

// SetNewest tells the newest version of an adapter. One that is loaded in an older version is replaced.
func (p *Planner) SetNewest(adapter traffic.Adapter, version int64) {
	p.prepare()
	p.newest[adapter] = max(p.newest[adapter], version)
}

// Has tells whether an adapter is there, in a version at least as new, and reserves it for the request
// that is about to use it.
func (p *Planner) Has(now time.Time, adapter traffic.Adapter, version int64) (at int64, ok bool) {
	known := p.places[adapter]
	if !p.known || known == nil || known.state != loaded || known.version < version || known.leaving {
		return 0, false
	}
	if known.ordered > known.version {
		return 0, false // being replaced: the upstream refuses what comes until that is done
	}
	known.used = now
	known.reservedUntil = now.Add(reserved)
	return known.version, true
}

// Use tells which adapters have requests under way, of all instances.
func (p *Planner) Use(now time.Time, adapters []traffic.Adapter) {
	p.inUse = make(map[traffic.Adapter]bool, len(adapters))
	for _, adapter := range adapters {
		p.inUse[adapter] = true
		if known := p.places[adapter]; known != nil {
			known.used = now
			known.reservedUntil = time.Time{}
		}
	}
}

// Residents lists what is there or on its way, with how many places are empty or idle.
func (p *Planner) Residents(now time.Time) (list []pool.Resident, idle int) {
	for adapter, known := range p.places {
		if known.state == unloading {
			continue
		}
		list = append(list, pool.Resident{
			Adapter:   adapter,
			Version:   known.version,
			InTransit: known.state == loading || known.ordered > known.version,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Adapter.String() < list[j].Adapter.String() })
	return list, p.Engine.AdapterPlaces - p.taken(now)
}

// ---------------------------------------------------------------------------------------------

// Next gives the next step.
func (p *Planner) Next(now time.Time) Step {
	p.prepare()
	if !p.known || now.Sub(p.inspected) > inspectAnyway {
		if now.Before(p.inspectAt) {
			return Rest{Until: p.inspectAt}
		}
		return Inspect{}
	}
	if p.unanswered != nil {
		if now.Before(p.repeatAt) {
			return Rest{Until: p.repeatAt}
		}
		return Give{Order: *p.unanswered}
	}
	if !p.settled && !now.Before(p.settleAt) && !now.Before(p.inspectAt) {
		p.inspectAt = now.Add(inspectAgain)
		return Inspect{}
	}
	rest := p.inspected.Add(inspectAnyway)
	if !p.settled {
		rest = later(p.settleAt, p.inspectAt)
	}
	if order, at, found := p.check(now); found {
		return Give{Order: order}
	} else if !at.IsZero() && at.Before(rest) {
		rest = at
	}
	if order, found := p.load(now); found {
		order.Sequence = p.sequence
		if order.Unload {
			p.places[order.Adapter].leaving = true
		}
		return Give{Order: order}
	}
	if at := now.Add(idleCheck); len(p.wants) > 0 && at.Before(rest) {
		rest = at
	}
	return Rest{Until: rest}
}

// idleCheck is how soon a place that became idle is noticed while an adapter waits for one.
const idleCheck = 20 * time.Millisecond

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// check gives the order again whose end is due to be seen, or when the next is due.
func (p *Planner) check(now time.Time) (order Order, at time.Time, found bool) {
	for adapter, known := range p.places {
		if known.state == loaded && known.ordered == 0 {
			continue
		}
		if now.Before(known.checkAt) {
			if at.IsZero() || known.checkAt.Before(at) {
				at = known.checkAt
			}
			continue
		}
		known.checkAt = now.Add(p.checkPause(adapter, known))
		known.checks++
		return Order{
			Unload:   known.state == unloading,
			Adapter:  adapter,
			Version:  known.asked,
			Sequence: p.sequence,
		}, at, true
	}
	return Order{}, at, false
}

// prepare makes the zero value usable.
func (p *Planner) prepare() {
	if p.places == nil {
		p.places = make(map[traffic.Adapter]*place)
		p.wants = make(map[traffic.Adapter]*want)
		p.newest = make(map[traffic.Adapter]int64)
		p.fullLoads.InitialEstimate = cmp.Or(p.LoadGuess, forecast.InitialLoadTime)
		p.reloads.InitialEstimate = cmp.Or(p.ReloadGuess, forecast.InitialReloadTime)
	}
}
