package serve

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/admission/contention"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// job_refusals.go chooses the refusal for a request that gets no response of an upstream, and when its caller should retry.

const (
	// busyRetryAfter is the retry time for a service without free capacity if no holder stated a wait: some requests
	// have ended by then.
	busyRetryAfter = 350 * time.Millisecond
	// minBusyRetryAfter and maxBusyRetryAfter bound the waits that holders state.
	minBusyRetryAfter = 100 * time.Millisecond
	maxBusyRetryAfter = 3 * time.Second
	// unreachableRetryAfter is the retry time if no upstream is reachable.
	unreachableRetryAfter = 500 * time.Millisecond
)

// expired returns the refusal for a request whose deadline has passed, or whose caller has disconnected.
func (j *job) expired(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(j.deadline) {
		refused := refusal.New(refusal.Deadline, "no answer within the time for it")
		if !j.mayHaveRun {
			refused = refused.WithRun(refusal.NotRun)
		}
		return refused
	}
	return refusal.New(refusal.Cancelled, "the caller closed the connection")
}

// refuseUnplaced returns the refusal for a request that has no upstream for an attempt. The parameter last is how its last
// attempt ended, if there was one.
func (j *job) refuseUnplaced(err, last error) error {
	var unplaced *unplacedError
	if !errors.As(err, &unplaced) || errors.Is(unplaced.cause, errNoRetry) {
		return j.exhausted(last)
	}
	if unplaced.refused != nil && !j.mayHaveRun {
		return unplaced.refused
	}
	if j.mayHaveRun || j.shortestWait > 0 {
		return j.exhausted(last)
	}
	return j.refuseWithoutUpstream(unplaced)
}

// refuseWithoutUpstream returns the refusal for a request that has not run if no upstream can be chosen.
func (j *job) refuseWithoutUpstream(unplaced *unplacedError) error {
	if wait := j.backpressureWait(); wait > 0 {
		return refusal.New(refusal.Busy, "the upstreams have asked for no requests").WithRetryAfter(wait)
	}
	if wait := j.limitWait(); wait > 0 {
		return refusal.New(refusal.Busy, "the upstreams have limited their requests").WithRetryAfter(wait)
	}
	if errors.Is(unplaced.cause, pool.ErrFull) && j.yieldsToClasses() {
		return j.shedByClass(unplaced.choice, unplaced.query, contention.Impossible)
	}
	if errors.Is(unplaced.cause, pool.ErrFull) {
		var retryAfter time.Duration
		j.handler.State.WithLock(func(state *SharedState) {
			retryAfter = state.Pool.RetryWhenFull(time.Now(), unplaced.query)
			if j.handler.Admission != nil {
				j.handler.Admission.RecordRefusal(time.Now(), j.service)
			}
		})
		j.step("full").Str("Upstream", unplaced.choice.Upstream.ID).Int("Running", unplaced.choice.Running).
			Int64("RetryAfterMillis", retryAfter.Milliseconds()).Msg("Decision")
		return refusal.New(refusal.Busy, "the upstreams are full").WithRetryAfter(retryAfter)
	}
	return refusal.New(refusal.ServiceUnavailable, "no upstream can take the request").WithRetryAfter(unreachableRetryAfter)
}

// busyWait returns the shortest wait for an adapter slot or a prefill turn that a holder stated, within bounds.
func (j *job) busyWait() time.Duration {
	if j.shortestWait == 0 {
		return busyRetryAfter
	}
	return min(max(j.shortestWait, minBusyRetryAfter), maxBusyRetryAfter)
}

// backpressureWait returns when the caller should come back if no upstream takes requests before then; 0 if one may.
func (j *job) backpressureWait() (wait time.Duration) {
	j.handler.State.WithLock(func(state *SharedState) { wait = state.Pool.RetryAfterBackpressure(time.Now(), j.anyUpstream()) })
	return wait
}

// limitWait returns when the caller should come back if all upstreams state how many requests they take; 0 if one does not.
func (j *job) limitWait() (wait time.Duration) {
	j.handler.State.WithLock(func(state *SharedState) { wait = state.Pool.RetryAfterLimit(time.Now(), j.anyUpstream()) })
	return wait
}

// anyUpstream returns the query for the upstreams that may run the request, whether they were tried or not.
func (j *job) anyUpstream() pool.Query {
	return pool.Query{
		Service: j.service, Adapter: j.call.Generation.Adapter, Tokens: j.call.Generation.PromptTokens, Software: j.software,
	}
}

// exhausted returns the refusal for a request that may not be sent again, or that has used up its attempts.
func (j *job) exhausted(last error) error {
	if !j.mayHaveRun {
		j.recordBusyService()
		j.cause = last
		wait := j.backpressureWait()
		if wait == 0 {
			wait = j.limitWait()
		}
		if wait == 0 {
			wait = j.busyWait()
		}
		return refusal.New(refusal.Busy, "the upstreams are busy").WithRetryAfter(wait)
	}
	j.cause = last // only for the log: it contains addresses that callers must not see
	return refusal.New(refusal.UpstreamFailed, "the upstream failed or its answer was lost")
}
