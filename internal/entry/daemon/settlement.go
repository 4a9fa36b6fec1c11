package daemon

import (
	"sync"
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/catalog/head"
)

// settlement combines the oldest open reservation that each member reports into the revision up to which all
// reservations are settled. A member that was removed from the head counts until its reservations have certainly
// ended, or until its own reports show that they have: the requests of a failed instance may still be generating
// tokens.
type settlement struct {
	mutex      sync.Mutex
	oldest     map[rate.Identity]int64
	departedAt map[rate.Identity]time.Time
}

// departedRetention is how long after its removal a member may still have reservations and loans.
const departedRetention = rate.MaxReservationTime + rate.LoanUseWindow + 10*time.Second

// record records the oldest revision that a process reported. It ignores processes that do not count, and reports
// older than the recorded one.
func (s *settlement) record(member rate.Identity, oldest int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known, tracked := s.oldest[member]; tracked && oldest > known {
		s.oldest[member] = oldest
	}
}

// oldestToReport returns the oldest revision to report to peers, over the own reservations and those of removed
// members that still count. A process that joins later has no record of those members. It would take the share of a
// frozen one whose requests still generate tokens at the engines, and the workspace would get more than its rate.
func (s *settlement) oldestToReport(oldest int64) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dropExpired()
	for identity := range s.departedAt {
		oldest = min(oldest, s.oldest[identity])
	}
	return oldest
}

// install adds the members of a head, and records the removal of those that it no longer lists.
func (s *settlement) install(h head.Head) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.oldest == nil {
		s.oldest, s.departedAt = map[rate.Identity]int64{}, map[rate.Identity]time.Time{}
	}
	listed := map[rate.Identity]bool{}
	for _, m := range h.Members {
		identity := rate.Identity{Name: m.Name, Incarnation: m.Incarnation}
		listed[identity] = true
		delete(s.departedAt, identity)
		if _, known := s.oldest[identity]; !known {
			s.oldest[identity] = 0
		}
	}
	for identity := range s.oldest {
		if _, recorded := s.departedAt[identity]; !listed[identity] && !recorded {
			s.departedAt[identity] = time.Now()
		}
	}
}

// settledRevision returns the revision up to which everything is settled.
func (s *settlement) settledRevision() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dropExpired()
	lowest := int64(-1)
	for _, oldest := range s.oldest {
		if lowest < 0 || oldest < lowest {
			lowest = oldest
		}
	}
	return max(lowest, 0)
}

// dropExpired drops the removed members that certainly have no reservations or loans left. The caller holds the
// mutex.
func (s *settlement) dropExpired() {
	for identity, at := range s.departedAt {
		if time.Since(at) > departedRetention {
			delete(s.departedAt, identity)
			delete(s.oldest, identity)
		}
	}
}
