package pool

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// load_cost.go compares the cost of loading an adapter at an upstream that lacks it with the wait at upstreams
// where it is loaded.

const (
	// evictionCost is the cost for the next request for the evicted adapter, in reloads.
	evictionCost = 1
	// fetchCost is the cost of an adapter that has to be fetched from the weight store, besides the wait, in loads,
	// at an upstream all of whose adapter slots are in use: it takes a slot that others wait for, or that the next
	// request would have used.
	fetchCost = 1
	// rankCost is added for each upstream that ranks higher for the adapter, in loads. If an adapter is always
	// loaded at the same few upstreams, these have a copy when it is requested again.
	rankCost = 0.2
	// pendingLoadCost is added for each request of this instance that already waits for an adapter there, and that
	// the holder's last report may not count yet, in loads. An upstream loads some adapters concurrently.
	pendingLoadCost = 0.25
	// remainingLoad is the average remaining fraction of a load in transit.
	remainingLoad = 0.5
)

// loadDelay is how long a request waits until its adapter is loaded, and the cost of the load to other requests.
type loadDelay struct {
	wait   time.Duration
	charge time.Duration
}

// versionAfter returns the minimum version of the adapter for a request that begins to run after a wait.
func (q Query) versionAfter(now time.Time, wait time.Duration) int64 {
	if q.Newest > q.Version && !now.Add(wait).Before(q.OlderUntil) {
		return q.Newest
	}
	return q.Version
}

// loadCost returns the wait for the adapter of a query and the cost of loading it to others, and completes the
// choice. The request waits for memory before it begins to run.
func (p *Pool) loadCost(now time.Time, u *upstream, query Query, homes homes, memoryWait time.Duration, choice *Choice) (cost loadDelay) {
	loads := p.loadTimes(u)
	choice.Version = query.versionAfter(now, choice.Expected+memoryWait)
	if known, found := u.resident[query.Adapter]; found && known.Version >= choice.Version {
		choice.Older = known.Version < query.Newest
		if known.InTransit {
			choice.Loaded = false
			cost.wait = scale(remainingLoad, loads.full)
		}
		return cost
	}
	choice.Loaded = false
	choice.NeedsSlot = true
	choice.SlotWait = u.slotWaitFor(now, query)
	cost.wait = choice.SlotWait + scale(pendingLoadCost*float64(u.preparing), loads.full)
	cost.charge = scale(evictionCost, loads.reload)
	if u.recent.has(query.Adapter, choice.Version) {
		cost.wait += loads.reload
	} else {
		cost.wait += loads.full
		cost.charge += scale(fetchCost*p.scarcity(u)+rankCost*float64(homes.rank(u)), loads.full)
	}
	if _, found := u.resident[traffic.Adapter{Model: query.Adapter.Model}]; !found {
		cost.wait += p.modelLoadTime(query)
	}
	return cost
}

// scarcity is the fraction of an upstream's adapter slots that are in use, by its holder's last report.
func (p *Pool) scarcity(u *upstream) float64 {
	slots := p.engines[u.declared.Service].AdapterSlots
	if slots <= 0 {
		return 1
	}
	return 1 - min(max(float64(u.idleSlots)/float64(slots), 0), 1)
}

const (
	// lateFrom and lateTo are times until the first event, as fractions of what is left of the objective. From
	// lateFrom on a request may be late, and from lateTo on it certainly is. Forecasts are off by some tenths.
	lateFrom = 0.45
	lateTo   = 1.15
)

// lateness is the cost to a caller of a first event after the given time: its objective, multiplied by the
// likelihood of being late.
//
// It is needed for popular adapters. By time alone a fetch to an idle engine costs more than the queue of the
// engine that has the adapter, until that queue is longer than callers can wait.
func (q Query) lateness(after time.Duration) time.Duration {
	if q.OnTime <= 0 {
		return 0
	}
	part := (float64(after)/float64(q.OnTime) - lateFrom) / (lateTo - lateFrom)
	return scale(min(max(part, 0), 1), q.Objective)
}
