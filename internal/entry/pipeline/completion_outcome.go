package pipeline

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/route"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
	"lacewingrock.example/lacewingrock/internal/upstream/engine"
)

// completion_outcome.go takes in how a try at an upstream ended: the place is given back, the route and the
// suspects learn from it, and it is decided whether to try again.

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
	p.State.WithLock(func(a *SharedState) {
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
	p.State.WithLock(func(a *SharedState) {
		a.Router.RecordOutcome(now, route.Outcome{
			Upstream: found.upstream.Meta.Name,
			Tokens:   released.Tokens,
			Took:     now.Sub(found.granted),
			Failed:   released.UpstreamFailed,
		})
		switch outcome.(type) {
		case engine.Completed:
			workspace, _ := p.Current().Configuration.Workspace(run.identity.Workspace)
			a.Shares.Served(now, run.identity.Workspace, workspace.Weight, released.Tokens)
			a.Suspects.RecordCompletion(now, run.fingerprint)
		default:
			if isCrash(outcome) {
				a.Suspects.RecordCrash(now, []suspect.Fingerprint{run.fingerprint})
			}
		}
	})
	p.tellCrash(outcome)
}

// tellCrash has the other instances told of a crash at once. Told with the next heartbeat only, a caller
// that sends its request again to another instance crashes one engine more there.
func (p *Pipeline) tellCrash(outcome engine.Outcome) {
	if isCrash(outcome) && p.OnUpstreamCrash != nil {
		p.OnUpstreamCrash()
	}
}

// isCrash tells whether the upstream itself went away under the request. A connection that went silent
// is no crash: counted as one, requests behind a broken way would be refused as suspects. An engine that
// is back before the stream is asked for again is one, although it confirms that it runs nothing.
func isCrash(outcome engine.Outcome) bool {
	switch o := outcome.(type) {
	case engine.Failed:
		return o.EngineLost
	case engine.Unknown:
		return o.EngineLost
	}
	return false
}
