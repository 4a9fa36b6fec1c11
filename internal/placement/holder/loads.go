package holder

import (
	"sort"
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
	"lacewingrock.example/lacewingrock/internal/placement/queue"
)

// loads.go drives each load through its states: permit requested, permitted by the broker, ordered, done or failed.
// All requests that wait for a version share one load.

// permitRequestInterval is the interval at which a permit request is repeated with the current demand, as the request
// or its response may be lost.
const permitRequestInterval = time.Second

// maxFailures is how many loads of a version may fail before the requests that wait for it are refused.
const maxFailures = 2

type loadState int

const (
	loadRequested loadState = iota
	loadRefused
	loadPermitted
	loadOrdered
)

// load is one load in progress. expiresAt is when its state expires, requestedAt when the load was first requested.
type load struct {
	state       loadState
	expiresAt   time.Time
	requestedAt time.Time
	orderedAt   time.Time
	evicting    model.Reference
	failures    int
}

// awaitedVersion summarises the requests that wait for one version. lastDeadline is the latest deadline among them.
type awaitedVersion struct {
	ref           model.Reference
	demand        float64
	oldestArrival time.Time
	workspace     string
	lastDeadline  time.Time
}

// awaitedVersions lists the versions that requests wait for, in queue order.
type awaitedVersions struct {
	list  []awaitedVersion
	index map[model.Reference]int
}

func (v *awaitedVersions) contains(ref model.Reference) bool {
	_, ok := v.index[ref]
	return ok
}

func (h *Holder) awaitedVersions() *awaitedVersions {
	awaited := &awaitedVersions{index: make(map[model.Reference]int)}
	h.queue.Each(func(entry queue.Entry) {
		w := h.waiting.byID[entry.ID]
		i, known := awaited.index[w.request.Model]
		if !known {
			i = len(awaited.list)
			awaited.index[w.request.Model] = i
			awaited.list = append(awaited.list, awaitedVersion{ref: w.request.Model, oldestArrival: w.arrived, workspace: entry.Workspace})
		}
		awaited.list[i].demand += entry.Cost
		if w.arrived.Before(awaited.list[i].oldestArrival) {
			awaited.list[i].oldestArrival = w.arrived
			awaited.list[i].workspace = entry.Workspace
		}
		if entry.Deadline.After(awaited.list[i].lastDeadline) {
			awaited.list[i].lastDeadline = entry.Deadline
		}
	})
	return awaited
}

// advanceLoads advances every load that can be advanced.
func (h *Holder) advanceLoads(now time.Time) {
	if len(h.loads) == 0 && !h.awaitsLoad() {
		return
	}
	h.refuseUnreachableDeadlines(now)
	awaited := h.awaitedVersions()
	h.cancelUnneededLoads(awaited)
	if !h.mayAct(now) || !h.residencyKnown(now) {
		return
	}
	for _, version := range awaited.list {
		if !h.residency.has(version.ref) {
			h.advanceLoad(now, version, awaited)
		}
	}
}

// cancelUnneededLoads cancels loads that no request waits for any more, unless they were already ordered.
func (h *Holder) cancelUnneededLoads(awaited *awaitedVersions) {
	var unneeded []model.Reference
	for ref, l := range h.loads {
		if l.state != loadOrdered && (!awaited.contains(ref) || h.residency.has(ref)) {
			unneeded = append(unneeded, ref)
		}
	}
	sort.Slice(unneeded, func(i, j int) bool { return lessReference(unneeded[i], unneeded[j]) })
	for _, ref := range unneeded {
		delete(h.loads, ref)
		h.emit(ReturnPermit{Model: ref})
	}
}

// refuseUnreachableDeadlines refuses the requests whose load cannot finish before their deadline.
func (h *Holder) refuseUnreachableDeadlines(now time.Time) {
	h.refuseWhere(func(request Request) bool {
		if h.residency.has(request.Model) {
			return false
		}
		left := h.times.fromOrder
		if l, ok := h.loads[request.Model]; ok && l.state == loadOrdered {
			left = max(0, h.times.fromOrder-now.Sub(l.orderedAt))
		}
		return now.Add(left).After(request.Deadline)
	}, ReasonBusy, h.times.wait(now))
}

