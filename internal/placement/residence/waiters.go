package residence

import (
	"sort"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// wants.go keeps what requests wait for: in which order, and for how long.

// Want asks for an adapter on behalf of one request, until Unwant is called for it. The request is on time
// if it is answered until onTimeUntil.
func (p *Planner) Want(
	now time.Time, adapter traffic.Adapter, version int64, priority int, onTimeUntil time.Time,
) {
	p.prepare()
	w := p.wants[adapter]
	if w == nil {
		w = &want{since: now, priority: priority}
		p.wants[adapter] = w
	}
	w.waiting++
	w.version = max(w.version, version)
	w.priority = min(w.priority, priority)
	if onTimeUntil.After(w.onTimeUntil) {
		w.onTimeUntil = onTimeUntil
	}
}

// Unwant takes a request's want back: it has its adapter, or does not wait any more. Without it the
// upstream would load, and evict for it, what nobody is there to use.
func (p *Planner) Unwant(adapter traffic.Adapter) {
	w := p.wants[adapter]
	if w == nil {
		return
	}
	w.waiting--
	if w.waiting <= 0 {
		delete(p.wants, adapter)
	}
}

// HasWants tells whether any request waits.
func (p *Planner) HasWants() bool { return len(p.wants) > 0 }

// Wait is how long a new want is expected to wait until its adapter's load begins: the adapters that wait
// before it, at the pace at which places came free lately. It is zero while a place is to be had, and for an
// adapter that is being loaded.
func (p *Planner) Wait(now time.Time, adapter traffic.Adapter) time.Duration {
	if known := p.places[adapter]; known != nil && known.state == loading {
		return 0
	}
	ahead := 0
	for other := range p.wants {
		if other != adapter && p.places[other] == nil {
			ahead++
		}
	}
	free := p.Engine.AdapterPlaces - p.taken(now)
	if ahead < free {
		return 0
	}
	return time.Duration(ahead-free+1) * p.pace()
}

// Hopeless tells whether a request that is on time until worthUntil would get its adapter only after that, and
// how long it would wait.
//
// Made for the time when more adapters are wanted than there are places. Those who can be on time go first, so
// one who cannot waits until they are all served: it is held for seconds, mostly to its deadline, and takes a
// place from the next caller if it gets one. Told at once, its caller can come back when there is room. While a
// place is to be had, or will be in shortWait, late requests get it.
func (p *Planner) Hopeless(now time.Time, adapter traffic.Adapter, worthUntil time.Time) (time.Duration, bool) {
	wait := p.Wait(now, adapter)
	return wait, wait > shortWait && now.Add(wait).After(worthUntil)
}

// shortWait is worth waiting also for a late answer: a caller that comes back would not be served sooner.
const shortWait = 500 * time.Millisecond

// pace is the time between two places that come free while adapters wait.
func (p *Planner) pace() time.Duration {
	if p.grantPace > 0 {
		return p.grantPace
	}
	return usualTurnover / time.Duration(max(p.Engine.AdapterPlaces, 1))
}

// granted measures the pace: a place went to an adapter that had to wait for it.
func (p *Planner) granted(now time.Time) {
	since := now.Sub(p.grantedAt)
	p.grantedAt = now
	if since > longestPace {
		return
	}
	p.grantPace = p.pace() + time.Duration(paceLearning*float64(since-p.pace()))
}

// taken counts the places that are neither empty nor idle.
func (p *Planner) taken(now time.Time) (count int) {
	for adapter, known := range p.places {
		if adapter.Name != "" && !p.isIdle(now, adapter, known) {
			count++
		}
	}
	return count
}

// wantedFirst lists what is wanted: first what can still be on time, of that the most urgent, and of that
// what waits longest.
//
// Made for the time when more adapters are wanted than there are places. In the order of arrival each
// would be served, and each too late, which is worth a third; this way those who come now are on time, and
// the late ones get the places that are left.
func (p *Planner) wantedFirst(now time.Time) (list []traffic.Adapter) {
	for adapter := range p.wants {
		list = append(list, adapter)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := p.wants[list[i]], p.wants[list[j]]
		if late := now.After(a.onTimeUntil); late != now.After(b.onTimeUntil) {
			return !late
		}
		if a.priority != b.priority {
			return a.priority < b.priority
		}
		if !a.since.Equal(b.since) {
			return a.since.Before(b.since)
		}
		return list[i].String() < list[j].String()
	})
	return list
}
