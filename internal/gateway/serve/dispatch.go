package serve

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// dispatch.go sends a request to upstreams, and retries it where that is allowed and useful.

const (
	// maxAttempts bounds the attempts of one request, whatever its route allows: after some refusals in a row the
	// service is full, and further attempts only add load.
	maxAttempts = 6
	// maxTried bounds the upstreams that are tried for one request. That includes the upstreams whose holders refused
	// to load the adapter or to grant a prefill turn. Such a query takes some milliseconds and no work of the upstream.
	maxTried = 16
)

// run processes the request until it has a response. The error is a refusal, or the cause that broke a started
// response.
func (j *job) run(ctx context.Context) error {
	if err := j.bindResumed(ctx); err != nil {
		return err
	}
	j.findClass()
	j.handler.State.WithLock(func(state *SharedState) {
		state.Retries.For(j.service).CountFirstTry()
		j.recordDemand(state, time.Now())
	})
	var last error
	for j.hasAttemptsLeft() {
		if ctx.Err() != nil {
			return j.expired(ctx)
		}
		chosen, err := j.place(ctx)
		if err != nil {
			return j.refuseUnplaced(err, last)
		}
		if chosen == nil {
			continue
		}
		var end attemptEnd
		if a := j.begin(ctx, *chosen); a != nil {
			end = a.run()
		}
		for end.successor != nil {
			end = end.successor.relayAndSettle()
		}
		last = end.err
		if err := j.afterAttempt(ctx, end); err != nil || end.outcome == resultServed {
			return err
		}
	}
	return j.exhausted(last)
}

// hasAttemptsLeft reports whether the request may be tried at a further upstream, whatever the earlier ones did with it.
func (j *job) hasAttemptsLeft() bool {
	return j.attempts < maxAttempts && len(j.tried)+len(j.declined) < maxTried
}

// afterAttempt returns the refusal of a request that may not be tried again after an attempt.
func (j *job) afterAttempt(ctx context.Context, end attemptEnd) error {
	if end.outcome != resultBroken && end.outcome != resultFailed {
		return nil
	}
	if ctx.Err() != nil {
		return j.expired(ctx)
	}
	if !j.mayRunAgain() {
		return j.exhausted(end.err)
	}
	j.slots = slotSearch{} // a request that may have run is not refused for its earlier searches
	return nil
}

// placement is the upstream for an attempt, which is ready for it.
type placement struct {
	choice pool.Choice
	query  pool.Query
	inTurn bool
}

// Reasons why a request has no upstream for an attempt, besides those of the pool.
var (
	errNoRetry = errors.New("the retry budget of the service is used up")
	errTooLate = errors.New("no other upstream would respond before the deadline")
	errSuspect = errors.New("the request was in flight at several crashes of upstreams")
)

// unplacedError is why a request has no upstream for an attempt.
type unplacedError struct {
	cause  error
	choice pool.Choice
	query  pool.Query
	// refused is the refusal to send if the request has not run, nil if it follows from the cause.
	refused error
}

// Error implements error.
func (e *unplacedError) Error() string { return e.cause.Error() }

// place chooses an upstream for the next attempt, has it prepared, and takes a retry from the budget if the request was sent
// before. It returns nil if the chosen upstream could not be prepared; the next call chooses another. The error is an
// *unplacedError. A planned stop ends the wait.
func (j *job) place(ctx context.Context) (chosen *placement, err error) {
	bound, release := j.bindWait(ctx)
	defer release()
	if bound.Err() == nil {
		chosen, err = j.placeBefore(bound)
	}
	if chosen == nil && err == nil && errors.Is(context.Cause(bound), errStopping) {
		return nil, refuseStopping()
	}
	return chosen, err
}

// placeBefore places the request before the context ends.
func (j *job) placeBefore(ctx context.Context) (*placement, error) {
	if err := j.refuseOversized(); err != nil {
		return nil, &unplacedError{cause: err, refused: err}
	}
	choice, query, err := j.chooseWithFreshLoad(ctx)
	if err != nil {
		j.noteNoSlot(err, choice)
		return nil, &unplacedError{cause: err, choice: choice, query: query}
	}
	if len(j.inFlight) > 0 && choice.Expected > time.Until(j.deadline) {
		return nil, &unplacedError{cause: errTooLate}
	}
	if !j.mayHaveRun && len(j.inFlight) == 0 {
		if err := j.shedLoad(choice, query); err != nil {
			return nil, &unplacedError{cause: err, refused: err}
		}
	}
	chosen := &placement{choice: choice, query: query}
	ready := j.ensureReady(ctx, chosen)
	if ctx.Err() != nil {
		return nil, nil // the holder was not waited for
	}
	if !ready {
		j.declined = append(j.declined, choice.Upstream.ID)
		return nil, nil
	}
	if err := j.refuseSuspect(); err != nil {
		return nil, &unplacedError{cause: errSuspect, refused: err}
	}
	if j.isRetry() && !j.retryTaken && !j.takeRetry() {
		return nil, &unplacedError{cause: errNoRetry}
	}
	j.retryTaken = false
	return chosen, nil
}

// isRetry reports whether a further attempt adds to the load of the service.
func (j *job) isRetry() bool { return j.arrivals+len(j.inFlight) > 0 }

// hasRetry reports whether the retry budget allows a further attempt now.
func (j *job) hasRetry() (has bool) {
	if !j.isRetry() || j.retryTaken {
		return true
	}
	j.handler.State.WithLock(func(state *SharedState) { has = state.Retries.For(j.service).IsAvailable() })
	return has
}

// mayRunAgain reports whether the request may be sent again although it may have run, or runs. Only a stream can be resumed
// once its caller has received a part of it.
func (j *job) mayRunAgain() bool {
	if j.started && j.route.Execution != traffic.Streaming {
		return false
	}
	if j.begun && j.software == "" {
		return false
	}
	return j.route.IsRepeatable() && j.runs+len(j.inFlight) < j.route.MaxAttempts
}

// mayRetryFailure reports whether another attempt may replace a failure response of the upstream, and takes that retry from the
// budget.
func (j *job) mayRetryFailure() bool {
	if j.started {
		return true // a failure in the middle of a stream cannot be forwarded
	}
	if !j.route.IsRepeatable() || j.runs+len(j.inFlight) >= j.route.MaxAttempts || time.Until(j.deadline) < minRetryTime {
		return false
	}
	j.retryTaken = j.takeRetry()
	return j.retryTaken
}

// minRetryTime is the least time until the deadline that makes another attempt useful.
const minRetryTime = 30 * time.Millisecond

// takeRetry takes a retry from the retry budget of the service.
func (j *job) takeRetry() (allowed bool) {
	j.handler.State.WithLock(func(state *SharedState) { allowed = state.Retries.For(j.service).Allow() })
	return allowed
}
