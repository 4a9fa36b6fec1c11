package contention

import (
	"math"
	"time"
)

// schedule.go keeps the turns of the callers that were refused and told when to come back.

const (
	// minRetryAfter keeps callers from coming back at once.
	minRetryAfter = 50 * time.Millisecond
	// maxTimeFraction is the fraction of the time that a caller has left up to which it waits before it comes back.
	maxTimeFraction = 1.0 / 3
	// completionHalfLife is the half-life of the measured rate of completions.
	completionHalfLife = time.Second
	// maxInterval is the time between two turns where no completions are known.
	maxInterval = time.Second
	// earlyTurn and lateTurn are how much before and after its time a caller may take its turn.
	earlyTurn = 100 * time.Millisecond
	lateTurn  = 500 * time.Millisecond
	// minCostFactor and maxCostFactor bound the cost of a request in relation to the mean.
	minCostFactor = 0.25
	maxCostFactor = 4
	// maxTurns bounds the turns that are kept of one class.
	maxTurns = 512
)

// schedule are the turns of one service.
type schedule struct {
	// next is when the next turn of a class begins. A turn moves those of the same class and of all lower ones.
	next [classes]time.Time
	// turns are the times of the turns that were not taken yet, in order.
	turns [classes][]time.Time
	// completed is the decayed number of completions of each class, and cost their decayed cost.
	completed   [classes]float64
	cost        float64
	completedAt time.Time
}

// recordCompletion records that a request was served.
func (s *schedule) recordCompletion(now time.Time, class Class, cost float64) {
	s.decay(now)
	s.completed[class.index()]++
	s.cost += cost
}

func (s *schedule) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(s.completedAt).Seconds() / completionHalfLife.Seconds())
	if s.completedAt.IsZero() {
		factor = 0
	}
	s.completedAt = now
	s.cost *= factor
	for i := range s.completed {
		s.completed[i] *= factor
	}
}

// interval is how long the service takes for a request of a class: at the rate of the completions of this class and of the
// lower ones, since the classes above it are served first.
func (s *schedule) interval(class Class, cost float64) time.Duration {
	completed, all := 0.0, 0.0
	for i, count := range s.completed {
		all += count
		if i >= class.index() {
			completed += count
		}
	}
	rate := completed * math.Ln2 / completionHalfLife.Seconds()
	if rate*maxInterval.Seconds() <= 1 {
		return maxInterval
	}
	factor := 1.0
	if s.cost > 0 && cost > 0 {
		factor = min(max(cost*all/s.cost, minCostFactor), maxCostFactor)
	}
	return time.Duration(factor / rate * float64(time.Second))
}

// add returns when a refused caller should come back, and whether it has a turn then: after the turns of those that were
// refused before it in the same or a higher class.
func (s *schedule) add(now time.Time, class Class, request Request) (retryAfter time.Duration, scheduled bool) {
	s.decay(now)
	first := class.index()
	latest := scale(maxTimeFraction, max(request.Remaining, 0))
	interval := s.interval(class, request.Cost)
	due := now.Add(minRetryAfter + interval)
	if due.Before(s.next[first]) {
		due = s.next[first]
	}
	s.dropExpired(now, first)
	retryAfter = due.Sub(now)
	if retryAfter > latest || len(s.turns[first]) >= maxTurns {
		return latest, false
	}
	s.turns[first] = append(s.turns[first], due)
	for i := first; i < classes; i++ {
		if s.next[i].Before(now) {
			s.next[i] = now
		}
		s.next[i] = s.next[i].Add(interval)
	}
	s.next[first] = due.Add(interval)
	return retryAfter, true
}

// take takes the turn of a class that is due.
func (s *schedule) take(now time.Time, class Class) bool {
	i := class.index()
	s.dropExpired(now, i)
	if len(s.turns[i]) == 0 || s.turns[i][0].After(now.Add(earlyTurn)) {
		return false
	}
	s.turns[i] = s.turns[i][1:]
	return true
}

// dropExpired drops the turns that nobody has taken.
func (s *schedule) dropExpired(now time.Time, class int) {
	turns := s.turns[class]
	for len(turns) > 0 && now.Sub(turns[0]) > lateTurn {
		turns = turns[1:]
	}
	s.turns[class] = turns
}
