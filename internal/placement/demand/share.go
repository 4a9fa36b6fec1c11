package demand

import (
	"math"
	"time"
)

// share.go estimates which part of the fleet's requests this instance gets, from what the instances have admitted.
// Load balancers spread callers unevenly: an instance that gets five times the mean would otherwise order five times
// the replicas.

const (
	// shareHalfLife is the half-life of what was admitted. The totals of the other instances are up to some seconds
	// old, so a shorter half-life would show their delay instead of the share.
	shareHalfLife = 5 * time.Second
	// minShareTime is how long the totals must have been known before a share is computed from them.
	minShareTime = 3 * time.Second
)

// Share is the part of the fleet's requests that this instance gets. The zero value knows nothing. It is not safe for
// concurrent use.
type Share struct {
	since  time.Time
	at     time.Time
	totals map[string]float64
	own    float64
	all    float64
}

// Record records what each instance has admitted in total since it started. self is the name of this one.
func (s *Share) Record(now time.Time, self string, totals map[string]float64) {
	if s.since.IsZero() {
		s.since = now
	}
	factor := math.Exp2(-now.Sub(s.at).Seconds() / shareHalfLife.Seconds())
	s.own *= factor
	s.all *= factor
	for name, total := range totals {
		before, known := s.totals[name]
		added := max(total-before, 0) // a total falls if the instance was restarted
		if !known {
			continue
		}
		s.all += added
		if name == self {
			s.own += added
		}
	}
	s.at = now
	s.totals = totals
}

// At returns when the totals were last recorded.
func (s *Share) At() time.Time { return s.at }

// Factor returns the number of requests of the fleet for each request of this instance, at most the number of
// instances: a larger factor of an instance with a small share is not needed, since the instance with the largest
// estimate decides.
func (s *Share) Factor(now time.Time, instances int) float64 {
	if s.since.IsZero() || now.Sub(s.since) < minShareTime || s.own <= 0 {
		return float64(max(instances, 1))
	}
	return min(max(s.all/s.own, 1), float64(max(instances, 1)))
}
