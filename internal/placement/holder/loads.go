package holder

import (
	"sort"
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
	"lacewingrock.example/lacewingrock/internal/placement/queue"
)

// loads.go sees each load through: asked for, permitted by the broker, ordered, done or failed. All
// requests that wait for a version share one load.

// askAgain is when an ask is repeated with the demand of then, as the ask or its answer may be lost.
const askAgain = time.Second

// mostFailures is how many loads of a version may fail before those that wait for it are refused. No
// measured reason yet.
const mostFailures = 2

type loadState int

const (
	loadAsked loadState = iota
	loadRefused
	loadPermitted
	loadOrdered
)

// load is one load under way. until is when the state lapses, first when the load was first wanted.
type load struct {
	state    loadState
	until    time.Time
	first    time.Time
	ordered  time.Time
	evict    model.Reference
	failures int
}

// need is what waits for one version. last is the latest deadline of the waiting.
type need struct {
	ref       model.Reference
	demand    float64
	oldest    time.Time
	workspace string
	last      time.Time
}

// needs lists what waits for each version, in the order of the queue.
type needs struct {
	list []need
	at   map[model.Reference]int
}

func (n *needs) awaits(ref model.Reference) bool {
	_, ok := n.at[ref]
	return ok
}

func (h *Holder) needs() *needs {
	n := &needs{at: make(map[model.Reference]int)}
	h.queue.Each(func(entry queue.Entry) {
		w := h.waiting.byID[entry.ID]
		i, known := n.at[w.request.Model]
		if !known {
			i = len(n.list)
			n.at[w.request.Model] = i
			n.list = append(n.list, need{ref: w.request.Model, oldest: w.arrived, workspace: entry.Workspace})
		}
		n.list[i].demand += entry.Cost
		if w.arrived.Before(n.list[i].oldest) {
			n.list[i].oldest = w.arrived
			n.list[i].workspace = entry.Workspace
		}
		if entry.Deadline.After(n.list[i].last) {
			n.list[i].last = entry.Deadline
		}
	})
	return n
}

// driveLoads moves every load on that can be moved on.
func (h *Holder) driveLoads(now time.Time) {
	if len(h.loads) == 0 && !h.awaitsLoad() {
		return
	}
	h.refuseTooLateForLoad(now)
	needs := h.needs()
	h.dropUnneeded(needs)
	if !h.mayAct(now) || !h.residencyKnown(now) {
		return
	}
	for _, n := range needs.list {
		if !h.residency.has(n.ref) {
			h.driveLoad(now, n, needs)
		}
	}
}

// dropUnneeded gives up loads that nobody waits for any more, unless they are ordered already.
func (h *Holder) dropUnneeded(needs *needs) {
	var unneeded []model.Reference
	for ref, l := range h.loads {
		if l.state != loadOrdered && (!needs.awaits(ref) || h.residency.has(ref)) {
			unneeded = append(unneeded, ref)
		}
	}
	sort.Slice(unneeded, func(i, j int) bool { return less(unneeded[i], unneeded[j]) })
	for _, ref := range unneeded {
		delete(h.loads, ref)
		h.act(ReturnPermit{Model: ref})
	}
}

// refuseTooLateForLoad refuses those that their load cannot reach in time any more.
func (h *Holder) refuseTooLateForLoad(now time.Time) {
	h.refuseWhere(func(request Request) bool {
		if h.residency.has(request.Model) {
			return false
		}
		left := h.times.order
		if l, ok := h.loads[request.Model]; ok && l.state == loadOrdered {
			left = max(0, h.times.order-now.Sub(l.ordered))
		}
		return now.Add(left).After(request.Deadline)
	}, ReasonBusy, h.times.wait(now))
}

// driveLoad moves the load of one version on. One whose eviction is under way is not loaded before that
// has ended: orders may overtake each other, and the eviction would come after the load.
func (h *Holder) driveLoad(now time.Time, n need, needs *needs) {
	if h.residency.mayStillGo(now, n.ref) {
		return
	}
	l, known := h.loads[n.ref]
	switch {
	case !known:
		h.ask(now, n, &load{first: now}, needs)
	case l.state == loadOrdered:
	case l.state == loadPermitted && now.Before(l.until):
		h.order(now, n, l, needs)
	case !now.Before(l.until):
		h.ask(now, n, l, needs)
	}
}

// ask asks for a permit, once there is a slot to load into.
func (h *Holder) ask(now time.Time, n need, l *load, needs *needs) {
	if h.freeSlots() == 0 {
		if _, ok := h.victim(now, needs); !ok {
			return
		}
	}
	l.state = loadAsked
	l.until = now.Add(askAgain)
	h.loads[n.ref] = l
	h.act(AskPermit{
		Model:     n.ref,
		Workspace: n.workspace,
		Demand:    n.demand,
		Waited:    now.Sub(n.oldest),
		Patience:  n.last.Sub(now),
	})
}

