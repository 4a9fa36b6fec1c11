package suspect

import (
	"math"
	"slices"
	"time"

	"lacewingrock.example/lacewingrock/internal/timing/instant"
)

// history.go holds what is known of one request or prompt part, by any instance.

type history struct {
	crashes map[Crash]mark
	cleared map[Crash]mark
	// isPart: it is of a prompt part. requests are those that had it in ascending order, the lowest numbers if they are many, so that
	// all instances keep the same ones.
	isPart   bool
	requests []Request
	// changedAt is when a crash was last added, here or as a peer stated it, and lackedAt when it was last cleared
	// or a record of another instance lacked that.
	changedAt, lackedAt time.Time
}

// isKnownCleared reports whether the request or part is cleared and all instances know that, as far as this one knows.
func (h *history) isKnownCleared(now time.Time) bool {
	return h.open() == 0 && now.Sub(h.changedAt) > clearedStatementTime && now.Sub(h.lackedAt) > clearedStatementTime
}

// mark is what is known of a crash besides itself.
type mark struct {
	// own: this instance observed it. stored: the store has it.
	own, stored bool
	// at is when the first instance knew of it, addedAt when this one did.
	at, addedAt time.Time
	// peerAt is when another instance last stated it, and lackedAt when a record of one last lacked it.
	peerAt, lackedAt time.Time
}

// isStatedByPeer reports whether another instance has stated it a moment ago, so that this one need not. An instance that found it
// does not leave it at that if a record has lacked it since: two may have stated it at one time, and both stop.
func (m mark) isStatedByPeer(now time.Time) bool {
	return now.Sub(m.peerAt) <= peerStatementTime && !(m.own && m.lackedAt.After(m.peerAt))
}

// isLacked reports whether another instance lacks it.
func (m mark) isLacked(now time.Time) bool { return now.Sub(m.lackedAt) <= clearedStatementTime }

func (m mark) or(other mark) mark {
	return mark{
		own: m.own || other.own, stored: m.stored || other.stored,
		at: instant.Earlier(m.at, other.at), addedAt: instant.Earlier(m.addedAt, other.addedAt),
		peerAt: instant.Later(m.peerAt, other.peerAt), lackedAt: instant.Later(m.lackedAt, other.lackedAt),
	}
}

// isOpen reports whether the request or part may have caused a crash that it was in flight at.
func (h *history) isOpen(crash Crash) bool {
	_, cleared := h.cleared[crash]
	return !cleared
}

// recordLacking records that a record of another instance lacks what clears a crash, if that is known here.
func (h *history) recordLacking(now time.Time, crash Crash) {
	if known, cleared := h.cleared[crash]; cleared {
		h.lackedAt = now
		h.cleared[crash] = known.or(mark{lackedAt: now})
	}
}

// open counts the crashes that the request or part may have caused.
func (h *history) open() (count int) {
	for crash := range h.crashes {
		if h.isOpen(crash) {
			count++
		}
	}
	return count
}

// isStored reports whether the store has one of the crashes.
func (h *history) isStored() bool {
	for _, m := range h.crashes {
		if m.stored {
			return true
		}
	}
	return false
}

// moments counts the times at which some of the crashes happened. Those within one momentLength are at one time.
func (h *history) moments(crashes map[Crash]bool) (count int) {
	times := make([]time.Time, 0, len(crashes))
	for crash := range crashes {
		times = append(times, h.crashes[crash].at)
	}
	slices.SortFunc(times, time.Time.Compare)
	var begun time.Time
	for _, at := range times {
		if count == 0 || at.Sub(begun) >= momentLength {
			count++
			begun = at
		}
	}
	return count
}

// record returns the selected crashes as a record, with all that is known to clear them. What clears others is left out if another
// instance states it.
func (h *history) record(now time.Time, fingerprint Fingerprint, selected func(mark) bool) Record {
	crashes := list(h.crashes, selected)
	var cleared []Crash
	for crash, m := range h.cleared {
		if _, listed := slices.BinarySearch(crashes, crash); listed || (selected(m) || m.isLacked(now)) && !m.isStatedByPeer(now) {
			cleared = append(cleared, crash)
		}
	}
	slices.Sort(cleared)
	ages := make([]time.Duration, len(crashes))
	for i, crash := range crashes {
		ages[i] = now.Sub(h.crashes[crash].at)
	}
	requests := slices.Clone(h.requests)
	if h.open() == 0 { // one of them shows that it is of a part
		requests = requests[:min(len(requests), 1)]
	}
	return Record{
		Fingerprint: fingerprint,
		Crashes:     crashes,
		Ages:        ages,
		Cleared:     cleared,
		Requests:    requests,
		Age:         now.Sub(h.changedAt),
	}
}

// list returns the selected crashes in ascending order.
func list(crashes map[Crash]mark, selected func(mark) bool) (chosen []Crash) {
	for crash, m := range crashes {
		if selected(m) {
			chosen = append(chosen, crash)
		}
	}
	slices.Sort(chosen)
	return chosen
}

// addRequest adds a request that had the prompt part, and reports whether it is kept.
func (h *history) addRequest(request Request) bool {
	at, found := slices.BinarySearch(h.requests, request)
	if found || at == maxPartRequests {
		return false
	}
	h.requests = slices.Insert(h.requests, at, request)
	h.requests = h.requests[:min(len(h.requests), maxPartRequests)]
	return true
}

// spread estimates how many requests had a prompt part. Their numbers are hashes, so that the highest one that is kept shows it.
func spread(requests []Request) float64 {
	if len(requests) < maxPartRequests {
		return float64(len(requests))
	}
	return maxPartRequests * (math.MaxUint64 / float64(requests[maxPartRequests-1]))
}

// isNarrower reports whether some requests are among others, and at most half as many: one that has been in flight at a crash for
// another reason does not make them so.
func isNarrower(some, others []Request) bool {
	if spread(some) > spread(others)/2 {
		return false
	}
	return contains(others, some)
}

// contains reports whether some requests may all be among others.
func contains(others, some []Request) bool {
	return !slices.ContainsFunc(some, func(request Request) bool { return !mayContain(others, request) })
}

// mayContain reports whether a request is one of those that had a prompt part, or is above all that are kept of them.
func mayContain(requests []Request, request Request) bool {
	at, found := slices.BinarySearch(requests, request)
	return found || at == maxPartRequests
}
