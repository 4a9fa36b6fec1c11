package suspect

import (
	"slices"
	"time"
)

// history.go holds what is known of one request or prompt part, by any instance.

type history struct {
	crashes map[Crash]mark
	cleared map[Crash]mark
	// requests are some that had the prompt part; nil for the history of a request.
	requests map[Request]bool
	// changedAt is when a crash was last added, here or as a peer stated it.
	changedAt time.Time
}

// mark is what is known of a crash besides itself.
type mark struct {
	// own: this instance observed it. stored: the store has it.
	own, stored bool
	// addedAt is when this instance first knew of it.
	addedAt time.Time
}

func (m mark) or(other mark) mark {
	at := m.addedAt
	if at.IsZero() {
		at = other.addedAt
	}
	return mark{own: m.own || other.own, stored: m.stored || other.stored, addedAt: at}
}

func (h *history) isPart() bool { return h.requests != nil }

// isOpen reports whether the request or part may have caused a crash that it was in flight at.
func (h *history) isOpen(crash Crash) bool {
	_, cleared := h.cleared[crash]
	return !cleared
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

// record returns the selected crashes as a record.
func (h *history) record(now time.Time, fingerprint Fingerprint, selected func(mark) bool) Record {
	return Record{
		Fingerprint: fingerprint,
		Crashes:     list(h.crashes, selected),
		Cleared:     list(h.cleared, selected),
		Requests:    sorted(h.requests),
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

func sorted(requests map[Request]bool) (ascending []Request) {
	for request := range requests {
		ascending = append(ascending, request)
	}
	slices.Sort(ascending)
	return ascending
}
