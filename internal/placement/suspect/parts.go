package suspect

import (
	"maps"
	"slices"
	"time"

	"lacewingrock.example/lacewingrock/internal/timing/instant"
)

// parts.go records the crashes of prompt parts. What crashes upstreams may be a part that many requests share, no two of which are
// alike. A crash makes suspects of the parts of all requests in flight there, nearly all of which are sound: those clear
// themselves as other requests with them run to completion, before or after.

const (
	// momentLength is the time within which crashes count as one: upstreams that end together do so for a common reason, and not
	// for that of a request at each.
	momentLength = 250 * time.Millisecond
	// maxCredited bounds the times of crashes of which a part is cleared because it completed before.
	maxCredited = 4
	// maxBeginning is how long an upstream may have been sending the response to a request whose parts are suspects. What it
	// cannot bear in a prompt ends it soon after it begins, so that a longer stream clears its parts as a whole response does.
	maxBeginning = 2 * time.Second
	// maxCompletions bounds the parts whose completion is remembered.
	maxCompletions = 4096
	// clearedStatementTime is how long the record of a cleared request or part is sent to the others.
	clearedStatementTime = 10 * time.Second
	// peerStatementTime is how long after the statement of another instance this one leaves it at that.
	peerStatementTime = clearedStatementTime / 2
	// statementDelay is how long the records of an instance may take to reach all others, unless they are urgent.
	statementDelay = 2 * time.Second
	// maxPartRequests bounds the requests in the record of a part.
	maxPartRequests = 16
)

// completion is when a request with a part last ran to completion, and the crashes that the part was cleared of since for that.
type completion struct {
	at       time.Time
	credited int
	// creditedAt is when the last of them was counted.
	creditedAt time.Time
}

// addToPart adds a crash under requests with a part, and reports whether it is new.
func (t *Tracker) addToPart(at time.Time, part Fingerprint, crash Crash, as mark, requests ...Request) (added bool) {
	added = t.add(at, part, crash, as)
	known := t.histories[part]
	known.isPart = true
	for _, request := range requests {
		if known.addRequest(request) {
			t.current = nil
		}
	}
	return added
}

// clearIfInUse clears a part of a crash if requests with it run to completion, and reports whether it did.
func (t *Tracker) clearIfInUse(now time.Time, part Fingerprint, crash Crash) (cleared bool) {
	known, found := t.completions[part]
	if !found {
		return false
	}
	if known.at.After(t.histories[part].crashes[crash].at) { // the crash was not known here yet
		t.clearCrash(now, t.histories[part], crash, mark{own: true})
		return true
	}
	if known.credited >= maxCredited {
		return false
	}
	if now.Sub(known.creditedAt) >= momentLength {
		known.credited++
		known.creditedAt = now
		t.completions[part] = known
	}
	t.clearCrash(now, t.histories[part], crash, mark{own: true})
	return true
}

// recordPartCompletion records that a request with a part ran to completion.
func (t *Tracker) recordPartCompletion(now time.Time, part Fingerprint) {
	if t.completions == nil {
		t.completions = make(map[Fingerprint]completion)
	}
	t.completions[part] = completion{at: now}
	t.firstCompletionAt = instant.Earlier(t.firstCompletionAt, now)
	t.clear(now, part)
	if len(t.completions) > maxCompletions {
		t.dropCompletions(now)
	}
}

// recordEndedCompletion records that a response which ended in order was whole. It clears the parts of the crashes before it, and of
// some after it.
func (t *Tracker) recordEndedCompletion(now time.Time, u unfinished) {
	if t.completions == nil {
		t.completions = make(map[Fingerprint]completion)
	}
	for _, part := range u.attempt.Parts {
		if known, found := t.completions[part]; found && known.at.After(u.at) {
			continue
		}
		t.completions[part] = completion{at: u.at}
		t.firstCompletionAt = instant.Earlier(t.firstCompletionAt, u.at)
		known := t.histories[part]
		if known == nil {
			continue
		}
		crashes := list(known.crashes, func(mark) bool { return true })
		slices.SortStableFunc(crashes, func(a, b Crash) int { return known.crashes[a].at.Compare(known.crashes[b].at) })
		for _, crash := range crashes {
			if known.isOpen(crash) && t.clearIfInUse(known.crashes[crash].at, part, crash) {
				known.lackedAt = now
			}
		}
	}
	if len(t.completions) > maxCompletions {
		t.dropCompletions(u.at)
	}
}

// dropCompletions drops what has expired, and the older half if that is not enough.
func (t *Tracker) dropCompletions(now time.Time) {
	maps.DeleteFunc(t.completions, func(_ Fingerprint, c completion) bool { return now.Sub(c.at) > t.Settings.Retention })
	if len(t.completions) <= maxCompletions {
		return
	}
	var times []time.Time
	for _, known := range t.completions {
		times = append(times, known.at)
	}
	slices.SortFunc(times, time.Time.Compare)
	median := times[len(times)/2]
	maps.DeleteFunc(t.completions, func(_ Fingerprint, c completion) bool { return !c.at.After(median) })
}
