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
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
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
	ctx, leave := p.RunningRequests.enter(ctx, identity)
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
		deadline:    now.Add(p.DispatchTimeout),
	}
	if workspace, found := current.Workspace(identity.Workspace); found {
		run.weight = p.weight(now, workspace)
	}
	run.model, run.baseModel, err = resolve(current, identity, request)
	if err != nil {
		return nil, err
	}
	p.State.WithLock(func(a *SharedState) {
		a.Retries.CountFirstTry()
	})
	return run, p.judge(run)
}

// weight is the workspace's weight now: raised while it gets less for its weight than others do.
func (p *Pipeline) weight(now time.Time, workspace resource.Workspace) (weight float64) {
	p.State.WithLock(func(a *SharedState) {
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
	p.State.WithLock(func(a *SharedState) {
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
