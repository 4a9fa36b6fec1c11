package pool

import (
	"math"
	"slices"
	"time"
)

// upstream_pace.go keeps what is known of the pace of one life of an upstream.

const (
	// paceHalfLife is the half-life of the samples.
	paceHalfLife = 20 * time.Second
	// pacePriorWeight is the weight of the assumption that an upstream is a typical one, in samples.
	pacePriorWeight = 2
	// maxSeedWeight is the weight that the last known result has at most at a new holder, in samples.
	maxSeedWeight = 5
	// paceTTL is how long what an instance measured counts at the holder, and what the holder stated at the
	// instances. After that an instance adds its own samples.
	paceTTL = evidenceTTL
	// minLasting and maxLasting bound the lasting ratio.
	minLasting = 1.0 / 32
	maxLasting = 32
	// keptStatements is the number of statements of which the median is the usual one. assumedStatements further ones
	// count as 1, so that the first few do not decide alone. The kept ones are at least minStatementGap apart, so
	// that one short deviation does not make up most of them.
	keptStatements    = 31
	assumedStatements = 3
	minStatementGap   = 200 * time.Millisecond
)

// paceMean is a mean of logarithms of paces that decays with the time.
type paceMean struct {
	sum    float64
	weight float64
	at     time.Time
}

func (m paceMean) decayed(now time.Time) paceMean {
	factor := math.Exp2(-max(now.Sub(m.at), 0).Seconds() / paceHalfLife.Seconds())
	return paceMean{sum: m.sum * factor, weight: m.weight * factor, at: now}
}

func (m paceMean) with(now time.Time, logarithm float64) paceMean {
	m = m.decayed(now)
	m.sum += logarithm
	m.weight++
	return m
}

func (m paceMean) plus(other paceMean) paceMean {
	m.sum += other.sum
	m.weight += other.weight
	return m
}

// value is the mean, shrunk towards 1.
func (m paceMean) value() float64 { return math.Exp(m.sum / (m.weight + pacePriorWeight)) }

// upstreamPace is what is known of the pace of one life of an upstream. The zero value is an upstream of typical pace.
type upstreamPace struct {
	// own are the samples of this instance: measured times divided by the typical time and by the stated pace. peers
	// are those of the other instances, if this one holds the upstream.
	own   paceMean
	peers map[string]paceMean
	// stated is the last statement, and usual the median of the latest ones, 0 if there is none. usual differs from 1
	// at an upstream whose statements include its lasting pace. A mean instead of the median would take short
	// deviations for lasting ones until there are many statements.
	stated     float64
	statedAt   time.Time
	statements []float64
	kept       int
	keptAt     time.Time
	usual      float64
	// published is the last lasting ratio that a holder has stated, with its weight.
	published       float64
	publishedWeight float64
	publishedAt     time.Time
	// ratio is the lasting ratio in use, 0 if unknown, and weight the weight of the samples behind it.
	ratio  float64
	weight float64
	// announced is the ratio when this instance last announced a change.
	announced float64
}

// lasting is how much longer work takes than expected, on average.
func (u *upstreamPace) lasting() float64 {
	if u.ratio <= 0 {
		return 1
	}
	return u.ratio
}

// lastAnnounced is the lasting ratio that the others have, from this instance or from the holder before it.
func (u *upstreamPace) lastAnnounced() float64 {
	switch {
	case u.announced > 0:
		return u.announced
	case u.published > 0:
		return u.published
	}
	return 1
}

// usualPace is what the upstream mostly states.
func (u *upstreamPace) usualPace() float64 {
	if u.usual <= 0 {
		return 1
	}
	return u.usual
}

// momentary is the deviation of the moment from the lasting pace. It decays to 1 with the age of the last statement.
func (u *upstreamPace) momentary(now time.Time) float64 {
	if u.stated == u.usual { // also if nothing is stated
		return 1
	}
	age := max(now.Sub(u.statedAt), 0)
	if age > momentaryTTL {
		return 1
	}
	return math.Pow(u.stated/u.usualPace(), math.Exp2(-age.Seconds()/momentaryHalfLife.Seconds()))
}

// state records a statement of the upstream. Older ones than the last are dropped.
func (u *upstreamPace) state(at time.Time, pace float64) {
	if !at.After(u.statedAt) {
		return
	}
	u.stated = pace
	u.statedAt = at
	if at.Sub(u.keptAt) >= minStatementGap {
		u.keptAt = at
		u.keep(pace)
	}
}

// keep replaces the oldest of the kept statements, and updates their median.
func (u *upstreamPace) keep(pace float64) {
	if u.statements == nil {
		u.statements = make([]float64, 0, keptStatements)
	}
	if len(u.statements) < keptStatements {
		u.statements = append(u.statements, pace)
	} else {
		u.statements[u.kept%keptStatements] = pace
	}
	u.kept++
	var sorted [keptStatements + assumedStatements]float64
	count := copy(sorted[:], u.statements)
	for range assumedStatements {
		sorted[count] = 1
		count++
	}
	slices.Sort(sorted[:count])
	u.usual = sorted[(count-1)/2]
}

// isPublished reports whether a holder has stated the lasting ratio lately.
func (u *upstreamPace) isPublished(now time.Time) bool {
	return u.published > 0 && now.Sub(u.publishedAt) < paceTTL
}

// seed is the last result of a holder, as a mean whose value is that result.
func (u *upstreamPace) seed() (seed paceMean) {
	if u.published <= 0 {
		return seed
	}
	weight := min(u.publishedWeight, maxSeedWeight)
	return paceMean{sum: math.Log(u.published/u.usualPace()) * (weight + pacePriorWeight), weight: weight, at: u.publishedAt}
}

// merge returns the lasting ratio by the samples and the last result of a holder, and its weight. A holder has the
// samples of all, and its knowledge of the result of the holder before it decays.
func (u *upstreamPace) merge(now time.Time, held bool) (ratio, weight float64) {
	seed := u.seed()
	if held {
		seed = seed.decayed(now)
	}
	total := u.own.decayed(now).plus(seed)
	if held {
		for instance, peer := range u.peers {
			if now.Sub(peer.at) > paceTTL {
				delete(u.peers, instance)
				continue
			}
			total = total.plus(peer.decayed(now))
		}
	}
	return min(max(total.value()*u.usualPace(), minLasting), maxLasting), total.weight
}
