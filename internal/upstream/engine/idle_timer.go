package engine

import (
	"context"
	"time"
)

// idleTimer ends an exchange whose response does not begin. Only a timeout detects an open connection
// that delivers no data: no read fails, and the operating system notices after minutes, if ever.
type idleTimer struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// withIdleTimeout returns a context that ends with errIdleTimeout unless the timer is disarmed in
// time.
func withIdleTimeout(ctx context.Context, limit time.Duration) (context.Context, *idleTimer) {
	timed, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(limit, func() { cancel(errIdleTimeout) })
	return timed, &idleTimer{timer: timer, cancel: cancel}
}

// disarm stops the timer; the exchange goes on.
func (t *idleTimer) disarm() { t.timer.Stop() }

// stop stops the timer and ends the exchange.
func (t *idleTimer) stop() {
	t.timer.Stop()
	t.cancel(nil)
}
