package pool

import (
	"math"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// pace.go keeps the pace of each upstream: how long work takes there, relative to a typical upstream of its service.
//
// The pace in use is the lasting ratio, which is learnt from measured times, multiplied by the deviation of the
// moment, which the upstream states. An instance of a large fleet gets few responses of each upstream. The instances
// therefore send what they measure to the holder of the upstream, and the holder states the result.

const (
	// minStatedPace and maxStatedPace bound what an upstream states.
	minStatedPace = 0.25
	maxStatedPace = 8
	// statedPaceTTL is how long the upstreams of a service count as ones that state their pace after the last
	// statement.
	statedPaceTTL = 30 * time.Second
	// momentaryHalfLife is the half-life of the deviation of the moment. It changes many times a second.
	momentaryHalfLife = 150 * time.Millisecond
	// momentaryTTL is the age from which on a statement deviates by less than a hundredth.
	momentaryTTL = 1500 * time.Millisecond
	// minPaceChange is the factor by which a pace has to change to be reported or used. Smaller changes would rank
	// the homes of adapters anew without need.
	minPaceChange = 1.1
	// equalTimeMargin is the fraction by which the time at one upstream has to be shorter than at another one that
	// costs the same otherwise, to be preferred. All instances know the same paces, and without the margin all would
	// choose the upstream that looks fastest by a hundredth, until its holder states what is in flight there.
	equalTimeMargin = 0.25
)

// PaceStatement is what one or all instances know of the pace of an upstream's life.
type PaceStatement struct {
	Life traffic.Life
	// Ratio is the mean ratio of measured to typical times, and Weight the weight of the measurements; without any,
	// Weight is 0. In the statement of one instance, the times are divided by the pace that the upstream stated with
	// them.
	Ratio  float64
	Weight float64
	// Stated is what the upstream last stated of that moment, 1 for as usual, and StatedAge how long ago; 0 if it has
	// stated nothing.
	Stated    float64
	StatedAge time.Duration
}

// HeldPace is the pace of an upstream that this instance holds. Stated is 0 if it has stated nothing.
type HeldPace struct {
	Upstream string
	Stated   float64
	Learnt   float64
	Used     float64
	// Previous is the last learnt pace that was stated to the others, if Changed.
	Previous float64
	Changed  bool
}

// servicePace is what is known of the paces of the upstreams of a service.
type servicePace struct {
	// statedAt is when any upstream last stated its pace.
	statedAt time.Time
	// typical is the geometric mean of the lasting ratios, and known the changes that it takes into account. It makes
	// the forecast that of a typical upstream: if all ratios are high, the forecast is too low.
	typical float64
	known   paceChanges
}

// paceChanges counts the changes that affect the typical pace of a service.
type paceChanges struct{ upstreams, ratios int }

// StatesPace reports whether any upstream of a service has stated a pace within the last statedPaceTTL. Otherwise all
// paces are 1, and nothing is measured or sent.
func (p *Pool) StatesPace(service string) bool { return p.statesPace(p.clock, service) }

func (p *Pool) statesPace(now time.Time, service string) bool {
	stats := p.stats[service]
	return stats != nil && stats.pace.isStated(now)
}

func (s *servicePace) isStated(now time.Time) bool {
	return !s.statedAt.IsZero() && now.Sub(s.statedAt) < statedPaceTTL
}

// advance records the latest time that was passed in, for decisions that get none.
func (p *Pool) advance(now time.Time) {
	if now.After(p.clock) {
		p.clock = now
	}
}

// RecordStatedPace records the pace that the response to the attempt states, 0 if it states none. It reports whether
// that differs from what was known by more than minPaceChange, so that the holder should learn of it.
func (a *Attempt) RecordStatedPace(now time.Time, pace float64) (news bool) {
	u := a.upstream
	if u == nil || !isPositive(pace) {
		return false
	}
	a.statedPace = clampPace(pace)
	news = isPaceChange(a.statedPace, u.pace.usualPace()*u.pace.momentary(now))
	a.pool.advance(now)
	a.pool.recordStatedPace(now, u, a.statedPace)
	a.pool.markPaceUnsent(u)
	return news
}

// recordPaceSample records how long the attempt took until its first event or response, and returns the pace of the
// upstream at that moment.
func (p *Pool) recordPaceSample(now time.Time, a *Attempt, took time.Duration) (pace float64) {
	u := a.upstream
	stats := p.statsOf(a.query.Service)
	if !stats.pace.isStated(now) {
		return 1
	}
	p.advance(now)
	pace = u.pace.lasting() / p.typicalPace(a.query.Service, &stats.pace)
	stated := u.pace.usualPace()
	if a.statedPace > 0 {
		pace *= a.statedPace / stated
		stated = a.statedPace
	}
	if a.typical > 0 && took > 0 {
		sample := float64(took) / float64(a.typical) / stated
		u.pace.own = u.pace.own.with(now, math.Log(min(max(sample, 1.0/maxSample), maxSample)))
		p.markPaceUnsent(u)
		p.learnPace(now, u)
	}
	return pace
}

// paces are the paces of the upstreams of a service: their typical pace, or 0 if they state none.
type paces struct{ typical float64 }

// pacesOf returns the paces of the upstreams of a service.
func (p *Pool) pacesOf(now time.Time, service string) paces {
	stats := p.stats[service]
	if stats == nil || !stats.pace.isStated(now) {
		return paces{}
	}
	return paces{typical: p.typicalPace(service, &stats.pace)}
}

// of is the factor by which work at an upstream takes longer now than at a typical one of its service.
func (s paces) of(now time.Time, u *upstream) float64 {
	if s.typical == 0 {
		return 1
	}
	return u.pace.lasting() * u.pace.momentary(now) / s.typical
}

// margin is added to the cost of a choice that is compared with the best one so far, so that the first one in the
// rotation is chosen among upstreams that differ only in the time, and in that by little.
func (s paces) margin(choice Choice, total time.Duration, best Choice, bestTotal time.Duration) time.Duration {
	if s.typical == 0 || total-choice.weighed != bestTotal-best.weighed {
		return 0
	}
	return scale(equalTimeMargin, best.weighed)
}

// typicalPace is the geometric mean of the lasting ratios of the upstreams of a service.
func (p *Pool) typicalPace(service string, pace *servicePace) float64 {
	current := paceChanges{upstreams: p.changes, ratios: p.ratioChanges}
	if pace.typical > 0 && pace.known == current {
		return pace.typical
	}
	sum := 0.0
	upstreams := p.upstreamsOf(service)
	for _, u := range upstreams {
		sum += math.Log(u.pace.lasting())
	}
	pace.typical = math.Exp(sum / float64(max(len(upstreams), 1)))
	pace.known = current
	return pace.typical
}

func (p *Pool) recordStatedPace(at time.Time, u *upstream, pace float64) {
	u.pace.state(at, pace)
	stats := p.statsOf(u.declared.Service)
	if at.After(stats.pace.statedAt) {
		stats.pace.statedAt = at
	}
}

// markPaceUnsent marks what this instance knows of an upstream's pace as not reported to the holder. An attempt may
// end after its upstream was removed, which then has no holder.
func (p *Pool) markPaceUnsent(u *upstream) {
	if p.upstreams[u.declared.ID] != u {
		return
	}
	if p.pacesUnsent == nil {
		p.pacesUnsent = make(map[string]bool)
	}
	p.pacesUnsent[u.declared.ID] = true
}

// learnPace updates the lasting ratio of an upstream from what this instance knows, unless the holder has stated it
// lately.
func (p *Pool) learnPace(now time.Time, u *upstream) {
	held := p.held[u.declared.ID]
	if !held && u.pace.isPublished(now) {
		return
	}
	ratio, weight := u.pace.merge(now, held)
	p.setLasting(u, ratio, weight)
}

// setLasting sets the lasting ratio of an upstream. A change of at most minPaceChange is ignored, so that all
// instances use the same ratio and rank the homes of adapters alike.
func (p *Pool) setLasting(u *upstream, ratio, weight float64) {
	u.pace.weight = weight
	if isPaceChange(ratio, u.pace.lasting()) {
		u.pace.ratio = ratio
		p.ratioChanges++
	}
}

// pacedWeight is the weight of an upstream in the ranking of an adapter's homes, from their common hash. An upstream
// is ranked first as often as it is faster than the others (weighted rendezvous hashing).
func (u *upstream) pacedWeight(hash uint64) uint64 {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return math.Float64bits(-1 / (math.Log(uniform) * u.pace.lasting())) // the bits of positive numbers are in their order
}

// isPaceChange reports whether two paces differ by more than minPaceChange.
func isPaceChange(a, b float64) bool { return a > b*minPaceChange || b > a*minPaceChange }

// isPositive reports whether a pace is a finite number above 0.
func isPositive(pace float64) bool { return pace > 0 && !math.IsInf(pace, 1) }

func clampPace(pace float64) float64 { return min(max(pace, minStatedPace), maxStatedPace) }
