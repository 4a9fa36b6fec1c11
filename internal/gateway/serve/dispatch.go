package serve

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/call"
	"lacewingrock.example/lacewingrock/internal/gateway/forward"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
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

// result is the result of one attempt.
type result string

const (
	resultServed      result = "served"
	resultNotRun      result = "not_run"
	resultMisdirected result = "missing"
	resultUnreached   result = "unreached"
	resultBroken      result = "broken"
	resultFailed      result = "failed"
	// resultWithdrawn: nothing was sent, because the upstream does not take requests any more.
	resultWithdrawn result = "withdrawn"
)

// mayHaveRun reports whether an attempt with that result, which was made, may have run the request.
func (r result) mayHaveRun() bool {
	return r == resultServed || r == resultBroken || r == resultFailed
}

// run processes the request until it has a response. The error is a refusal, or the cause that broke a started
// response.
func (j *job) run(ctx context.Context) error {
	h := j.handler
	if err := j.bindResumed(ctx); err != nil {
		return err
	}
	h.State.WithLock(func(state *SharedState) { state.Retries.For(j.service).CountFirstTry() })
	var last error
	for j.attempts < maxAttempts && len(j.tried) < maxTried {
		if ctx.Err() != nil {
			return j.expired(ctx)
		}
		choice, query, err := j.chooseWithFreshLoad(ctx)
		if err != nil {
			return j.refuseUnplaced(err, choice, query, last)
		}
		if !j.mayHaveRun {
			if err := j.shedLoad(choice, query); err != nil {
				return err
			}
		}
		if !j.ensureReady(ctx, &choice, query) {
			j.tried = append(j.tried, choice.Upstream.ID)
			continue
		}
		if j.arrivals > 0 && !j.retryTaken && !j.takeRetry() {
			return j.exhausted(last)
		}
		j.retryTaken = false
		if err := j.refuseSuspect(); err != nil {
			if j.mayHaveRun {
				return j.exhausted(last)
			}
			return err
		}
		var outcome result
		outcome, last = j.send(ctx, choice, query)
		j.logEnd(j.received.logLimit(j.step("sent"))).Str("Upstream", choice.Upstream.ID).Str("Software", choice.Upstream.Software).
			Str("Outcome", string(outcome)).Err(last).
			Str("Framing", string(j.received.framing)).Int("TailBytes", j.received.tail).
			Int64("RetryAfterMillis", j.received.info.RetryAfter.Milliseconds()).Bool("Leaving", j.received.info.Leaving).
			Int("Tokens", query.Tokens).Int("Running", choice.Running).Int("Waiting", choice.Waiting).Bool("Loaded", choice.Loaded).
			Float64("Slow", choice.Slowdown).Float64("Failing", choice.FailureRate).
			Int64("ExpectedMillis", choice.Expected.Milliseconds()).Msg("Decision")
		switch outcome {
		case resultServed:
			return nil
		case resultMisdirected:
			if !mayBecomeLoaded(choice, query) {
				j.tried = append(j.tried, choice.Upstream.ID)
			}
		case resultUnreached:
		case resultNotRun:
			j.tried = append(j.tried, choice.Upstream.ID)
		case resultWithdrawn:
			j.tried = append(j.tried, choice.Upstream.ID)
			j.retryTaken = j.arrivals > 0 // the retry that was taken was not made
		case resultBroken, resultFailed:
			j.tried = append(j.tried, choice.Upstream.ID)
			if ctx.Err() != nil {
				return j.expired(ctx)
			}
			if !j.mayRunAgain() {
				return j.exhausted(last)
			}
		}
	}
	return j.exhausted(last)
}

// mayBecomeLoaded reports whether an upstream that lacked the requested adapter may have it soon: this instance assumed
// that an adapter was loaded when it was not, and can ask the holder to load it. If the holder has just reported the
// adapter as loaded, or another upstream has the address, the next attempt would fail too.
func mayBecomeLoaded(choice pool.Choice, query pool.Query) bool {
	return query.Adapter.Name != "" && choice.Loaded
}

