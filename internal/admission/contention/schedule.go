package contention

import (
	"math"
	"time"
)

// schedule.go keeps the turns of the callers that were refused with a retry time.

const (
	// minRetryAfter keeps callers from coming back at once.
	minRetryAfter = 50 * time.Millisecond
	// maxTimeFraction is the fraction of the time that a caller has left up to which it waits before it comes back.
	maxTimeFraction = 1.0 / 3
	// maxTurnFraction is the same for callers with a turn. It is less, so that any instance can distinguish a caller
	// with a turn from one that got a retry time only: the latter has waited for maxTimeFraction.
	maxTurnFraction = 1.0 / 4
	// maxTurnDelay bounds how far ahead turns are given: a turn that cannot be kept should show soon.
	maxTurnDelay = 1500 * time.Millisecond
	// maxRetryAfter bounds the retry time of callers without a turn. If they have minutes left, the load may have
	// changed long before a third of these has passed.
	maxRetryAfter = 10 * time.Second
	// waitedTolerance is how much later than at its turn a caller may arrive, as a fraction of the time that it had
	// at first.
	waitedTolerance = 0.04
	// maxTurnsUsed and minTurnsUsed bound the part of the completions that turns are given for. The rest is left to
	// requests that were never refused, and the turns of a class do not add so much to its completions that these
	// give it ever more turns.
	maxTurnsUsed = 0.25
	minTurnsUsed = 0.02
	// turnsUsedUp is added to that part for each turn that was kept, and turnsUsedDown multiplies it for each that was
	// not. They balance where some nine of ten turns are kept.
	turnsUsedUp   = 0.004
	turnsUsedDown = 0.5
	// completionHalfLife is the half-life of the measured rate of completions.
	completionHalfLife = time.Second
	// maxInterval is the time between two turns where hardly any completions are known.
	maxInterval = time.Second
	// maxOverdraft is how many more callers may take their turns at this instance than got them here, since callers
	// come back to any instance. balanceHalfLife is the half-life of the difference.
	maxOverdraft    = 16
	balanceHalfLife = 5 * time.Second
	// minCostFactor and maxCostFactor bound the cost of a request in relation to the mean, by which its interval is
	// multiplied.
	minCostFactor = 0.25
	maxCostFactor = 4
)

// schedule are the turns of one service.
type schedule struct {
	// next is when the next turn of a class begins. A turn moves those of the same class and of all lower ones.
	next [classes]time.Time
	// balance is the decayed number of the turns that this instance has given, less those that were taken here.
	balance [classes]float64
	// turnsUsed is the part of the completions that turns of a class are given for, less maxTurnsUsed, so that zero
	// is the most.
	turnsUsed [classes]float64
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
	kept := math.Exp2(-now.Sub(s.completedAt).Seconds() / balanceHalfLife.Seconds())
	s.completedAt = now
	s.cost *= factor
	for i := range s.completed {
		s.completed[i] *= factor
		s.balance[i] *= kept
	}
}

// interval is the time between two turns of a class. It follows from the completions of this class and of the lower
// ones, since the classes above it are served first.
func (s *schedule) interval(class Class, cost float64) time.Duration {
	completed, all := 0.0, 0.0
	for i, count := range s.completed {
		all += count
		if i >= class.index() {
			completed += count
		}
	}
	rate := (maxTurnsUsed + s.turnsUsed[class.index()]) * completed * math.Ln2 / completionHalfLife.Seconds()
	if rate*maxInterval.Seconds() <= 1 {
		return maxInterval
	}
	factor := 1.0
	if s.cost > 0 && cost > 0 {
		factor = min(max(cost*all/s.cost, minCostFactor), maxCostFactor)
	}
	return time.Duration(factor / rate * float64(time.Second))
}

// add returns when a refused caller should come back, and whether it has a turn then: after the turns of those that
// were refused before it in the same or a higher class. It has none unless turns is set.
func (s *schedule) add(now time.Time, class Class, request Request, turns bool) (retryAfter time.Duration, scheduled bool) {
	s.decay(now)
	first := class.index()
	remaining := max(request.Remaining, 0)
	interval := s.interval(class, request.Cost)
	due := now.Add(minRetryAfter + interval)
	if due.Before(s.next[first]) {
		due = s.next[first]
	}
	retryAfter = due.Sub(now)
	latest := min(scale(maxTurnFraction, remaining), maxTurnDelay)
	if !turns || retryAfter > latest {
		return min(scale(maxTimeFraction, remaining), maxRetryAfter), false
	}
	s.balance[first]++
	for i := first; i < classes; i++ {
		if s.next[i].Before(now) {
			s.next[i] = now
		}
		s.next[i] = s.next[i].Add(interval)
	}
	s.next[first] = due.Add(interval)
	return retryAfter, true
}

// isReturned reports whether a caller has waited as long as one that got a turn.
func (s *schedule) isReturned(now time.Time, class Class, waited, allowed time.Duration) bool {
	latest := min(scale(maxTurnFraction, allowed), maxTurnDelay) + scale(waitedTolerance, allowed)
	if waited < minRetryAfter || waited > latest {
		return false
	}
	s.decay(now)
	return s.balance[class.index()] > -maxOverdraft
}

// recordTurn records whether a turn was kept.
func (s *schedule) recordTurn(class Class, kept bool) {
	i := class.index()
	s.balance[i]--
	used := maxTurnsUsed + s.turnsUsed[i]
	if kept {
		used += turnsUsedUp
	} else {
		used *= turnsUsedDown
	}
	s.turnsUsed[i] = min(max(used, minTurnsUsed), maxTurnsUsed) - maxTurnsUsed
}
