package pipeline

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/api"
	"lacewingrock.example/lacewingrock/internal/caller/completion"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/model"
	"lacewingrock.example/lacewingrock/internal/placement/route"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
	"lacewingrock.example/lacewingrock/internal/report/burn"
	"lacewingrock.example/lacewingrock/internal/upstream/engine"
)

// completion.go takes one completion through all stages.

// completionRun is one request on its way.
type completionRun struct {
	identity    api.Identity
	request     completion.Request
	model       model.Reference
	baseModel   string
	weight      float64
	cost        float64
	fingerprint suspect.Fingerprint
	alone       bool
	apart       bool
	began       time.Time
	deadline    time.Time

	// What happened so far.
	mayHaveRun  bool
	tries       int
	asked       time.Time
	exclude     []string
	refused     *peer.Refused
	waitedLoad  time.Duration
	waitedQueue time.Duration
	meter       *meter
	upstream    string
}

// dispatchID differs between two tries of one request, as engines keep streams by it.
func (run *completionRun) dispatchID() string {
	return fmt.Sprintf("%s-%d", run.request.ID, run.tries)
}

// Complete runs a completion and returns nil once the sink has the whole stream.
func (p *Pipeline) Complete(
	ctx context.Context, identity api.Identity, request completion.Request, sink api.Sink,
) (err error) {
	run, err := p.begin(identity, request)
	if err != nil {
		return err
	}
	defer func() { p.finished(run, err) }()
	ctx, leave := p.Running.enter(ctx, identity)
	defer leave()
	reservation, err := p.reserve(ctx, identity.Workspace, float64(request.MostTokens()))
	if err != nil {
		return err
	}
	run.meter = &meter{
		sink:         sink,
		reservation:  reservation,
		promptTokens: request.PromptTokens,
		mostTokens:   request.MaxTokens,
	}
	defer func() { reservation.Settle(run.meter.used()) }()
	ctx, cancel := withinReservation(ctx, reservation.Deadline())
	defer cancel()
	return p.runTries(ctx, run)
}

// begin decides what the request asks for and whether it may run at all.
func (p *Pipeline) begin(identity api.Identity, request completion.Request) (*completionRun, error) {
	current, err := p.stillServed(identity)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	run := &completionRun{
		identity:    identity,
		request:     request,
		cost:        float64(request.PromptTokens + request.MaxTokens),
		fingerprint: suspect.Fingerprint(request.Fingerprint(identity.Workspace)),
		began:       now,
		deadline:    now.Add(p.Patience),
	}
	if workspace, found := current.Workspace(identity.Workspace); found {
		run.weight = p.weight(now, workspace)
	}
	run.model, run.baseModel, err = resolve(current, identity, request)
	if err != nil {
		return nil, err
	}
	p.Advice.With(func(a *Advice) {
		a.Retries.First()
	})
	return run, p.judge(run)
}

// weight is the workspace's weight now: raised while it gets less for its weight than others do.
func (p *Pipeline) weight(now time.Time, workspace resource.Workspace) (weight float64) {
	p.Advice.With(func(a *Advice) {
		weight = a.Shares.Weight(now, workspace.Meta.Name, workspace.Weight)
	})
	return weight
}

// resolve finds the adapter version that the request names, or its adapter's current one.
func resolve(
	current configuration.Configuration, identity api.Identity, request completion.Request,
) (ref model.Reference, baseModel string, err error) {
	missing := refusal.New(refusal.ModelNotFound, "there is no model "+request.Model()).WithParam("model")
	adapter, found := current.Adapter(request.Adapter)
	if !found || !allowed(adapter.Workspaces, identity.Workspace) {
		return ref, "", missing
	}
	version := request.Version
	if version == "" {
		version = adapter.Current
	}
	if _, found := current.AdapterVersion(request.Adapter, version); !found {
		return ref, "", missing
	}
	return model.Reference{Adapter: request.Adapter, Version: version}, adapter.BaseModel, nil
}

// judge refuses a request that has crashed upstreams, or has it run apart from other suspects or alone.
func (p *Pipeline) judge(run *completionRun) error {
	verdict, retryAfter := suspect.Free, time.Duration(0)
	p.Advice.With(func(a *Advice) {
		verdict, retryAfter = a.Suspects.Judge(time.Now(), run.fingerprint)
	})
	run.alone = verdict == suspect.Alone
	run.apart = verdict == suspect.Apart
	if verdict == suspect.Refused {
		return refusal.New(refusal.SuspectRefused, "upstreams crashed each time this request ran").
			WithRetryAfter(retryAfter)
	}
	return nil
}

// ---------------------------------------------------------------------------------------------