// advanceLoad advances the load of one version. A version that is being evicted is not loaded before the eviction has
// ended: orders may overtake each other, and the eviction would then take effect after the load.
func (h *Holder) advanceLoad(now time.Time, version awaitedVersion, awaited *awaitedVersions) {
	if h.residency.isEvictionPending(now, version.ref) {
		return
	}
	l, known := h.loads[version.ref]
	switch {
	case !known:
		h.requestPermit(now, version, &load{requestedAt: now}, awaited)
	case l.state == loadOrdered:
	case l.state == loadPermitted && now.Before(l.expiresAt):
		h.orderLoad(now, version, l, awaited)
	case !now.Before(l.expiresAt):
		h.requestPermit(now, version, l, awaited)
	}
}

// requestPermit requests a permit once there is an adapter slot to load into.
func (h *Holder) requestPermit(now time.Time, version awaitedVersion, l *load, awaited *awaitedVersions) {
	if h.freeAdapterSlots() == 0 {
		if _, ok := h.victim(now, awaited); !ok {
			return
		}
	}
	l.state = loadRequested
	l.expiresAt = now.Add(permitRequestInterval)
	h.loads[version.ref] = l
	h.emit(RequestPermit{
		Model:     version.ref,
		Workspace: version.workspace,
		Demand:    version.demand,
		Waited:    now.Sub(version.oldestArrival),
		Patience:  version.lastDeadline.Sub(now),
	})
}

// orderLoad orders a permitted load, unless it would finish too late for all requests that wait for it: it would then
// use the weight store's capacity without serving any of them.
func (h *Holder) orderLoad(now time.Time, version awaitedVersion, l *load, awaited *awaitedVersions) {
	if now.Add(h.times.fromOrder).After(version.lastDeadline) {
		h.refuseModel(version.ref, ReasonBusy, h.times.fromOrder)
		delete(h.loads, version.ref)
		h.emit(ReturnPermit{Model: version.ref})
		return
	}
	evict := model.Reference{}
	if h.freeAdapterSlots() <= 0 {
		victim, ok := h.victim(now, awaited)
		if !ok {
			return
		}
		evict = victim
		h.residency.remove(now, victim)
		h.residency.ignoreReportsBefore(victim, now.Add(h.Settings.OrderTimeout))
	}
	l.state = loadOrdered
	l.orderedAt = now
	l.evicting = evict
	h.emit(OrderLoad{Load: version.ref, Evict: evict, Fence: h.tenure.epoch})
}

// freeAdapterSlots counts the adapter slots that neither hold a version nor are reserved for an ordered one.
func (h *Holder) freeAdapterSlots() int {
	free := h.Upstream.Slots - len(h.residency.resident)
	for _, l := range h.loads {
		if l.state == loadOrdered {
			free--
		}
	}
	return free
}

// ---------------------------------------------------------------------------------------------

func (h *Holder) permitGranted(now time.Time, e PermitGranted) {
	l, ok := h.loads[e.Model]
	if !ok {
		h.emit(ReturnPermit{Model: e.Model})
		return
	}
	if l.state != loadOrdered {
		l.state = loadPermitted
		l.expiresAt = now.Add(e.UseWithin)
	}
}

// permitRefused refuses the requests that cannot wait until the next permit request, so that their callers get the
// refusal now instead of at their deadline.
func (h *Holder) permitRefused(now time.Time, e PermitRefused) {
	l, ok := h.loads[e.Model]
	if !ok || l.state == loadOrdered {
		return
	}
	l.state = loadRefused
	l.expiresAt = now.Add(e.RetryAfter)
	soonest := l.expiresAt.Add(h.times.fromOrder)
	h.refuseWhere(func(request Request) bool {
		return request.Model == e.Model && request.Deadline.Before(soonest)
	}, ReasonBusy, e.RetryAfter)
}

