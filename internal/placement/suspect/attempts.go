package suspect

import (
	"slices"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// attempts.go matches attempts without a complete response with the ends of upstreams. What shows that an upstream has ended
// may come seconds after its responses broke or fell silent, or before the instance gives up waiting for them.

const (
	// evidenceWindow is how long after an attempt the first sign may come that its upstream has ended. The entry of an upstream
	// that sends nothing is removed after some of its heartbeats.
	evidenceWindow = 6 * time.Second
	// endRetention is how long an end is remembered for attempts that are still waiting then.
	endRetention = time.Minute
	// aliveAfter is how long after the end of a response without a length an attempt has to begin at the same life, so that its
	// response shows that the end was none of the upstream. Another life that responds in its place is known by then.
	aliveAfter = 1500 * time.Millisecond
	// maxUnfinished bounds the attempts that are remembered. A flood of them pushes out the oldest.
	maxUnfinished = 2048
)

// Attempt is a run of a request at an upstream without proof that the request ran to completion.
type Attempt struct {
	// CallID is for the log.
	CallID      string
	Fingerprint Fingerprint
	// Parts are the fingerprints of the prompt parts that other requests may share.
	Parts []Fingerprint
	Began time.Time
	// Sending is how long the upstream had been sending events when the attempt ended, 0 if it had sent none.
	Sending time.Duration
	// Ended: the response ended in order with its connection, without a length or chunks. It is whole if the upstream goes on.
	Ended bool
}

// unfinished is an attempt whose upstream may have ended.
type unfinished struct {
	attempt Attempt
	life    traffic.Life
	at      time.Time
}

// end is the end of a life.
type end struct {
	at time.Time
	// expired: only the removal of its entry shows it, and entries of live upstreams expire in outages too.
	expired bool
}

// RecordUnfinished records an attempt that has ended without proof that its request ran to completion. It reports whether
// that counts as a crash, because the upstream is known to have ended meanwhile.
func (t *Tracker) RecordUnfinished(now time.Time, life traffic.Life, attempt Attempt) (crashed bool) {
	if attempt.Sending >= maxBeginning {
		for _, part := range attempt.Parts {
			t.recordPartCompletion(now, part)
		}
		attempt.Parts = nil
	}
	if ended, found := t.ends[life]; found && !attempt.Began.After(ended.at) {
		t.recordAttempts(now, CrashOf(life), []Attempt{attempt})
		return true
	}
	if attempt.Ended {
		t.completeEnded(now, life, attempt.Began)
	}
	t.unfinished = append(t.unfinished, unfinished{attempt: attempt, life: life, at: now})
	t.dropUnfinished(now)
	if excess := len(t.unfinished) - maxUnfinished; excess > 0 {
		t.unfinished = slices.Delete(t.unfinished, 0, excess)
	}
	return false
}

// HasUnfinished reports whether an attempt at a life has ended a moment ago without proof of completion.
func (t *Tracker) HasUnfinished(now time.Time, life traffic.Life) bool {
	return slices.ContainsFunc(t.unfinished, func(u unfinished) bool { return u.life == life && now.Sub(u.at) <= evidenceWindow })
}

// RecordEnd records that a life of an upstream has ended unannounced, and returns the attempts that were in flight then.
func (t *Tracker) RecordEnd(now time.Time, life traffic.Life) []Attempt {
	return t.recordEnd(now, life, false)
}

// RecordExpiry does so if only the removal of its entry shows it.
func (t *Tracker) RecordExpiry(now time.Time, life traffic.Life) []Attempt {
	return t.recordEnd(now, life, true)
}

// RecordAlive records that a life of an upstream goes on. If the removal of its entry counted as its end, no request has
// crashed it.
func (t *Tracker) RecordAlive(now time.Time, life traffic.Life) {
	if ended, found := t.ends[life]; !found || !ended.expired {
		return
	}
	delete(t.ends, life)
	crash := CrashOf(life)
	for _, known := range t.histories {
		counted, found := known.crashes[crash]
		switch {
		case !found:
		case counted.own:
			t.clearCrash(now, known, crash, mark{own: true})
		default: // the instances that have the crash as their own learn that as well, as a rule, and state it
			t.clearCrash(now, known, crash, mark{own: true, peerAt: now})
		}
	}
}

func (t *Tracker) recordEnd(now time.Time, life traffic.Life, expired bool) (inFlight []Attempt) {
	if t.ends == nil {
		t.ends = make(map[traffic.Life]end)
	}
	for of, ended := range t.ends {
		if now.Sub(ended.at) > endRetention {
			delete(t.ends, of)
		}
	}
	if ended, found := t.ends[life]; !found {
		t.ends[life] = end{at: now, expired: expired}
	} else if !expired {
		t.ends[life] = end{at: ended.at}
	}
	t.dropUnfinished(now)
	t.unfinished = slices.DeleteFunc(t.unfinished, func(u unfinished) bool {
		if u.life != life {
			return false
		}
		inFlight = append(inFlight, u.attempt)
		return true
	})
	t.recordAttempts(now, CrashOf(life), inFlight)
	return inFlight
}

// dropUnfinished drops the attempts that are too old to be in flight at an end. Responses that ended in order are whole then.
func (t *Tracker) dropUnfinished(now time.Time) {
	t.unfinished = slices.DeleteFunc(t.unfinished, func(u unfinished) bool {
		if now.Sub(u.at) <= evidenceWindow {
			return false
		}
		if u.attempt.Ended {
			t.recordEndedCompletion(now, u)
		}
		return true
	})
}

// completeEnded records that responses of a life which ended in order were whole, because it has responded to an attempt that began
// some time later.
func (t *Tracker) completeEnded(now time.Time, life traffic.Life, began time.Time) {
	t.unfinished = slices.DeleteFunc(t.unfinished, func(u unfinished) bool {
		if u.life != life || !u.attempt.Ended || began.Sub(u.at) < aliveAfter {
			return false
		}
		t.recordEndedCompletion(now, u)
		return true
	})
}
