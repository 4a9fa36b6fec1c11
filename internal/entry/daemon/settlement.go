package daemon

import (
	"sync"
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/catalog/head"
)

// settlement gathers what the members tell of their oldest open reservations, and says up to which
// revision all are settled. A member that left the head counts until its reservations have certainly
// ended, unless it told so itself: a dead instance's requests may still be generating tokens.
type settlement struct {
	mutex  sync.Mutex
	oldest map[rate.Identity]int64
	left   map[rate.Identity]time.Time
}

// certainlyEnded is how long after its removal nothing of a member's reservations and loans is left.
const certainlyEnded = rate.MaxReservationTime + rate.LoanUseWindow + 10*time.Second

// tell notes what a process told; only those that matter are kept.
func (s *settlement) tell(member rate.Identity, oldest int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known, counts := s.oldest[member]; counts && oldest > known {
		s.oldest[member] = oldest
	}
}

// toTell is what this process tells of itself: the oldest of its own, and of the members that left and
// still count. A process that joins later never heard of those; it would take the share of one that is
// frozen, and whose requests still generate tokens at the engines, and the workspace would get more than
// its rate.
func (s *settlement) toTell(own int64) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.forget()
	for identity := range s.left {
		own = min(own, s.oldest[identity])
	}
	return own
}

// install makes the members of a head count, and those it left out for as long as they must.
func (s *settlement) install(h head.Head) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.oldest == nil {
		s.oldest, s.left = map[rate.Identity]int64{}, map[rate.Identity]time.Time{}
	}
	listed := map[rate.Identity]bool{}
	for _, m := range h.Members {
		identity := rate.Identity{Name: m.Name, Incarnation: m.Incarnation}
		listed[identity] = true
		delete(s.left, identity)
		if _, known := s.oldest[identity]; !known {
			s.oldest[identity] = 0
		}
	}
	for identity := range s.oldest {
		if _, noted := s.left[identity]; !listed[identity] && !noted {
			s.left[identity] = time.Now()
		}
	}
}

// revision is the one up to which everything is settled.
func (s *settlement) revision() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.forget()
	settled := int64(-1)
	for _, oldest := range s.oldest {
		if settled < 0 || oldest < settled {
			settled = oldest
		}
	}
	return max(settled, 0)
}

// forget drops the members of which certainly nothing is left. It is called with the mutex held.
func (s *settlement) forget() {
	for identity, at := range s.left {
		if time.Since(at) > certainlyEnded {
			delete(s.left, identity)
			delete(s.oldest, identity)
		}
	}
}
