package turn

import "time"

// classes.go orders prompts under contention.

// precedesByClass orders prompts by the share of their workspace, then by priority. Within one priority, those that can
// still be on time go first, by the time that they have left for it, and then by arrival.
func precedesByClass(now time.Time, a, b *Prompt) bool {
	if a.OverShare != b.OverShare {
		return b.OverShare
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if late := now.After(a.LatestDispatch); late != now.After(b.LatestDispatch) {
		return !late
	}
	if !a.LatestDispatch.Equal(b.LatestDispatch) {
		return a.LatestDispatch.Before(b.LatestDispatch)
	}
	return a.enqueuedAt.Before(b.enqueuedAt)
}
