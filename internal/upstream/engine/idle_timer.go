package engine

import (
	"context"
	"time"
)

// idleTimer ends an exchange that makes no progress. Only a timeout detects an open connection that
// no longer delivers data: no read fails, and the operating system notices after minutes, if ever.
type idleTimer struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// withIdleTimeout returns a context that ends with errIdleTimeout unless the timer is reset in
// time.
func withIdleTimeout(ctx context.Context, limit time.Duration) (context.Context, *idleTimer) {
	timed, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(limit, func() { cancel(errIdleTimeout) })
	return timed, &idleTimer{timer: timer, cancel: cancel}
}

// pause stops the timer until the next reset.
func (t *idleTimer) pause() { t.timer.Stop() }

// reset restarts the timer with the given limit.
func (t *idleTimer) reset(limit time.Duration) { t.timer.Reset(limit) }

// stop stops the timer and ends the exchange.
func (t *idleTimer) stop() {
	t.timer.Stop()
	t.cancel(nil)
}
