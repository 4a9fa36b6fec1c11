// Package pause provides a sleep that ends early when its context ends.
package pause

import (
	"context"
	"time"
)

// For sleeps for the given time or until the context ends. It returns whether the sleep completed; for a time of zero or
// less, whether the context has not ended. It starts no timer in that case: the race detector crashes when two goroutines
// of one synctest bubble select on timers that have already expired.
func For(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