// runTries places and dispatches until the request is answered or can't be any more.
func (p *Pipeline) runTries(ctx context.Context, run *completionRun) (err error) {
	defer func() { err = run.truthful(err) }()
	for {
		found, err := p.findPlace(ctx, run)
		if err != nil {
			return err
		}
		outcome, err := p.dispatch(ctx, run, found)
		if errors.Is(err, errPlaceAlone) {
			continue
		}
		if err != nil {
			return err
		}
		again, err := p.judgeOutcome(ctx, run, found, outcome)
		if !again {
			return err
		}
	}
}

// truthful takes "not run" out of the refusal of a request that an earlier try may have run. Whoever
// decides on the last try knows nothing of the ones before; a caller that believed it would have the
// request run, and pay for it, twice.
func (run *completionRun) truthful(err error) error {
	if err == nil || !run.mayHaveRun {
		return err
	}
	if refused := refusal.From(err); refused.Run() == refusal.NotRun {
		return refused.WithRun(refusal.Unknown)
	}
	return err
}

// errPlaceAlone means that the request became a suspect while it waited: it needs a place for itself.
var errPlaceAlone = errors.New("pipeline: the request has to run alone")

// judgeAgain judges a request that has waited. Its caller may have sent it many times at once, and the
// first of them may have crashed upstreams since: judged only when they came, each of those that were
// queued by then would crash one more.
func (p *Pipeline) judgeAgain(run *completionRun) error {
	before := run.alone
	if err := p.judge(run); err != nil {
		return err
	}
	if run.alone && !before {
		return errPlaceAlone
	}
	return nil
}

// dispatch sends the request to its place. What must hold is checked right before, after everything
// that may have waited; an error means that nothing was sent.
func (p *Pipeline) dispatch(ctx context.Context, run *completionRun, found *place) (engine.Outcome, error) {
	current, err := p.stillServed(run.identity)
	if err == nil {
		_, _, err = resolve(current, run.identity, run.request.WithVersion(run.model.Version))
	}
	if err == nil {
		err = p.judgeAgain(run)
	}
	if err != nil {
		p.release(found, holder.Released{})
		return nil, err
	}
	run.upstream = found.upstream.Meta.Name
	outcome := p.Engine(found.upstream.Address).Complete(ctx, engine.Dispatch{
		ID:       run.dispatchID(),
		API:      run.request.API,
		Model:    run.model.String(),
		Priority: run.request.Priority,
		Body:     run.request.Body(run.model.String()),
	}, run.meter)
	return outcome, nil
}

// judgeOutcome gives the place back, learns from the outcome and decides whether to try again. A
// request of which the caller has seen something is never run again: its tokens would not go on from
// where they stopped.
func (p *Pipeline) judgeOutcome(
	ctx context.Context, run *completionRun, found *place, outcome engine.Outcome,
) (again bool, err error) {
	released := releasedBy(outcome, run.meter)
	p.learn(run, found, outcome, released)
	if mayRunOn(outcome) {
		go p.runStop(run.dispatchID(), found, released)
	} else {
		p.release(found, released)
	}
	switch o := outcome.(type) {
	case engine.Completed:
		run.meter.usage = o.Usage
		return false, nil
	case engine.Cancelled:
		if errors.Is(o.Err, errOverspent) {
			return false, refusal.New(refusal.UpstreamFailed, "the upstream generated more than was asked for")
		}
		return false, ended(ctx, refusal.Unknown)
	case engine.Rejected:
		return false, refusal.New(refusal.BadRequest, "the upstream refused the request: "+o.Message)
	case engine.NotResident, engine.Full, engine.NotRun:
		run.exclude = append(run.exclude, found.upstream.Meta.Name)
		busy := refusal.New(refusal.Busy, "the upstream did not take the request").WithRetryAfter(time.Second)
		return time.Now().Before(run.deadline) && p.mayRetry(), busy
	}
	run.mayHaveRun = true
	failed := refusal.New(refusal.UpstreamFailed, "the upstream failed while the request ran")
	if run.meter.began || ctx.Err() != nil {
		return false, failed
	}
	run.exclude = append(run.exclude, found.upstream.Meta.Name)
	if verdict := p.judge(run); verdict != nil {
		return false, refusal.From(verdict).WithRun(refusal.Unknown)
	}
	return time.Now().Before(run.deadline) && p.mayRetry(), failed
}

func releasedBy(outcome engine.Outcome, m *meter) holder.Released {
	released := holder.Released{Tokens: float64(m.tokens)}
	switch outcome.(type) {
	case engine.NotResident, engine.WrongModel:
		released.NotResident = true // either way the holder's belief about the version is wrong
	case engine.Failed, engine.Unknown:
		released.UpstreamFailed = true
	}
	return released
}

