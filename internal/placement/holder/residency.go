package holder

import (
	"slices"
	"sort"
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// residency.go keeps which versions the upstream has loaded. It is learnt from the holder's own orders
// and from the upstream's reports. Reports lag: one that is older than an order says nothing about it.

type residency struct {
	// known is false until a report has shown all that is loaded, and again after an order with an
	// unknown outcome. Until then nothing is ordered, for the free slots are not known.
	known       bool
	incarnation string
	resident    map[model.Reference]slot
	// gone holds, for a version that is evicted, the time from which on reports are believed that still
	// list it: a report made while the eviction is under way lists it truly and too early. Believed, it
	// would have a request sent to a version that is evicted while it runs.
	gone map[model.Reference]time.Time
	// doubtFrom is when the outcome of an order became unknown.
	doubtFrom time.Time
}

// slot is a loaded version: since when that is known, its last use, and until when the upstream is
// believed to run something on it that no pin tells of. Orphaned is true from the report that first shows
// the version, if it shows it running, until one that shows it idle.
type slot struct {
	since     time.Time
	used      time.Time
	busyUntil time.Time
	orphaned  bool
}

func newResidency() residency {
	return residency{resident: make(map[model.Reference]slot), gone: make(map[model.Reference]time.Time)}
}

func (r *residency) has(ref model.Reference) bool {
	_, ok := r.resident[ref]
	return ok
}

func (r *residency) use(now time.Time, ref model.Reference) {
	s := r.resident[ref]
	s.used = now
	r.resident[ref] = s
}

func (r *residency) add(now time.Time, ref model.Reference) {
	r.resident[ref] = slot{since: now, used: now}
	delete(r.gone, ref)
}

func (r *residency) remove(now time.Time, ref model.Reference) {
	delete(r.resident, ref)
	r.gone[ref] = now
}

// busy keeps the version from being evicted for a while.
func (r *residency) busy(ref model.Reference, until time.Time) {
	s := r.resident[ref]
	s.busyUntil = until
	r.resident[ref] = s
}

// notBefore drops reports of the version that are made earlier.
func (r *residency) notBefore(ref model.Reference, from time.Time) {
	if !ref.IsZero() && from.After(r.gone[ref]) {
		r.gone[ref] = from
	}
}

// mayStillGo tells that an eviction of the version may still take effect.
func (r *residency) mayStillGo(now time.Time, ref model.Reference) bool {
	return r.gone[ref].After(now)
}

// settled tells that the eviction has ended, one way or the other.
func (r *residency) settled(now time.Time, ref model.Reference) {
	if !ref.IsZero() {
		r.gone[ref] = now
	}
}

// doubt makes the residency unknown until a report that was made later.
func (r *residency) doubt(now time.Time) {
	r.known = false
	r.doubtFrom = now
}

func (r *residency) list() []model.Reference {
	list := make([]model.Reference, 0, len(r.resident))
	for ref := range r.resident {
		list = append(list, ref)
	}
	sort.Slice(list, func(i, j int) bool { return less(list[i], list[j]) })
	return list
}

// apply takes a report that was made at made into account, and returns what it shows to be new.
//
// An instance may die together with the holder of an upstream (they may be one process) while the engine
// runs on with its requests. Nobody tells the next holder of their pins, and it would evict the version
// under them. So a version that is found running is not evicted before it was seen idle once: from then on
// every request on it has a pin of this holder. Whether a pin is known meanwhile does not matter, as an
// untold request may run beside it; a version in steady use is no good choice for an eviction anyway.
func (r *residency) apply(made time.Time, listed, running []model.Reference) (added []model.Reference) {
	seen := make(map[model.Reference]bool, len(listed))
	for _, ref := range listed {
		seen[ref] = true
		if !r.has(ref) && r.gone[ref].Before(made) {
			r.add(made, ref)
			r.orphan(ref)
			added = append(added, ref)
		}
	}
	r.adopt(running)
	for ref, s := range r.resident {
		if !seen[ref] && s.since.Before(made) {
			delete(r.resident, ref)
		}
	}
	for ref, at := range r.gone {
		if at.Before(made) {
			delete(r.gone, ref)
		}
	}
	if !r.doubtFrom.After(made) {
		r.known = true
	}
	return added
}

func (r *residency) orphan(ref model.Reference) {
	s := r.resident[ref]
	s.orphaned = true
	r.resident[ref] = s
}

// adopt takes over the versions on which nothing runs any more that nobody tells of.
func (r *residency) adopt(running []model.Reference) {
	for ref, s := range r.resident {
		if s.orphaned && !slices.Contains(running, ref) {
			s.orphaned = false
			r.resident[ref] = s
		}
	}
}

// ---------------------------------------------------------------------------------------------

// reported takes note of the upstream's own report. One made while an older holder could still act is
// dropped: what it lists may have been evicted since.
func (h *Holder) reported(now time.Time, e Reported) {
	if h.residency.incarnation != "" && h.residency.incarnation != e.Incarnation {
		h.restarted(now, e.Incarnation)
	}
	h.residency.incarnation = e.Incarnation
	made := now.Add(-e.Age)
	from, known := h.mayActFrom(now)
	if !known || made.Before(from) {
		return
	}
	for _, ref := range h.residency.apply(made, e.Resident, e.Running) {
		h.loaded(now, ref)
	}
}

// restarted forgets what was loaded. Kept, it would send requests to an engine that has nothing, each
// of which comes back as "not resident" after a wasted trip.
func (h *Holder) restarted(now time.Time, incarnation string) {
	if h.residency.incarnation == incarnation {
		return
	}
	h.residency = newResidency()
	h.residency.incarnation = incarnation
	h.residency.doubt(now)
	for ref, l := range h.loads {
		if l.state == loadOrdered {
			delete(h.loads, ref)
		}
	}
}

// residencyKnown tells whether the free slots are known. When an upstream does not report at all the
// holder goes on after a while, as a load that finds no slot is refused and does no harm.
func (h *Holder) residencyKnown(now time.Time) bool {
	if h.residency.known {
		return true
	}
	from, known := h.mayActFrom(now)
	if !known {
		return false
	}
	if h.residency.doubtFrom.After(from) {
		from = h.residency.doubtFrom
	}
	return now.Sub(from) > h.Settings.LongestOrder
}

func less(a, b model.Reference) bool {
	if a.Adapter != b.Adapter {
		return a.Adapter < b.Adapter
	}
	return a.Version < b.Version
}
