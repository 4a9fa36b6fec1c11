package serve

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/stream"
	"lacewingrock.example/lacewingrock/internal/gateway/call"
	"lacewingrock.example/lacewingrock/internal/gateway/forward"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// attempt.go makes one attempt: it sends the call to an upstream, receives the first part of the response, relays it, and
// records how the attempt ended.

// result is the result of one attempt.
type result string

const (
	resultServed      result = "served"
	resultNotRun      result = "not_run"
	resultMisdirected result = "missing"
	resultUnreached   result = "unreached"
	resultBroken      result = "broken"
	resultFailed      result = "failed"
	// resultUnneeded: the attempt was withdrawn because the upstream that was silent before it went on.
	resultUnneeded result = "unneeded"
	// resultWithdrawn: nothing was sent, because the upstream does not take requests any more.
	resultWithdrawn result = "withdrawn"
)

// mayHaveRun reports whether an attempt with that result, which was made, may have run the request.
func (r result) mayHaveRun() bool {
	switch r {
	case resultServed, resultBroken, resultFailed, resultUnneeded:
		return true
	}
	return false
}

// Causes for which an attempt is cancelled.
var (
	errNoData   = errors.New("upstream sent nothing until another one did")
	errUnneeded = errors.New("the upstream that was silent went on")
)

// attempt is one attempt of a request at an upstream.
type attempt struct {
	job       *job
	placement placement
	counted   *pool.Attempt
	// requestCtx is the context of the request, ctx that of the attempt.
	requestCtx context.Context
	ctx        context.Context
	cancel     context.CancelCauseFunc
	// unbind ends the binding of ctx to the request, nil if there is none.
	unbind  func() bool
	began   time.Time
	standby standby

	response *forward.Response
	received received
	// first is the first part of the response, which nobody was sent yet: the first events of a stream, or the body.
	first []byte
	// ended: the body was read to its end.
	ended bool
	// failure is the error after what was read last.
	failure error
	// dataAt is when the upstream last sent something, in Unix nanoseconds.
	dataAt   atomic.Int64
	buffer   []byte
	splitter stream.Splitter
	// withoutData is the number of bytes of complete events since the last one that had data.
	withoutData int
	// held is the number of bytes that are reserved for the first part of the response, or for an incomplete event.
	// noRoom: the account had no room for more.
	held   int64
	noRoom bool
	// relaysLength: a response with a stated length is being forwarded.
	relaysLength atomic.Bool
	// firstEventAt is when the first events of the stream arrived, and wroteAt when the last ones were written.
	firstEventAt time.Time
	wroteAt      time.Time
}

// attemptEnd is how an attempt ended. The successor, if any, has the first part of its response and goes on in its place.
type attemptEnd struct {
	outcome   result
	err       error
	successor *attempt
}

// begin counts an attempt as in flight. It returns nil if the upstream does not take the request any more, which may have
// waited since the upstream was chosen.
func (j *job) begin(ctx context.Context, chosen placement) *attempt {
	now := time.Now()
	upstream := chosen.choice.Upstream
	tooOld := chosen.isTooOld(now)
	a := &attempt{job: j, placement: chosen, requestCtx: ctx, began: now, splitter: stream.Splitter{Limit: maxEventBytes}}
	a.standby.attempt = a
	j.attempts++
	j.handler.State.WithLock(func(state *SharedState) {
		unadmitted := state.Pool.IsLimited(now, upstream) && !chosen.choice.Limited
		if state.Pool.IsChoiceValid(now, upstream) && !tooOld && !unadmitted && state.Pool.MayUseMemory(now, chosen.choice, chosen.query) {
			a.counted = state.Pool.Begin(now, chosen.choice, chosen.query)
		}
	})
	if a.counted == nil {
		j.giveUpMemory(chosen.choice)
		j.retryTaken = j.isRetry() // the retry that was taken was not made
		if !tooOld {               // otherwise it can load the newest version
			j.declined = append(j.declined, upstream.ID)
		}
		j.endedBy = ""
		a.log(resultWithdrawn, nil)
		return nil
	}
	j.inFlight = append(j.inFlight, upstream.ID)
	a.bindContext(ctx)
	j.handler.Fleet.NotifyHolder(upstream.ID)
	return a
}

// run sends the call and relays the response, unless another upstream goes on in its place.
func (a *attempt) run() (end attemptEnd) {
	outcome, err := a.receive()
	if outcome == "" && err == nil {
		return a.relayAndSettle()
	}
	return a.settle(outcome, err)
}

