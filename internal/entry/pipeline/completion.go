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

// completion.go runs one completion through all stages.

// completionRun is the state of one completion request.
type completionRun struct {
	identity    api.Identity
	request     completion.Request
	model       model.Reference
	baseModel   string
	weight      float64
	cost        float64
	fingerprint suspect.Fingerprint
	runAlone    bool
	runApart    bool
	startedAt   time.Time
	deadline    time.Time

	// State of the attempts so far.
	mayHaveRun  bool
	attempts    int
	requestedAt time.Time
	excluded    []string
	lastRefusal *peer.Refused
	waitedLoad  time.Duration
	waitedQueue time.Duration
	meter       *meter
	upstream    string
}

// dispatchID returns an ID that is unique to each attempt, because engines identify streams by it.
func (run *completionRun) dispatchID() string {
	return fmt.Sprintf("%s-%d", run.request.ID, run.attempts)
}

// Complete runs a completion. It returns nil once the sink has received the whole stream.
func (p *Pipeline) Complete(
	ctx context.Context, identity api.Identity, request completion.Request, sink api.Sink,
) (err error) {
	run, err := p.prepare(identity, request)
	if err != nil {
		return err
	}
	defer func() { p.reportCompletion(run, err) }()
	ctx, done := p.RunningRequests.add(ctx, identity)
	defer done()
	reservation, err := p.reserve(ctx, identity.Workspace, float64(request.MostTokens()))
	if err != nil {
		return err
	}
	run.meter = &meter{
		sink:         sink,
		reservation:  reservation,
		promptTokens: request.PromptTokens,
		maxTokens:    request.MaxTokens,
	}
	defer func() { reservation.Settle(run.meter.used()) }()
	ctx, cancel := withReservationDeadline(ctx, reservation.Deadline())
	defer cancel()
	return p.runAttempts(ctx, run)
}

// prepare resolves the requested model and checks whether the request may run.
func (p *Pipeline) prepare(identity api.Identity, request completion.Request) (*completionRun, error) {
	current, err := p.checkIdentity(identity)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	run := &completionRun{
		identity:    identity,
		request:     request,
		cost:        float64(request.PromptTokens + request.MaxTokens),
		fingerprint: suspect.Fingerprint(request.Fingerprint(identity.Workspace)),
		startedAt:   now,
		deadline:    now.Add(p.DispatchTimeout),
	}
	if workspace, found := current.Workspace(identity.Workspace); found {
		run.weight = p.effectiveWeight(now, workspace)
	}
	run.model, run.baseModel, err = resolveModel(current, identity, request)
	if err != nil {
		return nil, err
	}
	p.State.WithLock(func(state *SharedState) {
		state.Retries.CountFirstTry()
	})
	return run, p.checkSuspect(run)
}

// effectiveWeight returns the workspace's current weight, which is raised while the workspace is served less
// in proportion to its weight than others.
func (p *Pipeline) effectiveWeight(now time.Time, workspace resource.Workspace) (weight float64) {
	p.State.WithLock(func(state *SharedState) {
		weight = state.Shares.Weight(now, workspace.Meta.Name, workspace.Weight)
	})
	return weight
}

// resolveModel returns the adapter version that the request names, or else the adapter's current version.
func resolveModel(
	current configuration.Configuration, identity api.Identity, request completion.Request,
) (ref model.Reference, baseModel string, err error) {
	notFound := refusal.New(refusal.ModelNotFound, "there is no model "+request.Model()).WithParam("model")
	adapter, found := current.Adapter(request.Adapter)
	if !found || !workspaceAllowed(adapter.Workspaces, identity.Workspace) {
		return ref, "", notFound
	}
	version := request.Version
	if version == "" {
		version = adapter.Current
	}
	if _, found := current.AdapterVersion(request.Adapter, version); !found {
		return ref, "", notFound
	}
	return model.Reference{Adapter: request.Adapter, Version: version}, adapter.BaseModel, nil
}

// checkSuspect refuses a request that has crashed upstreams repeatedly. It marks a less certain suspect to run
// apart from other suspects, or alone.
func (p *Pipeline) checkSuspect(run *completionRun) error {
	var judged suspect.Judgement
	p.State.WithLock(func(state *SharedState) {
		judged = state.Suspects.Judge(time.Now(), run.fingerprint)
	})
	run.runAlone = judged.Verdict == suspect.Alone
	run.runApart = judged.Verdict == suspect.Apart
	if judged.Verdict == suspect.Refused {
		return refusal.New(refusal.SuspectRefused, "upstreams crashed each time this request ran").
			WithRetryAfter(judged.RetryAfter)
	}
	return nil
}

// ---------------------------------------------------------------------------------------------

// runAttempts acquires a batch slot and dispatches the request, until it is answered or no attempt is left.
func (p *Pipeline) runAttempts(ctx context.Context, run *completionRun) (err error) {
	defer func() { err = run.correctRunState(err) }()
	for {
		grant, err := p.acquireSlot(ctx, run)
		if err != nil {
			return err
		}
		outcome, err := p.dispatch(ctx, run, grant)
		if errors.Is(err, errMustRunAlone) {
			continue
		}
		if err != nil {
			return err
		}
		retry, err := p.handleOutcome(ctx, run, grant, outcome)
		if !retry {
			return err
		}
	}
}

// correctRunState replaces "not run" by "unknown" in a refusal if an earlier attempt may have run the request.
// The code that refuses the last attempt does not see the earlier ones. A caller that relied on "not run"
// would repeat the request, which would then run, and be paid for, twice.
func (run *completionRun) correctRunState(err error) error {
	if err == nil || !run.mayHaveRun {
		return err
	}
	if refused := refusal.From(err); refused.Run() == refusal.NotRun {
		return refused.WithRun(refusal.Unknown)
	}
	return err
}

// errMustRunAlone means that the request became a suspect while it waited, and needs a batch slot on an upstream
// where no other request runs.
var errMustRunAlone = errors.New("pipeline: the request became a suspect while queued and must run alone")

// recheckSuspect repeats checkSuspect after the request has waited. A caller may send the same request many
// times at once, and the first copy may have crashed upstreams since. If requests were checked only on
// arrival, each copy queued by then would crash another upstream.
func (p *Pipeline) recheckSuspect(run *completionRun) error {
	wasAlone := run.runAlone
	if err := p.checkSuspect(run); err != nil {
		return err
	}
	if run.runAlone && !wasAlone {
		return errMustRunAlone
	}
	return nil
}

// dispatch sends the request to the granted batch slot. It checks the key, the model and the suspects immediately
// before, after all steps that may wait. An error means that nothing was sent.
func (p *Pipeline) dispatch(ctx context.Context, run *completionRun, grant *slotGrant) (engine.Outcome, error) {
	current, err := p.checkIdentity(run.identity)
	if err == nil {
		_, _, err = resolveModel(current, run.identity, run.request.WithVersion(run.model.Version))
	}
	if err == nil {
		err = p.recheckSuspect(run)
	}
	if err != nil {
		p.release(grant, holder.Released{})
		return nil, err
	}
	run.upstream = grant.upstream.Meta.Name
	outcome := p.Engine(grant.upstream.Address).Complete(ctx, engine.Dispatch{
		ID:       run.dispatchID(),
		API:      run.request.API,
		Model:    run.model.String(),
		Priority: run.request.Priority,
		Body:     run.request.Body(run.model.String()),
	}, run.meter)
	return outcome, nil
}
