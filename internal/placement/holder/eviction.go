package holder

import (
	"math"
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// eviction.go counts the recent requests for each adapter version and selects the version to evict.

// minDemand is the value below which a count is dropped: a single request nearly seven half-lives ago. It limits
// the memory to recently requested versions, so that an idle adapter uses none.
const minDemand = 0.01

// gapWeight scales the effect of the time since a version's last request. Requests arrive in bursts and at other
// upstreams too, so a gap is weaker evidence than it would be with independent arrivals. In measurements, 1 evicted
// versions that were requested again, and 0.25 kept unused versions longer.
const gapWeight = 0.5

// pruneInterval is the number of additions between two prunings.
const pruneInterval = 1024

type demand struct {
	halfLife  time.Duration
	counts    map[model.Reference]count
	additions int
}

// count is a number of requests at a time, with exponential decay.
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
	d.counts[ref] = count{value: d.valueAt(now, ref) + 1, at: now}
	d.additions++
	if d.additions%pruneInterval == 0 {
		d.prune(now)
	}
}

func (d *demand) valueAt(now time.Time, ref model.Reference) float64 {
	c, ok := d.counts[ref]
	if !ok {
		return 0
	}
	return c.value * math.Exp2(-now.Sub(c.at).Seconds()/d.halfLife.Seconds())
}

// prune drops small counts. It builds a new map, as a map does not release the memory of deleted entries.
func (d *demand) prune(now time.Time) {
	kept := make(map[model.Reference]count)
	for ref, c := range d.counts {
		if d.valueAt(now, ref) >= minDemand {
			kept[ref] = c
		}
	}
	d.counts = kept
}

// ---------------------------------------------------------------------------------------------

// victim selects the version to evict; ok is false if there is none. A pinned version is never evicted: its
// requests would be aborted or answered by the wrong weights. A version that requests wait for is never evicted: it
// would be reloaded at once, at the fleet's cost.
//
// Versions are ranked by demand because of skewed popularity: with the least recently used rule, a stream of adapters
// that are requested once evicts those that are requested every few seconds.
func (h *Holder) victim(now time.Time, awaited *awaitedVersions) (victim model.Reference, ok bool) {
	if !h.mayEvict(now) {
		return victim, false
	}
	least := math.Inf(1)
	for ref, v := range h.residency.resident {
		if h.pins.isPinned(ref) || v.orphaned || awaited.contains(ref) || now.Before(v.protectedUntil) {
			continue
		}
		value := h.evictionScore(now, ref, v)
		if value < least || (value == least && lessReference(ref, victim)) {
			least = value
			victim = ref
			ok = true
		}
	}
	return victim, ok
}

// evictionScore returns the version's eviction score; the lowest is evicted first.
func (h *Holder) evictionScore(now time.Time, ref model.Reference, v residentVersion) float64 {
	switch h.Settings.Eviction.(type) {
	case LeastRecentlyUsed:
		return -now.Sub(v.usedAt).Seconds()
	default:
		return h.demand.discounted(now, ref)
	}
}

// coldest returns the cost of the next load: the recent demand for the version that it evicts.
func (h *Holder) coldest(now time.Time) float64 {
	if h.freeAdapterSlots() > 0 {
		return 0
	}
	least := math.Inf(1)
	for ref, v := range h.residency.resident {
		if !h.pins.isPinned(ref) && !v.orphaned {
			least = min(least, h.demand.discounted(now, ref))
		}
	}
	if math.IsInf(least, 1) {
		return h.demand.highest(now)
	}
	return least
}

// discounted returns the recent demand, discounted for the time since the last request: requests at a rate r leave a
// gap of t with probability exp(-r t), with the exponent scaled by gapWeight. This handles shifts in popularity:
// with the count alone, formerly popular versions would stay for minutes, and newly popular ones would evict each
// other.
func (d *demand) discounted(now time.Time, ref model.Reference) float64 {
	c, ok := d.counts[ref]
	if !ok {
		return 0
	}
	rate := c.value * math.Ln2 / d.halfLife.Seconds()
	return d.valueAt(now, ref) * math.Exp(-gapWeight*rate*now.Sub(c.at).Seconds())
}

func (d *demand) highest(now time.Time) (highest float64) {
	for ref := range d.counts {
		highest = max(highest, d.valueAt(now, ref))
	}
	return highest
}
