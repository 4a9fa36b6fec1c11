// Package pause waits for a while, or until a context ends.
package pause

import (
	"context"
	"time"
)

// For waits, and tells whether the context still lives. It starts no timer where nothing is left to wait for: the
// race detector crashes when two goroutines of one synctest bubble select on timers that are due already.
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
