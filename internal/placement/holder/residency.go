package holder

import (
	"slices"
	"sort"
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// residency.go tracks which versions the upstream has loaded, from the holder's own orders and the upstream's
// reports. Reports lag: one that is older than an order does not show its effect.

type residency struct {
	// known is false until a report has listed all loaded versions, and again after an order with an
	// unknown outcome. While the free adapter slots are unknown no loads are ordered; see residencyKnown.
	known       bool
	incarnation string
	resident    map[model.Reference]residentVersion
	// ignoreReportsUntil holds, for each evicted version, the time from which reports that list it are accepted.
	// A report made while the eviction is in progress still lists the version. If it were accepted, a request would
	// be sent to a version that is evicted while the request runs.
	ignoreReportsUntil map[model.Reference]time.Time
	// unknownSince is when an order's outcome became unknown.
	unknownSince time.Time
}

// residentVersion is a loaded version; it takes one adapter slot. since is when the load became known, usedAt the last
// use, and protectedUntil the time until which the upstream is assumed to run a request on it that has no pin.
// orphaned is true from the first report that lists the version, if that report shows it with running requests, until a
// report shows it without.
type residentVersion struct {
	since          time.Time
	usedAt         time.Time
	protectedUntil time.Time
	orphaned       bool
}

func newResidency() residency {
	return residency{resident: make(map[model.Reference]residentVersion), ignoreReportsUntil: make(map[model.Reference]time.Time)}
}

func (r *residency) has(ref model.Reference) bool {
	_, ok := r.resident[ref]
	return ok
}

func (r *residency) markUsed(now time.Time, ref model.Reference) {
	v := r.resident[ref]
	v.usedAt = now
	r.resident[ref] = v
}

func (r *residency) add(now time.Time, ref model.Reference) {
	r.resident[ref] = residentVersion{since: now, usedAt: now}
	delete(r.ignoreReportsUntil, ref)
}

func (r *residency) remove(now time.Time, ref model.Reference) {
	delete(r.resident, ref)
	r.ignoreReportsUntil[ref] = now
}

// protect protects the version from eviction until the given time.
func (r *residency) protect(ref model.Reference, until time.Time) {
	v := r.resident[ref]
	v.protectedUntil = until
	r.resident[ref] = v
}

// ignoreReportsBefore makes reports of the version ignored if they were made before from.
func (r *residency) ignoreReportsBefore(ref model.Reference, from time.Time) {
	if !ref.IsZero() && from.After(r.ignoreReportsUntil[ref]) {
		r.ignoreReportsUntil[ref] = from
	}
}

// isEvictionPending reports whether an eviction of the version may still take effect.
func (r *residency) isEvictionPending(now time.Time, ref model.Reference) bool {
	return r.ignoreReportsUntil[ref].After(now)
}

// endEviction records that the eviction has ended, with or without effect.
func (r *residency) endEviction(now time.Time, ref model.Reference) {
	if !ref.IsZero() {
		r.ignoreReportsUntil[ref] = now
	}
}

// invalidate marks the residency as unknown until a report that was made after now.
func (r *residency) invalidate(now time.Time) {
	r.known = false
	r.unknownSince = now
}

func (r *residency) list() []model.Reference {
	list := make([]model.Reference, 0, len(r.resident))
	for ref := range r.resident {
		list = append(list, ref)
	}
	sort.Slice(list, func(i, j int) bool { return lessReference(list[i], list[j]) })
	return list
}

// apply applies a report made at madeAt and returns the versions that are newly known to be loaded.
//
// An instance may fail together with the upstream's holder (they may be one process) while the engine continues
// to run its requests. No member reports their pins to the next holder, which would evict their version while they
// run. So a version that is found running is not evicted until a report has shown it idle once: from then on
// every request on it has a pin of this holder. A known pin on the version does not change this, as a request without
// a pin may run beside it. A version in continuous use is a poor choice for eviction anyway.
func (r *residency) apply(madeAt time.Time, listed, running []model.Reference) (added []model.Reference) {
	seen := make(map[model.Reference]bool, len(listed))
	for _, ref := range listed {
		seen[ref] = true
		if !r.has(ref) && r.ignoreReportsUntil[ref].Before(madeAt) {
			r.add(madeAt, ref)
			r.markOrphaned(ref)
			added = append(added, ref)
		}
	}
	r.clearOrphaned(running)
	for ref, v := range r.resident {
		if !seen[ref] && v.since.Before(madeAt) {
			delete(r.resident, ref)
		}
	}
	for ref, at := range r.ignoreReportsUntil {
		if at.Before(madeAt) {
			delete(r.ignoreReportsUntil, ref)
		}
	}
	if !r.unknownSince.After(madeAt) {
		r.known = true
	}
	return added
}

func (r *residency) markOrphaned(ref model.Reference) {
	v := r.resident[ref]
	v.orphaned = true
	r.resident[ref] = v
}

// clearOrphaned clears the orphaned mark of the versions that no longer have running requests.
func (r *residency) clearOrphaned(running []model.Reference) {
	for ref, v := range r.resident {
		if v.orphaned && !slices.Contains(running, ref) {
			v.orphaned = false
			r.resident[ref] = v
		}
	}
}

// ---------------------------------------------------------------------------------------------

// reported applies the upstream's report. A report made while an earlier holder could still act is dropped: the
// versions it lists may have been evicted since.
func (h *Holder) reported(now time.Time, e Reported) {
	if h.residency.incarnation != "" && h.residency.incarnation != e.Incarnation {
		h.restarted(now, e.Incarnation)
	}
	h.residency.incarnation = e.Incarnation
	madeAt := now.Add(-e.Age)
	from, known := h.mayActFrom(now)
	if !known || madeAt.Before(from) {
		return
	}
	for _, ref := range h.residency.apply(madeAt, e.Resident, e.Running) {
		h.recordLoadWaits(now, ref)
	}
}

// restarted clears the loaded versions. Otherwise requests would be sent to an engine with nothing loaded, and each
// would fail as "not resident" after a wasted round trip.
func (h *Holder) restarted(now time.Time, incarnation string) {
	if h.residency.incarnation == incarnation {
		return
	}
	h.residency = newResidency()
	h.residency.incarnation = incarnation
	h.residency.invalidate(now)
	for ref, l := range h.loads {
		if l.state == loadOrdered {
			delete(h.loads, ref)
		}
	}
}

// residencyKnown reports whether the free adapter slots are known. If an upstream sends no reports, the holder
// continues after Settings.OrderTimeout, as a load that finds no free adapter slot is refused without harm.
func (h *Holder) residencyKnown(now time.Time) bool {
	if h.residency.known {
		return true
	}
	from, known := h.mayActFrom(now)
	if !known {
		return false
	}
	if h.residency.unknownSince.After(from) {
		from = h.residency.unknownSince
	}
	return now.Sub(from) > h.Settings.OrderTimeout
}

func lessReference(a, b model.Reference) bool {
	if a.Adapter != b.Adapter {
		return a.Adapter < b.Adapter
	}
	return a.Version < b.Version
}
