// Package instant compares times of which some may be unknown, which is the zero time.
package instant

import "time"

// Later returns the later of two times. An unknown one is earlier than any other.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Earlier returns the earlier of two times. An unknown one is later than any other.
func Earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
