package serve

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/gateway/call"
	"lacewingrock.example/lacewingrock/internal/gateway/forward"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// dispatch.go sends a request, and sends it again where that is allowed and worth it.

const (
	// mostTries bounds the upstreams that one request is offered to, whatever its route allows: past some
	// refusals in a row the service is full, and more offers only add load.
	mostTries = 6
	// mostTried bounds the upstreams that one request tries, of which all but the sends were asked for an adapter or a
	// turn in vain. Such a question takes some milliseconds and no work of the upstream.
	mostTried = 16
	// busyRetryAfter is when a caller is asked to come back to a service that has no room, where no holder stated
	// a wait: some requests have ended by then.
	busyRetryAfter = 350 * time.Millisecond
	// leastBusyRetryAfter and mostBusyRetryAfter bound what holders say of that.
	leastBusyRetryAfter = 100 * time.Millisecond
	mostBusyRetryAfter  = 3 * time.Second
	// awayRetryAfter is the same where no upstream can be reached.
	awayRetryAfter = 500 * time.Millisecond
)

// result is how one send ended.
type result string

const (
	resultServed    result = "served"
	resultNotRun    result = "not_run"
	resultMissing   result = "missing"
	resultUnreached result = "unreached"
	resultBroken    result = "broken"
	resultFailed    result = "failed"
)

// run brings the request to its end. The error is a refusal, or what broke an answer that was begun.
func (j *job) run(ctx context.Context) error {
	h := j.handler
	h.State.WithLock(func(a *SharedState) { a.Retries.For(j.service).CountFirstTry() })
	var last error
	for j.sends < mostTries && len(j.tried) < mostTried {
		if ctx.Err() != nil {
			return j.gaveUp(ctx)
		}
		choice, query, err := j.chooseKnowing(ctx)
		if err != nil {
			return j.noUpstream(err, choice, query, last)
		}
		if !j.mayHaveRun {
			if err := j.refuseInOverload(choice, query); err != nil {
				return err
			}
		}
		if !j.ready(ctx, &choice, query) {
			j.tried = append(j.tried, choice.Upstream.ID)
			continue
		}
		if j.arrivals > 0 && !j.paid && !j.mayResend() {
			return j.exhausted(last)
		}
		j.paid = false
		var ended result
		ended, last = j.send(ctx, choice, query)
		j.step("sent").Str("Upstream", choice.Upstream.ID).Str("Outcome", string(ended)).Err(last).
			Int("Tokens", query.Tokens).Int("Running", choice.Running).Int("Waiting", choice.Waiting).Bool("Loaded", choice.Loaded).
			Float64("Slow", choice.Slowdown).Float64("Failing", choice.FailureRate).
			Int64("ExpectedMillis", choice.Expected.Milliseconds()).Msg("Decision")
		switch ended {
		case resultServed:
			return nil
		case resultMissing:
			if !mayBePrepared(choice, query) {
				j.tried = append(j.tried, choice.Upstream.ID)
			}
		case resultUnreached:
		case resultNotRun:
			j.tried = append(j.tried, choice.Upstream.ID)
		case resultBroken, resultFailed:
			j.tried = append(j.tried, choice.Upstream.ID)
			if ctx.Err() != nil {
				return j.gaveUp(ctx)
			}
			if !j.mayRunAgain() {
				return j.exhausted(last)
			}
		}
	}
	return j.exhausted(last)
}

// mayBePrepared tells whether an upstream that lacked what was asked for may have it soon: this instance took
// an adapter for loaded that was not, and can ask the holder for it. An upstream that lacks what its holder has
// just said to be there, or that is another one at the address, will lack it at the next send too.
func mayBePrepared(choice pool.Choice, query pool.Query) bool {
	return query.Adapter.Name != "" && choice.Loaded
}

// mayRunAgain tells whether the request may be sent again although it may have run.
func (j *job) mayRunAgain() bool {
	return j.route.IsRepeatable() && j.runs < j.route.MaxAttempts
}

// mayResend takes a retry from the budget.
func (j *job) mayResend() (allowed bool) {
	j.handler.State.WithLock(func(a *SharedState) { allowed = a.Retries.For(j.service).Allow() })
	return allowed
}

// send makes one send and relays its answer.
func (j *job) send(ctx context.Context, choice pool.Choice, query pool.Query) (ended result, err error) {
	h := j.handler
	j.upstream = choice.Upstream.ID
	j.sends++
	now := time.Now()
	var sending *pool.Attempt
	h.State.WithLock(func(a *SharedState) { sending = a.Pool.Begin(now, choice, query) })
	h.Fleet.NotifyHolder(choice.Upstream.ID)
	defer h.Fleet.NotifyHolder(choice.Upstream.ID)
	exchanging, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ended, err = j.exchange(exchanging, cancel, choice, query, sending)
	if err != nil && errors.Is(context.Cause(exchanging), errSilent) {
		err = errSilent
	}
	if ended != resultUnreached {
		j.arrivals++
	}
	if ended != resultUnreached && ended != resultNotRun && ended != resultMissing {
		j.runs++
		j.mayHaveRun = true
	}
	j.finish(ctx, choice.Upstream, query, sending, ended, err)
	return ended, err
}