func (h *Holder) loadDone(now time.Time, e LoadDone) {
	l, ok := h.loads[e.Load]
	if !ok || l.state != loadOrdered {
		return
	}
	h.times = h.times.withSample(now, now.Sub(l.requestedAt), now.Sub(l.orderedAt))
	delete(h.loads, e.Load)
	h.residency.endEviction(now, l.evicting)
	h.residency.add(now, e.Load)
	h.recordLoadWaits(now, e.Load)
}

// loadFailed schedules a retry, or refuses the waiting requests after too many failures.
func (h *Holder) loadFailed(now time.Time, e LoadFailed) {
	l, ok := h.loads[e.Load]
	if !ok || l.state != loadOrdered {
		return
	}
	h.revertEviction(now, e, l)
	switch e.Cause {
	case CauseStaleFence:
		h.yielded()
		return
	case CauseNoSlot, CauseInUse, CauseUpstream:
		h.residency.invalidate(now)
	case CauseWeightStore:
	}
	l.failures++
	l.evicting = model.Reference{}
	l.state = loadRefused
	l.expiresAt = now.Add(h.times.fromOrder)
	if l.failures >= maxFailures {
		h.refuseModel(e.Load, ReasonLoadFailed, h.times.fromOrder*maxFailures)
		delete(h.loads, e.Load)
	}
}

// revertEviction keeps the version that was to be evicted if it is certainly still loaded. If the outcome is unknown,
// the order may still take effect later, so the version counts as unloaded until then.
func (h *Holder) revertEviction(now time.Time, e LoadFailed, l *load) {
	if l.evicting.IsZero() || e.Cause == CauseUpstream {
		return
	}
	h.residency.endEviction(now, l.evicting)
	if e.Evicted {
		return
	}
	h.residency.add(now, l.evicting)
	if e.Cause == CauseInUse {
		h.residency.protect(l.evicting, now.Add(h.Settings.OrderTimeout))
	}
}

func (h *Holder) refuseModel(ref model.Reference, reason Reason, retryAfter time.Duration) {
	h.refuseWhere(func(request Request) bool { return request.Model == ref }, reason, retryAfter)
}

// ---------------------------------------------------------------------------------------------

// loadWaitTTL is how long a measured load wait is valid. Without this expiry one long wait would cause every later
// request that needs a load to be refused, and no shorter wait would ever be measured.
const loadWaitTTL = 5 * time.Second

// loadTimes holds moving means: fromRequest is the time from the first request for a load until it is done, fromOrder
// the time from its order until it is done.
type loadTimes struct {
	expected    time.Duration
	fromRequest time.Duration
	fromOrder   time.Duration
	measuredAt  time.Time
}

func newLoadTimes(expected time.Duration) loadTimes {
	return loadTimes{expected: expected, fromRequest: expected, fromOrder: expected}
}

func (t loadTimes) withSample(now time.Time, fromRequest, fromOrder time.Duration) loadTimes {
	t.fromRequest = movingMean(t.fromRequest, fromRequest)
	t.fromOrder = movingMean(t.fromOrder, fromOrder)
	t.measuredAt = now
	return t
}

// wait returns the expected time until a load requested now is done.
func (t loadTimes) wait(now time.Time) time.Duration {
	if t.measuredAt.IsZero() || now.Sub(t.measuredAt) > loadWaitTTL {
		return t.expected
	}
	return t.fromRequest
}

// untilLoaded returns the expected time until the version is loaded.
func (h *Holder) untilLoaded(now time.Time, ref model.Reference) time.Duration {
	if h.residency.has(ref) || !h.mayAct(now) {
		return 0
	}
	l, ok := h.loads[ref]
	if ok && l.state == loadOrdered {
		return max(0, h.times.fromOrder-now.Sub(l.orderedAt))
	}
	return h.times.fromOrder
}
