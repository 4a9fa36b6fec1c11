package contention

import (
	"slices"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// service.go keeps what an instance knows of the contention for one service.

const (
	// contendedFor is how long a service counts as contended after a sign of it.
	contendedFor = 2 * time.Second
	// contendedFraction is the fraction of its objective that a request spends in a queue which is such a sign.
	contendedFraction = 0.5
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

// levelsOf returns the distinct priorities of the routes to each service, in order.
func levelsOf(routes []traffic.Route) map[string][]int {
	levels := make(map[string][]int)
	for _, route := range routes {
		for _, target := range route.Targets {
			levels[target.Service] = append(levels[target.Service], route.Priority)
		}
	}
	for name, list := range levels {
		slices.Sort(list)
		levels[name] = slices.Compact(list)
	}
	return levels
}

// service is the state of one service.
type service struct {
	// contendedAt is when a request last showed that the service is contended; zero if none did.
	contendedAt time.Time
	// refused counts the requests of each class that would have been refused since the last that was admitted as the
	// floor of its class.
	refused  [classes]int
	schedule schedule
}

func (s *service) isContended(now time.Time) bool {
	return !s.contendedAt.IsZero() && now.Sub(s.contendedAt) <= contendedFor
}

// recordQueue records whether a request shows that the service is contended. Refusals that are due to its class alone are no
// such sign: they would keep a service contended after the load has ended, as long as its queue is not quite empty.
func (s *service) recordQueue(now time.Time, request Request) {
	long := request.Objective > 0 && request.Queue > scale(contendedFraction, request.Objective)
	if long || request.Verdict != Fits {
		s.contendedAt = now
	}
}

// refusalOf returns why a request would be refused, empty if it would not.
func (s *service) refusalOf(now time.Time, class Class, request Request) Reason {
	switch {
	case request.Verdict == Impossible:
		return ReasonFull
	case request.Verdict == TooLong:
		return ReasonQueue
	case class.Level == 0 || request.Objective <= 0 || !s.isContended(now):
		return ""
	case request.Queue <= request.Limit>>class.Level:
		return ""
	case class.Over:
		return ReasonShare
	}
	return ReasonClass
}

// takeTurn admits a request in place of a caller that was told to come back about now. It goes before the others of its
// class: it may find the queue that the class above may.
func (s *service) takeTurn(now time.Time, class Class, request Request) bool {
	if request.Waited < minRetryAfter || request.Queue > request.Limit*2>>class.Level {
		return false
	}
	return s.schedule.take(now, class)
}

// takeFloor admits one of ten consecutive requests of a class that would be refused.
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