// relayAndSettle relays the response, whose first part has been received.
func (a *attempt) relayAndSettle() attemptEnd {
	outcome, err := a.relay()
	return a.settle(outcome, err)
}

// receive sends the call and receives the first part of the response. The result is empty if the response is to be relayed.
func (a *attempt) receive() (outcome result, err error) {
	replaced := a.standby.during(a.firstDataTimeout(), func() (received bool) {
		outcome, err = a.exchange()
		return outcome == "" && a.response.Status < http.StatusInternalServerError
	})
	switch {
	case replaced:
		return a.replacedResult(outcome, err)
	case outcome != "" || a.response.Status < http.StatusInternalServerError:
		return outcome, err
	case a.job.mayRetryFailure():
		a.keepFailure()
		return resultFailed, errors.Errorf("upstream responded with status %d", a.response.Status)
	}
	return a.receiveFailure()
}

// replacedResult returns the result of an attempt in whose place another one goes on.
func (a *attempt) replacedResult(outcome result, err error) (result, error) {
	switch {
	case !a.standby.failed:
		return resultBroken, errNoData
	case outcome == "":
		return resultFailed, errors.Errorf("upstream responded with status %d", a.response.Status)
	}
	return outcome, err
}

// exchange sends the call and reads the response up to its first part, or the header only of a failure of the upstream.
func (a *attempt) exchange() (result, error) {
	if outcome, err := a.send(); outcome != "" {
		return outcome, err
	}
	a.standby.extend()
	switch {
	case a.response.Status >= http.StatusInternalServerError:
		return "", nil
	case a.isStream():
		return a.receiveEvents()
	}
	return a.receiveBody()
}

// send sends the call and reads the header of the response. The result is empty if the response is one to the call.
func (a *attempt) send() (result, error) {
	j := a.job
	upstream := a.placement.choice.Upstream
	info := call.Attempt{
		Upstream:    upstream.ID,
		Workspace:   j.workspace.Name,
		Remaining:   time.Until(j.deadline),
		Priority:    j.enginePriority(),
		Version:     a.placement.query.Version,
		LastEventID: j.call.LastEventID,
	}
	if j.lastEventID != "" {
		info.LastEventID = j.lastEventID
	}
	response, err := j.handler.Forward.Do(a.ctx, upstream, j.call, info, !j.route.IsRepeatable())
	if errors.Is(err, forward.ErrNotConnected) {
		return resultUnreached, err
	}
	if err != nil {
		return resultBroken, err
	}
	a.response = response
	a.received = received{info: response.Info, status: response.Status, framing: response.Framing}
	a.recordData()
	return a.checkRun(upstream)
}

// checkRun records what the response states of its upstream, and returns a result if the upstream states that it has not run
// the request.
func (a *attempt) checkRun(upstream traffic.Upstream) (result, error) {
	j := a.job
	info := a.response.Info
	j.recordBrittleness(info)
	if !info.Misdirected { // another upstream may have answered
		j.handler.RecordStatement(j.call.ID, upstream, info.RetryAfter, info.Leaving)
		j.recordLimit(upstream, info.Limit, a.began)
		a.recordStatedLoad(info.Load)
	}
	switch {
	case info.Misdirected:
		return resultMisdirected, errors.New("upstream lacks the model or version, or another upstream has its address")
	case info.NotRun:
		load := info.Load
		return resultNotRun, errors.Errorf("upstream refused with status %d: %d running and %d waiting requests, %d batch slots",
			a.response.Status, load.Running, load.Waiting, load.BatchSlots)
	}
	return "", nil
}

// settle ends the attempt and records its result at the pool, the suspect register and the fleet.
func (a *attempt) settle(outcome result, err error) attemptEnd {
	j := a.job
	successor := a.standby.successor
	if a.response != nil {
		a.response.Body.Close()
	}
	if a.unbind != nil {
		a.unbind()
	}
	a.cancel(nil)
	j.upstream = a.placement.choice.Upstream.ID
	j.inFlight = slices.DeleteFunc(j.inFlight, func(id string) bool { return id == j.upstream })
	if outcome != resultUnreached {
		j.arrivals++
	}
	if outcome.mayHaveRun() {
		j.runs++
		j.mayHaveRun = true
	}
	if j.failure != a {
		a.releaseHeld()
	}
	a.recordEnd(outcome, err)
	a.recordExcess(err)
	a.finish(outcome)
	a.log(outcome, err)
	a.recordTried(outcome)
	j.handler.Fleet.NotifyHolder(j.upstream)
	return attemptEnd{outcome: outcome, err: err, successor: successor}
}