// finish tells the deciding packages how a send ended.
func (j *job) finish(
	ctx context.Context, upstream traffic.Upstream, query pool.Query, sending *pool.Attempt, ended result, err error,
) {
	end := pool.EndOther
	switch {
	case ended == resultServed:
		end = pool.EndServed
	case ctx.Err() != nil:
	case ended == resultFailed:
		end = pool.EndFailed
	case ended == resultUnreached:
		end = pool.EndUnreachable
	case ended == resultBroken:
		end = pool.EndFailed
	case ended == resultNotRun:
		end = pool.EndRefused
	}
	if ended == resultBroken && ctx.Err() == nil && !errors.Is(err, errSilent) {
		j.handler.Fleet.ReportBrokenResponse(upstream, j.fingerprint)
	}
	j.handler.State.WithLock(func(a *SharedState) {
		now := time.Now()
		a.Pool.Finish(now, sending, end)
		if ended == resultMissing {
			a.Pool.RecordMissingAdapter(upstream.ID, query.Adapter)
		}
		if ended == resultServed {
			a.Suspects.RecordCompletion(now, j.fingerprint)
		}
	})
}

// exchange sends the call and relays the answer.
func (j *job) exchange(
	ctx context.Context, cancel context.CancelCauseFunc, choice pool.Choice, query pool.Query, sending *pool.Attempt,
) (result, error) {
	send := call.Attempt{
		Upstream:    choice.Upstream.ID,
		Workspace:   j.workspace.Name,
		Remaining:   time.Until(j.deadline),
		Priority:    j.priority,
		Version:     query.Version,
		LastEventID: j.call.LastEventID,
	}
	if j.lastEvent != "" {
		send.LastEventID = j.lastEvent
	}
	silent := time.AfterFunc(j.patience(choice), func() { cancel(errSilent) })
	defer silent.Stop()
	answer, err := j.handler.Forward.Do(ctx, choice.Upstream, j.call, send, !j.route.IsRepeatable())
	if err != nil {
		if errors.Is(err, forward.ErrNotConnected) {
			return resultUnreached, err
		}
		return resultBroken, err
	}
	defer answer.Body.Close()
	switch {
	case answer.Info.Misdirected:
		return resultMissing, errors.New("upstream lacks the model or version, or another has its address")
	case answer.Info.NotRun:
		load := answer.Info.Load
		j.handler.State.WithLock(func(*SharedState) { sending.RecordStatedLoad(load.Running + load.Waiting) })
		return resultNotRun, errors.Errorf("upstream refused with status %d, %d running and %d waiting of %d places",
			answer.Status, load.Running, load.Waiting, load.BatchSlots)
	}
	relay := relay{job: j, answer: answer, sending: sending, silent: silent}
	return relay.run()
}

var errSilent = errors.New("upstream is silent")

const (
	// silentAtLeast is how long an upstream may be silent before a request that may run again is sent to
	// another; silentFactor the same in terms of what was expected.
	silentAtLeast = 1200 * time.Millisecond
	silentFactor  = 4
	// silentService is silentAtLeast for plain calls, which take some ten milliseconds.
	silentService = 400 * time.Millisecond
)

// patience is how long the upstream may be silent. A request that may not run again waits to the end:
// cutting it would lose an answer that may still come.
func (j *job) patience(choice pool.Choice) time.Duration {
	left := time.Until(j.deadline)
	if !j.route.IsRepeatable() || j.runs+1 >= j.route.MaxAttempts {
		return left + time.Second
	}
	least := silentAtLeast
	if j.route.Execution != traffic.Streaming {
		least = silentService
	}
	return max(least, silentFactor*choice.Expected)
}

// ---------------------------------------------------------------------------------------------

// gaveUp is the end of a request whose time is over, or whose caller is gone.
func (j *job) gaveUp(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(j.deadline) {
		refused := refusal.New(refusal.Deadline, "no answer within the time for it")
		if !j.mayHaveRun {
			refused = refused.WithRun(refusal.NotRun)
		}
		return refused
	}
	return refusal.New(refusal.Cancelled, "the caller closed the connection")
}

// noUpstream is the end of a request for which there is no upstream to send it to.
func (j *job) noUpstream(why error, choice pool.Choice, query pool.Query, last error) error {
	if j.mayHaveRun || j.soonest > 0 {
		return j.exhausted(last)
	}
	if errors.Is(why, pool.ErrFull) {
		var retryAfter time.Duration
		j.handler.State.WithLock(func(a *SharedState) { retryAfter = a.Pool.RetryWhenFull(time.Now(), query) })
		j.step("full").Str("Upstream", choice.Upstream.ID).Int("Running", choice.Running).
			Int64("RetryAfterMillis", retryAfter.Milliseconds()).Msg("Decision")
		return refusal.New(refusal.Busy, "the upstreams are full").WithRetryAfter(retryAfter)
	}
	return refusal.New(refusal.ServiceUnavailable, "no upstream can take the request").WithRetryAfter(awayRetryAfter)
}

// busyFor is when a place or a turn is expected at the first of the upstreams that had none.
func (j *job) busyFor() time.Duration {
	if j.soonest == 0 {
		return busyRetryAfter
	}
	return min(max(j.soonest, leastBusyRetryAfter), mostBusyRetryAfter)
}

// exhausted is the end of a request that may not be sent again, or not often enough.
func (j *job) exhausted(last error) error {
	if !j.mayHaveRun {
		j.cause = last
		return refusal.New(refusal.Busy, "the upstreams are busy").WithRetryAfter(j.busyFor())
	}
	j.cause = last // for the log; it holds addresses that are not the caller's business
	return refusal.New(refusal.UpstreamFailed, "the upstream failed or its answer was lost")
}
