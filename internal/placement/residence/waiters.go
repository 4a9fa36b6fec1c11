package residence

import (
	"sort"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// waiters.go tracks the adapters that requests wait for: their order and their expected wait.

// Request is a request that waits for an adapter, or that asks for a replica of one.
type Request struct {
	Adapter traffic.Adapter
	// Version is the oldest acceptable version; 0 for any.
	Version  int64
	Priority int
	// OverShare: the workspace of the request uses more than its share of the service.
	OverShare bool
	// OnTimeUntil is the latest time by which an answer is on time.
	OnTimeUntil time.Time
	// Demand is the requests in a second for the adapter over the fleet; 0 if it is unknown.
	Demand float64
	// Replica: no request waits, and the adapter is to have one more replica.
	Replica bool
}

// AddWaiter registers one request that waits for an adapter, until RemoveWaiter is called for it.
func (p *Planner) AddWaiter(now time.Time, request Request) {
	p.ensureInitialised()
	w := p.waiters[request.Adapter]
	if w == nil {
		w = &waiterGroup{since: now, priority: request.Priority}
		p.waiters[request.Adapter] = w
	}
	w.count++
	w.version = max(w.version, request.Version)
	w.priority = min(w.priority, request.Priority)
	if request.OnTimeUntil.After(w.onTimeUntil) {
		w.onTimeUntil = request.OnTimeUntil
	}
	if p.Contention {
		p.addToClass(now, w, request)
	}
}

// RemoveWaiter removes one request that waited for an adapter: it has its adapter, or no longer waits. Otherwise the
// upstream would load an adapter that no request uses, and evict another for it.
func (p *Planner) RemoveWaiter(request Request) {
	w := p.waiters[request.Adapter]
	if w == nil {
		return
	}
	w.count--
	if w.count <= 0 {
		delete(p.waiters, request.Adapter)
		return
	}
	if p.Contention {
		w.removeFromClass(request)
	}
}

// HasWaiters reports whether any request waits.
func (p *Planner) HasWaiters() bool { return len(p.waiters) > 0 }

// ExpectedWait estimates how long a new waiter waits until its adapter's load begins: the number of adapters ahead of it
// times the recent interval between two freed adapter slots. It is zero while an adapter slot is available, and for
// an adapter that is being loaded.
func (p *Planner) ExpectedWait(now time.Time, adapter traffic.Adapter) time.Duration {
	if r := p.residents[adapter]; r != nil && r.state == loading {
		return 0
	}
	ahead := 0
	for other := range p.waiters {
		if other != adapter && p.residents[other] == nil {
			ahead++
		}
	}
	free := p.Engine.AdapterSlots - p.occupiedAdapterSlots(now)
	if ahead < free {
		return 0
	}
	return time.Duration(ahead-free+1) * p.pace()
}

// WouldBeLate reports whether a request that is on time until worthUntil would get its adapter only after that, and
// how long it would wait.
//
// It applies under overload, when requests wait for more adapters than there are adapter slots. Requests that can be
// on time go first, so one that cannot waits until they are all served: for seconds, mostly until its deadline, and
// if it gets an adapter slot it takes it from the next caller. Refused at once, its caller can retry when there is
// room. While an adapter slot is available, or expected within acceptableWait, late requests get it.
func (p *Planner) WouldBeLate(now time.Time, request Request, worthUntil time.Time) (time.Duration, bool) {
	if p.Contention {
		return p.wouldBeLateInClass(now, request, worthUntil)
	}
	wait := p.ExpectedWait(now, request.Adapter)
	return wait, wait > acceptableWait && now.Add(wait).After(worthUntil)
}

// acceptableWait is the wait that is acceptable even for a late answer: a caller that retries would not be served
// sooner.
const acceptableWait = 500 * time.Millisecond

// pace returns the interval between two freed adapter slots while adapters wait.
func (p *Planner) pace() time.Duration {
	if p.grantPace > 0 {
		return p.grantPace
	}
	return defaultTurnover / time.Duration(max(p.Engine.AdapterSlots, 1))
}

// updatePace updates the pace when an adapter slot goes to an adapter that had to wait for it.
func (p *Planner) updatePace(now time.Time) {
	since := now.Sub(p.grantedAt)
	p.grantedAt = now
	if since > maxPace {
		return
	}
	p.grantPace = p.pace() + time.Duration(paceWeight*float64(since-p.pace()))
}

// occupiedAdapterSlots counts the adapter slots that are neither empty nor idle.
func (p *Planner) occupiedAdapterSlots(now time.Time) (count int) {
	for adapter, r := range p.residents {
		if adapter.Name != "" && !p.isIdle(now, adapter, r) {
			count++
		}
	}
	return count
}

// adaptersByUrgency lists the adapters that requests wait for: those that can still be on time first, then by priority,
// then by the longest wait.
//
// Under overload, when requests wait for more adapters than there are adapter slots, serving them in the order of
// arrival would answer each one too late, and a late answer is worth a third. With this order the requests that
// arrive now are on time, and the late ones get the remaining adapter slots.
func (p *Planner) adaptersByUrgency(now time.Time) (list []traffic.Adapter) {
	for adapter := range p.waiters {
		list = append(list, adapter)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := p.waiters[list[i]], p.waiters[list[j]]
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