// recordTried excludes the upstream from further attempts, unless it may run the request a moment later. One that was silent and did
// not fail, or was not needed, is sound as far as is known.
func (a *attempt) recordTried(outcome result) {
	j := a.job
	upstream := a.placement.choice.Upstream.ID
	if a.standby.successor != nil && !a.standby.failed {
		return
	}
	switch outcome {
	case resultServed, resultUnneeded:
	case resultUnreached: // an upstream that cannot be reached is avoided for a time
	case resultNotRun:
		j.declined = append(j.declined, upstream)
	case resultMisdirected:
		if !mayBecomeLoaded(a.placement.choice, a.placement.query) {
			j.declined = append(j.declined, upstream)
		}
	default:
		j.tried = append(j.tried, upstream)
	}
}

// mayBecomeLoaded reports whether an upstream that lacked the requested adapter may have it soon: this instance assumed
// that an adapter was loaded when it was not, and can ask the holder to load it. If the holder has just reported the
// adapter as loaded, or another upstream has the address, the next attempt would fail too.
func mayBecomeLoaded(choice pool.Choice, query pool.Query) bool {
	return query.Adapter.Name != "" && choice.Loaded
}

// poolEnd returns what the result says about the upstream.
func (a *attempt) poolEnd(outcome result) pool.End {
	switch {
	case outcome == resultServed:
		return pool.EndServed
	case a.requestCtx.Err() != nil:
		return pool.EndOther
	}
	switch outcome {
	case resultFailed, resultBroken:
		return pool.EndFailed
	case resultUnreached:
		return pool.EndUnreachable
	case resultNotRun:
		if a.received.info.RetryAfter > 0 {
			return pool.EndBackpressure
		}
		return pool.EndRefused
	}
	return pool.EndOther
}

// finish reports the result to the pool, the suspect register and the fleet.
func (a *attempt) finish(outcome result) {
	j := a.job
	upstream := a.placement.choice.Upstream
	complete := outcome == resultServed && a.received.provesCompletion()
	if outcome.mayHaveRun() && !complete {
		unfinished := suspect.Attempt{
			CallID: j.call.ID, Fingerprint: j.fingerprint, Parts: j.promptParts, Began: a.began, Sending: a.sendingFor(),
			Ended: outcome == resultServed && a.received.isWholeIfUpstreamGoesOn(),
		}
		j.handler.Fleet.ReportUnfinished(upstream, unfinished, outcome == resultBroken && a.requestCtx.Err() == nil)
	}
	cleared := 0
	j.handler.State.WithLock(func(state *SharedState) {
		now := time.Now()
		state.Pool.Finish(now, a.counted, a.poolEnd(outcome))
		a.recordDuration(state, now, outcome)
		if outcome == resultServed {
			j.recordServed(now)
		}
		if outcome == resultMisdirected {
			state.Pool.RecordMissingAdapter(upstream.ID, a.placement.query.Adapter)
		}
		if complete {
			cleared = state.Suspects.RecordCompletion(now, j.fingerprint, j.promptParts...)
		}
	})
	if cleared > 0 {
		j.step("cleared").Str("Upstream", upstream.ID).Str("Fingerprint", string(j.fingerprint)).Int("Crashes", cleared).
			Int("Status", j.status).Str("Framing", string(a.received.framing)).Msg("Decision")
	}
}

// log writes the line of the attempt: what decided, and how it ended.
func (a *attempt) log(outcome result, err error) {
	choice := a.placement.choice
	a.placement.logVersion(a.began, a.job.logEnd(a.received.logLimit(a.job.step("sent")))).Str("Upstream", choice.Upstream.ID).Str("Software", choice.Upstream.Software).
		Str("Outcome", string(outcome)).Err(err).
		Str("Framing", string(a.received.framing)).Int("TailBytes", a.received.tail).
		Int64("RetryAfterMillis", a.received.info.RetryAfter.Milliseconds()).Bool("Leaving", a.received.info.Leaving).
		Int("Tokens", a.placement.query.Tokens).Int("Running", choice.Running).Int("Waiting", choice.Waiting).Bool("Loaded", choice.Loaded).
		Float64("Slow", choice.Slowdown).Float64("Failing", choice.FailureRate).
		Int64("ExpectedMillis", choice.Expected.Milliseconds()).Msg("Decision")
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
