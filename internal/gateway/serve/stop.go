package serve

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
)

// stop.go ends the waits of requests for an upstream in a planned stop. A request that still waited when the process ends would
// be lost without an answer: its caller could neither know that it has not run nor come back in time.

// errStopping means that the instance stops and the request is not sent any more.
var errStopping = errors.New("the instance is stopping")

// stop has the ends of waits in a planned stop. The zero value is that of an instance that goes on.
type stop struct {
	once sync.Once
	// unsent ends the waits of requests that no upstream can have run, remaining those of all others.
	unsent, remaining waitEnd
}

// waitEnd is a moment at which waits end.
type waitEnd struct {
	passed context.Context
	pass   context.CancelFunc
}

func newWaitEnd() waitEnd {
	passed, pass := context.WithCancel(context.Background())
	return waitEnd{passed: passed, pass: pass}
}

func (s *stop) prepare() {
	s.once.Do(func() { s.unsent, s.remaining = newWaitEnd(), newWaitEnd() })
}

// RefuseRequests refuses all further requests, and those that wait for an upstream and cannot have run: other instances can
// still serve them, and one that is sent now may not end before this instance does. Running requests continue. Call it before
// idle connections are closed. A connection counts as idle until the complete header of its next request was read, so a
// connection can be closed while a request is arriving on it. If that request were forwarded to an upstream, it would run and
// its response would be lost.
func (h *Handler) RefuseRequests() {
	h.refusing.Store(true)
	h.stop.prepare()
	h.stop.unsent.pass()
}

// EndWaits ends the requests that wait to be sent to a further upstream, so that their callers get an answer before the process
// ends.
func (h *Handler) EndWaits() {
	h.stop.prepare()
	h.stop.remaining.pass()
}

// bindWait returns a context for what the request waits for before it is sent. It ends with the request, and when the stop ends
// such waits. A request that may have run goes on for longer: it may be answered by a further upstream, and a refusal would not be
// true.
func (j *job) bindWait(ctx context.Context) (bound context.Context, release func()) {
	stop := &j.handler.stop
	stop.prepare()
	end := stop.unsent
	if j.mayHaveRun || j.started || len(j.inFlight) > 0 {
		end = stop.remaining
	}
	bound, cancel := context.WithCancelCause(ctx)
	if end.passed.Err() != nil {
		cancel(errStopping) // AfterFunc would do so a moment later only
	}
	unbind := context.AfterFunc(end.passed, func() { cancel(errStopping) })
	return bound, func() {
		unbind()
		cancel(nil)
	}
}

// refuseStopping returns the error of a wait that the stop has ended.
func refuseStopping() error {
	refused := refusal.New(refusal.Stopping, "the instance is stopping").WithRetryAfter(stoppingRetryAfter)
	return &unplacedError{cause: errStopping, refused: refused}
}
