package residence

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// class_tracker.go tracks the classes of the requests at an upstream: which are known there, which have found no free
// adapter slot, and how long each waits for its next grant.

const (
	// knownFor is how long a class counts as known after its last request, and the priority and the demand of an
	// adapter after its last use.
	knownFor = 10 * time.Second
	// pressureFor is how long a part of the adapter slots is reserved after a request of a higher priority was refused
	// or waited.
	pressureFor = 2 * time.Second
	// pressureGap is the pause between two requests that found no adapter slot after which a class counts as served.
	pressureGap = 2 * time.Second
	// starvedRequests is how many requests of a class above the lowest must have found no adapter slot since its last
	// grant for the floor to count it as starved. A class with few requests gets few grants in any case.
	starvedRequests = 10
	// maxClasses bounds the tracked classes. Those that have been unused for longest are dropped beyond it.
	maxClasses = 64
)

// classState is what is known of one class.
type classState struct {
	seenAt time.Time
	// pressedAt is when a request of the class last found no adapter slot, and pressedSince the start of such requests,
	// or the class's last grant since.
	pressedAt    time.Time
	pressedSince time.Time
	// retryUntil is the latest time that was stated to a refused request as the time of its next try. A pause until
	// then does not show that the class is served: ungrantedSince is like pressedSince, but such a pause does not
	// reset it. pressed counts the requests that found no adapter slot since pressedSince.
	retryUntil     time.Time
	ungrantedSince time.Time
	pressed        int
	// interval is the time between two grants to the class while it had requests that found no adapter slot, and
	// deviation how much it varies; moving means.
	interval  time.Duration
	deviation time.Duration
}

// classTracker tracks the classes at one upstream. The zero value is ready for use.
type classTracker struct {
	states map[Class]*classState
	// sinceFloor counts the grants since the floor was last applied, and floorPick is the adapter that it puts first.
	sinceFloor int
	floorPick  traffic.Adapter
}

func (t *classTracker) state(now time.Time, class Class) *classState {
	if t.states == nil {
		t.states = make(map[Class]*classState)
	}
	s := t.states[class]
	if s == nil {
		if len(t.states) >= maxClasses {
			t.dropOldest()
		}
		s = &classState{seenAt: now}
		t.states[class] = s
	}
	return s
}

func (t *classTracker) dropOldest() {
	var oldest Class
	found := false
	for class, s := range t.states {
		if !found || s.seenAt.Before(t.states[oldest].seenAt) {
			oldest, found = class, true
		}
	}
	delete(t.states, oldest)
}

// recordRequest records a request of a class.
func (t *classTracker) recordRequest(now time.Time, class Class) { t.state(now, class).seenAt = now }

// recordPressure records that a request of a class found no free adapter slot.
func (t *classTracker) recordPressure(now time.Time, class Class) {
	s := t.state(now, class)
	s.seenAt = now
	if now.Sub(s.pressedAt) > pressureGap {
		s.pressedSince = now
		s.pressed = 0
	}
	if s.isServed(now) {
		s.ungrantedSince = now
	}
	s.pressedAt = now
	s.pressed++
}

// recordRefusal records that a request of a class was refused, and the wait that was stated to it.
func (t *classTracker) recordRefusal(now time.Time, class Class, wait time.Duration) {
	t.recordPressure(now, class)
	s := t.state(now, class)
	if wait > pressureGap {
		s.retryUntil = now.Add(min(wait, knownFor))
	}
}

// isServed reports whether a class has paused for so long that it counts as served. A class whose refused requests
// come back at the stated time does not count as served.
func (s *classState) isServed(now time.Time) bool {
	cameBack := !now.Before(s.retryUntil) && now.Sub(s.retryUntil) <= pressureGap
	return now.Sub(s.pressedAt) > pressureGap && !cameBack
}

// recordGrant records a grant to a class. contended: the adapter had found no free adapter slot.
func (t *classTracker) recordGrant(now time.Time, class Class, contended bool) {
	s := t.state(now, class)
	if contended && !s.pressedSince.IsZero() {
		s.observe(now.Sub(s.pressedSince))
	}
	s.pressedSince, s.ungrantedSince = now, now
	s.pressed = 0
}

// observe updates the interval between grants.
func (s *classState) observe(interval time.Duration) {
	if s.interval == 0 {
		s.interval, s.deviation = interval, interval/2
		return
	}
	off := (interval - s.interval).Abs()
	s.deviation += time.Duration(paceWeight * float64(off-s.deviation))
	s.interval += time.Duration(paceWeight * float64(interval-s.interval))
}

// pressedFor is how long requests of a class have found no adapter slot without a grant to one of them.
func (t *classTracker) pressedFor(now time.Time, class Class) time.Duration {
	s := t.states[class]
	if s == nil || s.isServed(now) {
		return 0
	}
	return now.Sub(s.ungrantedSince)
}

// starvedFor is how long a class has been starved: the lowest, or one of which several requests have found no adapter
// slot.
func (t *classTracker) starvedFor(now time.Time, class Class) time.Duration {
	s := t.states[class]
	if s == nil || s.pressed < starvedRequests && class.level(t.lowest(now)) < t.lowest(now) {
		return 0
	}
	return t.pressedFor(now, class)
}

// lowest is the lowest priority among the requests of the last knownFor, 0 if there were none.
func (t *classTracker) lowest(now time.Time) (lowest int) {
	for class, s := range t.states {
		if now.Sub(s.seenAt) <= knownFor {
			lowest = max(lowest, class.Priority)
		}
	}
	return lowest
}

// isPressed reports whether a request of a higher priority than the lowest has lately found no adapter slot.
func (t *classTracker) isPressed(now time.Time, lowest int) bool {
	for class, s := range t.states {
		if class.level(lowest) < lowest && !s.pressedAt.IsZero() && now.Sub(s.pressedAt) <= pressureFor {
			return true
		}
	}
	return false
}

// level is the priority with which a class counts for the reserve: over its share, the lowest.
func (c Class) level(lowest int) int {
	if c.OverShare {
		return max(lowest, c.Priority)
	}
	return c.Priority
}
