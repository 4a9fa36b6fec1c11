package contention

import (
	"slices"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// service.go keeps what an instance knows of the contention for one service.

const (
	// contendedFor is how long a service counts as contended after a sign of contention.
	contendedFor = 2 * time.Second
	// contendedFraction is the fraction of its objective above which the time of a request in a queue is such a sign.
	contendedFraction = 0.5
	// refusedSampleWeight is the weight of the newest request in the part that is refused, and frequentPart the part
	// from which on refusals are frequent.
	refusedSampleWeight = 0.05
	frequentPart        = 0.2
	// lateFraction is the fraction of the limit of its class for a request that is late. It is more than the half
	// that the next lower class may find.
	lateFraction = 0.75
	// floorInterval is the number of consecutive requests that would be refused of which one is admitted.
	floorInterval = 10
	// maxLevel bounds the levels; priorities are from 0 to 9.
	maxLevel = 9
	// classes is the number of levels, and one for all workspaces that are over their share.
	classes = maxLevel + 2
)

// index is the position of a class in the order in which classes are served.
func (c Class) index() int {
	if c.Over {
		return classes - 1
	}
	return c.Level
}

// levels are the distinct priorities of the routes to a service, in order, and the shortest objective of the highest;
// 0 if its routes state none.
type levels struct {
	priorities []int
	objective  time.Duration
}

// levelsOf returns the levels of all services.
func levelsOf(routes []traffic.Route) map[string]levels {
	all := make(map[string]levels)
	for _, route := range routes {
		for _, target := range route.Targets {
			l := all[target.Service]
			l.add(route)
			all[target.Service] = l
		}
	}
	return all
}

func (l *levels) add(route traffic.Route) {
	highest := len(l.priorities) == 0 || route.Priority < l.priorities[0]
	same := !highest && route.Priority == l.priorities[0]
	switch {
	case route.Objective <= 0:
	case highest || same && (l.objective == 0 || route.Objective < l.objective):
		l.objective = route.Objective
	}
	if i, found := slices.BinarySearch(l.priorities, route.Priority); !found {
		l.priorities = slices.Insert(l.priorities, i, route.Priority)
	}
}

// service is the state of one service.
type service struct {
	// contendedAt is when a request last showed that the service is contended; zero if none did.
	contendedAt time.Time
	// refused counts the requests of each class that would have been refused since the last one that was admitted.
	refused [classes]int
	// refusedPart is the part of the latest requests that would have been refused.
	refusedPart float64
	schedule    schedule
}

func (s *service) isContended(now time.Time) bool {
	return !s.contendedAt.IsZero() && now.Sub(s.contendedAt) <= contendedFor
}

// recordQueue records whether a request shows that the service is contended. Refusals that are due to a class alone
// do so only while they are frequent. Without them, lower classes would fill the queue again after each contendedFor;
// if each counted, a service would stay contended after an overload until its queue is empty.
func (s *service) recordQueue(now time.Time, request Request, reason Reason) {
	sample := 0.0
	if reason != "" {
		sample = 1
	}
	s.refusedPart += refusedSampleWeight * (sample - s.refusedPart)
	long := request.Objective > 0 && request.Queue > scale(contendedFraction, request.Objective)
	if long || request.Verdict != Fits || reason != "" && s.refusedPart > frequentPart {
		s.contendedAt = now
	}
}

// refusalOf returns why a request would be refused, empty if it would not.
func (s *service) refusalOf(now time.Time, class Class, request Request, waited time.Duration) Reason {
	switch {
	case request.Verdict == Impossible:
		return ReasonFull
	case request.Verdict == TooLong:
		return ReasonQueue
	case request.Objective <= 0 || !s.isContended(now):
		return ""
	case class.Level > 0 && request.Queue > request.Limit>>class.Level:
		if class.Over {
			return ReasonShare
		}
		return ReasonClass
	case waited > request.Objective && request.Queue > scale(lateFraction, request.Limit>>class.Level):
		return ReasonLate
	}
	return ""
}

const (
	// turnLimit is how much longer than the limit of the highest class the queue may be for a request of that class
	// whose caller has a turn. It is more than other requests of the class find, so that the turn is kept.
	turnLimit = 3
	// maxTurnQueue bounds it as a fraction of the objective.
	maxTurnQueue = 1.5
	// lowerTurnLimit and maxLowerTurnQueue are the same for lower classes, but as a fraction of the objective of the
	// highest class, so that its requests are not late because of the turns of others.
	lowerTurnLimit    = 1.5
	maxLowerTurnQueue = 0.75
	// turnMargin is the fraction of such a queue up to which a lower class gets further turns.
	turnMargin = 0.6
)

// takeTurn admits a request of a caller whose turn it is, if the queue allows it.
func (s *service) takeTurn(now time.Time, class Class, request Request, waited, highest time.Duration) bool {
	if !s.schedule.isReturned(now, class, waited, waited+request.Allowed) {
		return false
	}
	kept := request.Verdict != Impossible && request.Queue <= turnQueue(class, request, highest)
	s.schedule.recordTurn(class, kept)
	return kept
}

// turnQueue is the longest queue for a request whose caller has a turn.
func turnQueue(class Class, request Request, highest time.Duration) time.Duration {
	if class.Level == 0 {
		return min(scale(turnLimit, request.Limit), scale(maxTurnQueue, request.Objective))
	}
	if highest <= 0 {
		highest = request.Objective
	}
	return min(scale(lowerTurnLimit, request.Limit), scale(maxLowerTurnQueue, highest))
}

// takeFloor admits the last of ten consecutive requests of a class that would be refused.
func (s *service) takeFloor(class Class) bool {
	i := class.index()
	s.refused[i]++
	if s.refused[i] < floorInterval {
		return false
	}
	s.refused[i] = 0
	return true
}

func scale(factor float64, duration time.Duration) time.Duration {
	return time.Duration(factor * float64(duration))
}
