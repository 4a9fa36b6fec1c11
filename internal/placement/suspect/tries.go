package suspect

import (
	"slices"
	"time"

	"lacewingrock.example/lacewingrock/internal/timing/instant"
)

// tries.go has refused parts tried again. Many upstreams may end for no request's sake while nothing completes, and nothing that has
// a refused part would ever run and clear it. One that does crash upstreams is tried less and less often.

const (
	// tryAfter is how long no upstream has crashed under a part before it is tried. It is at least the time for which the crashes
	// went on, so that it doubles with each try.
	tryAfter = 30 * time.Second
	// triedShare: one in so many requests is a try, by its content. All instances together then make few at a time, and a caller
	// that comes back with the same request gets the same verdict.
	triedShare = 40
)

// try is a request by which a refused part is tried again.
type try struct {
	fingerprint Fingerprint
	at          time.Time
}

// mayTry reports whether a request may run although it has refused parts.
func (t *Tracker) mayTry(now time.Time, fingerprint Fingerprint, parts []Fingerprint) bool {
	if RequestOf(fingerprint)%triedShare != 0 {
		return false
	}
	for _, part := range parts {
		if !t.mayTryPart(now, fingerprint, part) {
			return false
		}
	}
	if t.tries == nil {
		t.tries = make(map[Fingerprint]try)
	}
	for _, part := range parts {
		if t.tries[part].fingerprint != fingerprint {
			t.tries[part] = try{fingerprint: fingerprint, at: now}
		}
	}
	return true
}

func (t *Tracker) mayTryPart(now time.Time, fingerprint, part Fingerprint) bool {
	known := t.histories[part]
	if known == nil {
		return true
	}
	first := known.changedAt
	for _, m := range known.crashes {
		first = instant.Earlier(first, m.at)
	}
	if now.Sub(known.changedAt) < max(tryAfter, known.changedAt.Sub(first)) {
		return false
	}
	if last := t.tries[part]; last.fingerprint != fingerprint && now.Sub(last.at) < tryAfter {
		return false
	}
	return !slices.ContainsFunc(t.unfinished, func(u unfinished) bool {
		return now.Sub(u.at) <= evidenceWindow && slices.Contains(u.attempt.Parts, part)
	})
}

func (t *Tracker) dropTries(now time.Time) {
	for part, last := range t.tries {
		if now.Sub(last.at) > tryAfter {
			delete(t.tries, part)
		}
	}
}
