package holder

import (
	"math"
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// demand.go counts how much each adapter version has been asked for lately, and chooses what to evict.

// leastDemand is when a count is dropped: a single request nearly seven half-lives ago. It bounds the
// memory to the versions asked for lately, so that an idle adapter costs nothing here.
const leastDemand = 0.01

// silenceWeight is how far the silence of a version counts. Requests come in bursts and to other
// upstreams too, so a gap says less than it would of independent ones. Measured: 1 evicts versions that
// come again, 0.25 keeps dead ones longer.
const silenceWeight = 0.5

// pruneEvery is how many additions go by between two rounds of dropping.
const pruneEvery = 1024

type demand struct {
	halfLife time.Duration
	counts   map[model.Reference]count
	added    int
}

// count is a number of requests as of a time; it halves every half-life.
type count struct {
	value float64
	at    time.Time
}

func newDemand(eviction Eviction) demand {
	halfLife := time.Minute
	if rule, ok := eviction.(ByDemand); ok && rule.HalfLife > 0 {
		halfLife = rule.HalfLife
	}
	return demand{halfLife: halfLife, counts: make(map[model.Reference]count)}
}

func (d *demand) add(now time.Time, ref model.Reference) {
	d.counts[ref] = count{value: d.of(now, ref) + 1, at: now}
	d.added++
	if d.added%pruneEvery == 0 {
		d.prune(now)
	}
}

func (d *demand) of(now time.Time, ref model.Reference) float64 {
	c, ok := d.counts[ref]
	if !ok {
		return 0
	}
	return c.value * math.Exp2(-now.Sub(c.at).Seconds()/d.halfLife.Seconds())
}

// prune makes the table anew, as a map keeps the memory of what is deleted from it.
func (d *demand) prune(now time.Time) {
	kept := make(map[model.Reference]count)
	for ref, c := range d.counts {
		if d.of(now, ref) >= leastDemand {
			kept[ref] = c
		}
	}
	d.counts = kept
}

// ---------------------------------------------------------------------------------------------

// victim chooses the version to evict; ok is false when there is none. Never one that is pinned: its
// requests would be cut off or answered by the wrong weights. Never one that somebody waits for: it
// would be loaded again at once, at the fleet's cost.
//
// Made for skewed popularity, where the least recently used rule lets a stream of adapters that are
// asked for once push out those that are asked for every few seconds.
func (h *Holder) victim(now time.Time, needs *needs) (victim model.Reference, ok bool) {
	if !h.mayEvict(now) {
		return victim, false
	}
	least := math.Inf(1)
	for ref, s := range h.residency.resident {
		if h.pins.isPinned(ref) || s.orphaned || needs.awaits(ref) || now.Before(s.busyUntil) {
			continue
		}
		value := h.keepValue(now, ref, s)
		if value < least || (value == least && less(ref, victim)) {
			least = value
			victim = ref
			ok = true
		}
	}
	return victim, ok
}

// keepValue is how much the version is worth keeping.
func (h *Holder) keepValue(now time.Time, ref model.Reference, s slot) float64 {
	switch h.Settings.Eviction.(type) {
	case LeastRecentlyUsed:
		return -now.Sub(s.used).Seconds()
	default:
		return h.demand.expected(now, ref)
	}
}

// coldest is what the next load would cost the upstream: the recent demand for what it evicts.
func (h *Holder) coldest(now time.Time) float64 {
	if h.freeSlots() > 0 {
		return 0
	}
	least := math.Inf(1)
	for ref, s := range h.residency.resident {
		if !h.pins.isPinned(ref) && !s.orphaned {
			least = min(least, h.demand.expected(now, ref))
		}
	}
	if math.IsInf(least, 1) {
		return h.demand.most(now)
	}
	return least
}

// expected is the recent demand, less what the silence since the last request says against it: requests
// at a rate r leave a gap of t with probability exp(-r t), weighed down by silenceWeight. Made for popularity that shifts. By the count
// alone, versions that were hot and are dead would stay for minutes, and the newly hot ones would evict
// each other.
func (d *demand) expected(now time.Time, ref model.Reference) float64 {
	c, ok := d.counts[ref]
	if !ok {
		return 0
	}
	rate := c.value * math.Ln2 / d.halfLife.Seconds()
	return d.of(now, ref) * math.Exp(-silenceWeight*rate*now.Sub(c.at).Seconds())
}

func (d *demand) most(now time.Time) (most float64) {
	for ref := range d.counts {
		most = max(most, d.of(now, ref))
	}
	return most
}