// mayRunAgain reports whether the request may be sent again although it may have run. Only a stream can be resumed once its
// caller has received a part of it.
func (j *job) mayRunAgain() bool {
	if j.started && j.route.Execution != traffic.Streaming {
		return false
	}
	if j.begun && j.software == "" {
		return false
	}
	return j.route.IsRepeatable() && j.runs < j.route.MaxAttempts
}

// takeRetry takes a retry from the retry budget of the service.
func (j *job) takeRetry() (allowed bool) {
	j.handler.State.WithLock(func(state *SharedState) { allowed = state.Retries.For(j.service).Allow() })
	return allowed
}

// send makes one attempt and relays its response.
func (j *job) send(ctx context.Context, choice pool.Choice, query pool.Query) (outcome result, err error) {
	h := j.handler
	j.upstream = choice.Upstream.ID
	j.received = received{}
	j.attempts++
	attempt := j.begin(choice, query)
	if attempt == nil {
		return resultWithdrawn, nil
	}
	h.Fleet.NotifyHolder(choice.Upstream.ID)
	defer h.Fleet.NotifyHolder(choice.Upstream.ID)
	exchangeCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	began := time.Now()
	outcome, err = j.exchange(exchangeCtx, cancel, choice, query, attempt)
	if err != nil && errors.Is(context.Cause(exchangeCtx), errNoData) {
		err = errNoData
	}
	if outcome != resultUnreached {
		j.arrivals++
	}
	if outcome.mayHaveRun() {
		j.runs++
		j.mayHaveRun = true
	}
	j.recordEnd(ctx, began, outcome, err)
	j.finish(ctx, began, choice.Upstream, query, attempt, outcome, err)
	return outcome, err
}

// begin counts the request as in flight, and returns nil if the upstream does not take it any more: the request may have
// waited since the upstream was chosen.
func (j *job) begin(choice pool.Choice, query pool.Query) (attempt *pool.Attempt) {
	now := time.Now()
	j.handler.State.WithLock(func(state *SharedState) {
		unadmitted := state.Pool.IsLimited(now, choice.Upstream) && !choice.Limited
		if state.Pool.IsChoiceValid(now, choice.Upstream) && !unadmitted {
			attempt = state.Pool.Begin(now, choice, query)
		}
	})
	return attempt
}

// finish reports the result of an attempt to the pool, the suspect register and the fleet.
func (j *job) finish(
	ctx context.Context, began time.Time, upstream traffic.Upstream, query pool.Query, attempt *pool.Attempt, outcome result, err error,
) {
	end := pool.EndOther
	switch {
	case outcome == resultServed:
		end = pool.EndServed
	case ctx.Err() != nil:
	case outcome == resultFailed:
		end = pool.EndFailed
	case outcome == resultUnreached:
		end = pool.EndUnreachable
	case outcome == resultBroken:
		end = pool.EndFailed
	case outcome == resultNotRun && j.received.info.RetryAfter > 0:
		end = pool.EndBackpressure
	case outcome == resultNotRun:
		end = pool.EndRefused
	}
	if errors.Is(err, errNoData) {
		j.handler.Fleet.VerifyLink(upstream)
	}
	complete := outcome == resultServed && j.received.provesCompletion()
	if outcome.mayHaveRun() && !complete {
		unfinished := suspect.Attempt{CallID: j.call.ID, Fingerprint: j.fingerprint, Began: began}
		j.handler.Fleet.ReportUnfinished(upstream, unfinished, outcome == resultBroken && ctx.Err() == nil)
	}
	cleared := 0
	j.handler.State.WithLock(func(state *SharedState) {
		now := time.Now()
		state.Pool.Finish(now, attempt, end)
		if outcome == resultMisdirected {
			state.Pool.RecordMissingAdapter(upstream.ID, query.Adapter)
		}
		if complete {
			cleared = state.Suspects.RecordCompletion(now, j.fingerprint)
		}
	})
	if cleared > 0 {
		j.step("cleared").Str("Upstream", upstream.ID).Str("Fingerprint", string(j.fingerprint)).Int("Crashes", cleared).
			Int("Status", j.status).Str("Framing", string(j.received.framing)).Msg("Decision")
	}
}