// mayRetry asks the budget of retries, so that a failing fleet is not sent its whole load twice.
func (p *Pipeline) mayRetry() (allowed bool) {
	p.Advice.With(func(a *Advice) {
		allowed = a.Retries.Allow()
	})
	if allowed {
		p.Scope.Counter("retries").Inc(1)
	}
	return allowed
}

// learn tells the route how the upstream did, and the suspects whether the request survived it.
func (p *Pipeline) learn(run *completionRun, found *place, outcome engine.Outcome, released holder.Released) {
	now := time.Now()
	p.Advice.With(func(a *Advice) {
		a.Router.Ended(now, route.Outcome{
			Upstream: found.upstream.Meta.Name,
			Tokens:   released.Tokens,
			Took:     now.Sub(found.granted),
			Failed:   released.UpstreamFailed,
		})
		switch outcome.(type) {
		case engine.Completed:
			workspace, _ := p.Current().Configuration.Workspace(run.identity.Workspace)
			a.Shares.Served(now, run.identity.Workspace, workspace.Weight, released.Tokens)
			a.Suspects.Completed(now, run.fingerprint)
		default:
			if isCrash(outcome) {
				a.Suspects.Crashed(now, []suspect.Fingerprint{run.fingerprint})
			}
		}
	})
	p.tellCrash(outcome)
}

// tellCrash has the other instances told of a crash at once. Told with the next heartbeat only, a caller
// that sends its request again to another instance crashes one engine more there.
func (p *Pipeline) tellCrash(outcome engine.Outcome) {
	if isCrash(outcome) && p.Crashed != nil {
		p.Crashed()
	}
}

// isCrash tells whether the upstream itself went away under the request. A connection that went silent
// is no crash: counted as one, requests behind a broken way would be refused as suspects. An engine that
// is back before the stream is asked for again is one, although it confirms that it runs nothing.
func isCrash(outcome engine.Outcome) bool {
	switch o := outcome.(type) {
	case engine.Failed:
		return o.Lost
	case engine.Unknown:
		return o.Lost
	}
	return false
}

// ---------------------------------------------------------------------------------------------

// ended tells why a request's context ended. Run is what is known of the request then.
func ended(ctx context.Context, run refusal.Run) error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ErrWithdrawn):
		return withdrawn().WithRun(run)
	case errors.Is(cause, ErrStale):
		return refusal.New(refusal.NotFresh, "this instance cannot confirm the key any more").
			WithRun(run).WithRetryAfter(time.Second)
	case errors.Is(cause, ErrTooLong):
		return refusal.New(refusal.Deadline, "the request ran for too long").WithRun(run)
	}
	return refusal.New(refusal.Cancelled, "the caller went away").WithRun(run)
}

// finished counts how the request ended for the burn report, and logs it.
func (p *Pipeline) finished(run *completionRun, err error) {
	event := p.Log.Info()
	refused := refusal.From(err)
	if err != nil {
		event = p.Log.Warn().Str("Code", string(refused.Code())).Str("Run", string(refused.Run()))
	}
	event.Str("RequestId", run.request.ID).Str("Workspace", run.identity.Workspace).
		Str("Upstream", run.upstream).Str("Model", run.model.String()).Int("Tries", run.tries).
		Dur("WaitedLoad", run.waitedLoad).Dur("WaitedQueue", run.waitedQueue).
		Dur("Took", time.Since(run.began)).Msg("Completion")
	p.Scope.Counter("completions").Inc(1)
	if run.waitedLoad > 0 {
		p.Scope.Counter("load_stalls").Inc(1)
		p.Scope.Timer("load_stall").Record(run.waitedLoad)
	}
	if err != nil && !isFault(refused.Code()) {
		return
	}
	p.Burn.Record(run.identity.Workspace, burn.Answered, err == nil)
	if err == nil {
		p.Burn.Record(run.identity.Workspace, burn.FirstToken, p.firstTokenInTime(run))
	}
}

// isFault tells the refusals that break the promise to answer from those that are the caller's own
// doing or its workspace's rate.
func isFault(code refusal.Code) bool {
	switch code {
	case refusal.RateLimited, refusal.RequestExceedsBurst, refusal.KeyWithdrawn, refusal.BadRequest,
		refusal.ModelNotFound, refusal.Cancelled, refusal.SuspectRefused:
		return false
	}
	return true
}

func (p *Pipeline) firstTokenInTime(run *completionRun) bool {
	workspace, found := p.Current().Configuration.Workspace(run.identity.Workspace)
	if !found || workspace.Objectives.FirstTokenWithin <= 0 {
		return true
	}
	return run.meter.firstToken.Sub(run.began) <= workspace.Objectives.FirstTokenWithin
}
