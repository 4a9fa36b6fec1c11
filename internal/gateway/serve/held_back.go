package serve

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// held_back.go lets a response go on after the deadline of its request for as long as this instance held it back.
// While the account has no room, an upstream is read as slowly as the caller reads; its response may be ready, and
// would be lost. This applies only to responses with a stated length, as others may never end.

// minHeldBack is the least time that counts: writes take some time also where nothing is held back.
const minHeldBack = 50 * time.Millisecond

// writeTime measures for how long writes to the caller have waited.
type writeTime struct {
	total atomic.Int64
	// began is when the write that runs began, in Unix nanoseconds, 0 if none runs.
	began atomic.Int64
}

func (w *writeTime) begin() { w.began.Store(time.Now().UnixNano()) }

func (w *writeTime) end() {
	w.total.Add(time.Now().UnixNano() - w.began.Load())
	w.began.Store(0)
}

// elapsed returns how long writes have taken until now.
func (w *writeTime) elapsed() time.Duration {
	elapsed := w.total.Load()
	if began := w.began.Load(); began > 0 {
		elapsed += time.Now().UnixNano() - began
	}
	return time.Duration(elapsed)
}

// bindContext creates the context of the attempt. It ends with the request, and after a deadline only once the time
// is over for which the response was held back. That time is finite, because a response is bounded, and a caller that
// makes no progress is given up.
func (a *attempt) bindContext(ctx context.Context) {
	if !a.job.handler.Memory.IsBounded() {
		a.ctx, a.cancel = context.WithCancelCause(ctx)
		return
	}
	a.ctx, a.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	a.unbind = context.AfterFunc(ctx, func() { a.end(context.Cause(ctx)) })
}

// end cancels the attempt: at once, or after the time for which its response was held back, while its caller is
// connected.
func (a *attempt) end(cause error) {
	if !errors.Is(cause, context.DeadlineExceeded) || !a.relaysLength.Load() {
		a.cancel(cause)
		return
	}
	caller := a.job.caller
	defer context.AfterFunc(caller, func() { a.cancel(context.Cause(caller)) })()
	granted := minHeldBack // the part that does not count
	for {
		heldBack := a.job.writing.elapsed()
		if heldBack <= granted || !pause.For(a.ctx, heldBack-granted) {
			break
		}
		granted = heldBack
	}
	a.cancel(cause)
}