// order orders a permitted load, unless it would come too late for all that wait for it: then it
// would take the weight store's time from others and serve nobody.
func (h *Holder) order(now time.Time, n need, l *load, needs *needs) {
	if now.Add(h.times.order).After(n.last) {
		h.refuseModel(n.ref, ReasonBusy, h.times.order)
		delete(h.loads, n.ref)
		h.act(ReturnPermit{Model: n.ref})
		return
	}
	evict := model.Reference{}
	if h.freeSlots() <= 0 {
		victim, ok := h.victim(now, needs)
		if !ok {
			return
		}
		evict = victim
		h.residency.remove(now, victim)
		h.residency.notBefore(victim, now.Add(h.Settings.LongestOrder))
	}
	l.state = loadOrdered
	l.ordered = now
	l.evict = evict
	h.act(OrderLoad{Load: n.ref, Evict: evict, Fence: h.tenure.epoch})
}

// freeSlots counts the slots that neither hold a version nor wait for one that is ordered.
func (h *Holder) freeSlots() int {
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
		h.act(ReturnPermit{Model: e.Model})
		return
	}
	if l.state != loadOrdered {
		l.state = loadPermitted
		l.until = now.Add(e.UseWithin)
	}
}

// permitRefused refuses in turn those that cannot wait until the next ask: they learn it now instead
// of at their deadline.
func (h *Holder) permitRefused(now time.Time, e PermitRefused) {
	l, ok := h.loads[e.Model]
	if !ok || l.state == loadOrdered {
		return
	}
	l.state = loadRefused
	l.until = now.Add(e.RetryAfter)
	soonest := l.until.Add(h.times.order)
	h.refuseWhere(func(request Request) bool {
		return request.Model == e.Model && request.Deadline.Before(soonest)
	}, ReasonBusy, e.RetryAfter)
}

func (h *Holder) loadDone(now time.Time, e LoadDone) {
	l, ok := h.loads[e.Load]
	if !ok || l.state != loadOrdered {
		return
	}
	h.times = h.times.with(now, now.Sub(l.first), now.Sub(l.ordered))
	delete(h.loads, e.Load)
	h.residency.settled(now, l.evict)
	h.residency.add(now, e.Load)
	h.loaded(now, e.Load)
}

// loadFailed decides whether to try again.
func (h *Holder) loadFailed(now time.Time, e LoadFailed) {
	l, ok := h.loads[e.Load]
	if !ok || l.state != loadOrdered {
		return
	}
	h.takeBackEviction(now, e, l)
	switch e.Cause {
	case CauseStaleFence:
		h.yielded()
		return
	case CauseNoSlot, CauseInUse, CauseUpstream:
		h.residency.doubt(now)
	case CauseWeightStore:
	}
	l.failures++
	l.evict = model.Reference{}
	l.state = loadRefused
	l.until = now.Add(h.times.order)
	if l.failures >= mostFailures {
		h.refuseModel(e.Load, ReasonLoadFailed, h.times.order*mostFailures)
		delete(h.loads, e.Load)
	}
}

// takeBackEviction keeps the version that was to be evicted if it certainly still is loaded. When the
// outcome is unknown the order may take effect later still, so it is not believed to be loaded before.
func (h *Holder) takeBackEviction(now time.Time, e LoadFailed, l *load) {
	if l.evict.IsZero() || e.Cause == CauseUpstream {
		return
	}
	h.residency.settled(now, l.evict)
	if e.Evicted {
		return
	}
	h.residency.add(now, l.evict)
	if e.Cause == CauseInUse {
		h.residency.busy(l.evict, now.Add(h.Settings.LongestOrder))
	}
}

func (h *Holder) refuseModel(ref model.Reference, reason Reason, retryAfter time.Duration) {
	h.refuseWhere(func(request Request) bool { return request.Model == ref }, reason, retryAfter)
}

// ---------------------------------------------------------------------------------------------

// forgetLoads is how long a measured wait for a load is believed in full. Without it one long wait
// would refuse every later request that needs a load, and no shorter one would ever be measured.
const forgetLoads = 5 * time.Second

// loadTimes are moving means: wanted from the first want of a load until it is done, order from its
// order until it is done.
type loadTimes struct {
	expected time.Duration
	wanted   time.Duration
	order    time.Duration
	at       time.Time
}

func newLoadTimes(expected time.Duration) loadTimes {
	return loadTimes{expected: expected, wanted: expected, order: expected}
}

func (t loadTimes) with(now time.Time, wanted, order time.Duration) loadTimes {
	t.wanted = blend(t.wanted, wanted)
	t.order = blend(t.order, order)
	t.at = now
	return t
}

// wait is how long a load is expected to take from now on.
func (t loadTimes) wait(now time.Time) time.Duration {
	if t.at.IsZero() || now.Sub(t.at) > forgetLoads {
		return t.expected
	}
	return t.wanted
}

// untilLoaded is how long until the version is loaded, as far as known.
func (h *Holder) untilLoaded(now time.Time, ref model.Reference) time.Duration {
	if h.residency.has(ref) || !h.mayAct(now) {
		return 0
	}
	l, ok := h.loads[ref]
	if ok && l.state == loadOrdered {
		return max(0, h.times.order-now.Sub(l.ordered))
	}
	return h.times.order
}