// exchange sends the call and relays the response.
func (j *job) exchange(
	ctx context.Context, cancel context.CancelCauseFunc, choice pool.Choice, query pool.Query, attempt *pool.Attempt,
) (result, error) {
	info := call.Attempt{
		Upstream:    choice.Upstream.ID,
		Workspace:   j.workspace.Name,
		Remaining:   time.Until(j.deadline),
		Priority:    j.priority,
		Version:     query.Version,
		LastEventID: j.call.LastEventID,
	}
	if j.lastEventID != "" {
		info.LastEventID = j.lastEventID
	}
	silenceTimer := time.AfterFunc(j.silenceTimeout(choice), func() { cancel(errNoData) })
	defer silenceTimer.Stop()
	began := time.Now()
	response, err := j.handler.Forward.Do(ctx, choice.Upstream, j.call, info, !j.route.IsRepeatable())
	if err != nil {
		if errors.Is(err, forward.ErrNotConnected) {
			return resultUnreached, err
		}
		return resultBroken, err
	}
	defer response.Body.Close()
	j.received = received{info: response.Info, status: response.Status, framing: response.Framing}
	j.recordBrittleness(response.Info)
	if !response.Info.Misdirected { // another upstream may have answered
		j.handler.RecordStatement(j.call.ID, choice.Upstream, response.Info.RetryAfter, response.Info.Leaving)
		j.recordLimit(choice.Upstream, response.Info.Limit, began)
	}
	switch {
	case response.Info.Misdirected:
		return resultMisdirected, errors.New("upstream lacks the model or version, or another upstream has its address")
	case response.Info.NotRun:
		load := response.Info.Load
		j.handler.State.WithLock(func(*SharedState) { attempt.RecordStatedLoad(load.Running + load.Waiting) })
		return resultNotRun, errors.Errorf("upstream refused with status %d: %d running and %d waiting requests, %d batch slots",
			response.Status, load.Running, load.Waiting, load.BatchSlots)
	}
	relay := relay{job: j, response: response, attempt: attempt, upstream: choice.Upstream, silenceTimer: silenceTimer}
	return relay.run()
}

// recordLimit records what the response to an attempt says of its upstream's limit. News go to the upstream's holder, which
// admits the requests of all instances.
func (j *job) recordLimit(upstream traffic.Upstream, stated call.Limit, began time.Time) {
	if j.handler.RecordLimit(j.call.ID, upstream, stated, began) {
		j.handler.Fleet.NotifyHolder(upstream.ID)
	}
}

// recordBrittleness records whether the upstream states that it is brittle.
func (j *job) recordBrittleness(info call.ResponseInfo) {
	stated := pool.Brittleness{Brittle: info.Brittle, Rejections: info.Rejections}
	news := false
	j.handler.State.WithLock(func(state *SharedState) { news = state.Pool.RecordBrittleness(time.Now(), j.service, stated) })
	if news {
		j.handler.Log.Info().Str("Service", j.service).Bool("Brittle", info.Brittle).Int("Rejections", info.Rejections).Msg("Brittleness")
	}
}

var errNoData = errors.New("upstream sent nothing within the time-out")

const (
	// minSilence is the minimum time that an upstream may send nothing before a request that may run again is sent to
	// another one. silenceFactor is the same as a multiple of the expected time.
	minSilence    = 1200 * time.Millisecond
	silenceFactor = 4
	// minPlainSilence replaces minSilence for plain calls, which take some ten milliseconds.
	minPlainSilence = 400 * time.Millisecond
)

// silenceTimeout returns how long the upstream may send nothing. A request that may not run again waits until its
// deadline: cancelling it would lose a response that may still arrive.
func (j *job) silenceTimeout(choice pool.Choice) time.Duration {
	remaining := time.Until(j.deadline)
	if !j.route.IsRepeatable() || j.runs+1 >= j.route.MaxAttempts {
		return remaining + time.Second
	}
	shortest := minSilence
	if j.route.Execution != traffic.Streaming {
		shortest = minPlainSilence
	}
	return max(shortest, silenceFactor*choice.Expected)
}
