package suspect

import "time"

// parts.go records the crashes of prompt parts. What crashes upstreams may be a part that many requests share, no two of which are
// alike. A crash makes suspects of the parts of all requests in flight there, nearly all of which are sound: those clear
// themselves as other requests with them run to completion.

const (
	// completionCredit is how long after a completion a part is not suspected. Crashes of many upstreams at once would otherwise
	// make suspects of parts that are in use everywhere.
	completionCredit = 5 * time.Second
	// completionRetention is how long a completion is remembered for crashes before it that become known later.
	completionRetention = time.Minute
	// maxPartRequests bounds the requests in the record of a part.
	maxPartRequests = 16
)

// addToPart adds a crash under requests with a part, and reports whether this instance clears the part of it.
func (t *Tracker) addToPart(at time.Time, part Fingerprint, crash Crash, as mark, requests ...Request) (cleared bool) {
	added := t.add(at, part, crash, as)
	known := t.histories[part]
	known.isPart = true
	for _, request := range requests {
		if known.addRequest(request) {
			t.current = nil
		}
	}
	completed, found := t.completedAt[part]
	if !added || !found || as.addedAt.Sub(completed) > completionCredit && !completed.After(at) {
		return false
	}
	t.clearCrash(known, crash, mark{own: true})
	return true
}

// recordPartCompletion records that a request with a part ran to completion.
func (t *Tracker) recordPartCompletion(now time.Time, part Fingerprint) {
	if t.completedAt == nil {
		t.completedAt = make(map[Fingerprint]time.Time)
	}
	t.completedAt[part] = now
	t.clear(part)
}

func (t *Tracker) dropCompletions(now time.Time) {
	for part, completed := range t.completedAt {
		if now.Sub(completed) > completionRetention {
			delete(t.completedAt, part)
		}
	}
}
