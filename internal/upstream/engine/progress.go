package engine

import (
	"context"
	"time"
)

// progressWatch ends an exchange that makes no progress. An open connection that went silent shows
// itself by nothing else: no read fails, and the operating system notices after minutes, if ever.
type progressWatch struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// watchProgress returns a context that ends with errSilent unless the watch is extended in time.
func watchProgress(ctx context.Context, limit time.Duration) (context.Context, *progressWatch) {
	watched, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(limit, func() { cancel(errSilent) })
	return watched, &progressWatch{timer: timer, cancel: cancel}
}

// pause stops the clock until the next extend.
func (w *progressWatch) pause() { w.timer.Stop() }

// extend allows another limit from now.
func (w *progressWatch) extend(limit time.Duration) { w.timer.Reset(limit) }

// stop ends the watch and the exchange with it.
func (w *progressWatch) stop() {
	w.timer.Stop()
	w.cancel(nil)
}
