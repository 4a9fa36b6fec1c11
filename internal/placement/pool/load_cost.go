package pool

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// load_cost.go weighs the load of an adapter that an upstream lacks against the wait where it is loaded.

const (
	// evicted is what the next request for the evicted adapter pays, in reloads.
	evicted = 1
	// fetched is what an adapter that has to come from the weight store costs besides the wait, in loads, at an upstream
	// all of whose places are in use: it takes one that others wait for, or that the next request would have used.
	fetched = 1
	// stray is added for each upstream that is nearer to the adapter's home, in loads: where it is always
	// loaded at the same few upstreams, these have a copy when it is wanted again.
	stray = 0.2
	// preparing is for each request of this instance that already waits for an adapter there, and that the
	// holder's last report may not count yet, in loads: an upstream loads some adapters at once.
	preparing = 0.25
	// inTransit is what is left, on average, of a load in transit.
	inTransit = 0.5
)

// loading is how long a request waits until its adapter is there, and what having it loaded costs others.
type loading struct {
	wait   time.Duration
	charge time.Duration
}

// loadCost is what it takes until the adapter is there.
func (p *Pool) loadCost(u *upstream, query Query, homes homes, choice *Choice) (cost loading) {
	loads := p.loadTimes(u)
	if known, found := u.resident[query.Adapter]; found && known.Version >= query.Version {
		if known.InTransit {
			choice.Loaded = false
			cost.wait = times(inTransit, loads.full)
		}
		return cost
	}
	choice.Loaded = false
	choice.Wait = u.wait
	cost.wait = u.wait + times(preparing*float64(u.preparing), loads.full)
	cost.charge = times(evicted, loads.reload)
	if u.recent.has(query.Adapter, query.Version) {
		cost.wait += loads.reload
	} else {
		cost.wait += loads.full
		cost.charge += times(fetched*p.scarcity(u)+stray*float64(homes.nearer(u)), loads.full)
	}
	if _, found := u.resident[traffic.Adapter{Model: query.Adapter.Model}]; !found {
		cost.wait += p.modelLoadTime(query)
	}
	return cost
}

// scarcity is the part of an upstream's places for adapters that are in use, by its holder's last report.
func (p *Pool) scarcity(u *upstream) float64 {
	places := p.engines[u.declared.Service].AdapterPlaces
	if places <= 0 {
		return 1
	}
	return 1 - min(max(float64(u.idle)/float64(places), 0), 1)
}

const (
	// lateFrom and lateTo are the times until the first event, in terms of what is left of the objective, from which on
	// a request may be late and from which on it surely is: forecasts are off by some tenths.
	lateFrom = 0.45
	lateTo   = 1.15
)

// lateness is what it costs a caller that the first event comes after some time: its objective, as likely as that makes
// it late.
//
// Made for popular adapters. By time alone a fetch to an idle engine is dearer than the queue of the one that has the
// adapter, until that queue is longer than callers can wait.
func (q Query) lateness(after time.Duration) time.Duration {
	if q.OnTime <= 0 {
		return 0
	}
	part := (float64(after)/float64(q.OnTime) - lateFrom) / (lateTo - lateFrom)
	return times(min(max(part, 0), 1), q.Objective)
}
