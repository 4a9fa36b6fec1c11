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

// completion_outcome.go processes the outcome of an attempt: it releases the batch slot, updates the router and the
// suspects, and decides whether to retry.

// handleOutcome releases the batch slot, records the outcome and decides whether to retry. A request whose caller has
// already received part of the response is never retried, because the tokens of a new attempt would not continue
// that part.
func (p *Pipeline) handleOutcome(
	ctx context.Context, run *completionRun, grant *slotGrant, outcome engine.Outcome,
) (retry bool, err error) {
	released := releaseReport(outcome, run.meter)
	p.recordOutcome(run, grant, outcome, released)
	if mayStillRun(outcome) {
		go p.cancelAndRelease(run.dispatchID(), grant, released)
	} else {
		p.release(grant, released)
	}
	switch o := outcome.(type) {
	case engine.Completed:
		run.meter.usage = o.Usage
		return false, nil
	case engine.Cancelled:
		if errors.Is(o.Err, errTooManyTokens) {
			return false, refusal.New(refusal.UpstreamFailed, "the upstream generated more than was asked for")
		}
		return false, contextRefusal(ctx, refusal.Unknown)
	case engine.Rejected:
		return false, refusal.New(refusal.BadRequest, "the upstream refused the request: "+o.Message)
	case engine.NotResident, engine.Full, engine.NotRun:
		run.excluded = append(run.excluded, grant.upstream.Meta.Name)
		busy := refusal.New(refusal.Busy, "the upstream did not take the request").WithRetryAfter(time.Second)
		return time.Now().Before(run.deadline) && p.allowRetry(), busy
	}
	run.mayHaveRun = true
	failed := refusal.New(refusal.UpstreamFailed, "the upstream failed while the request ran")
	if run.meter.started || ctx.Err() != nil {
		return false, failed
	}
	run.excluded = append(run.excluded, grant.upstream.Meta.Name)
	if verdict := p.checkSuspect(run); verdict != nil {
		return false, refusal.From(verdict).WithRun(refusal.Unknown)
	}
	return time.Now().Before(run.deadline) && p.allowRetry(), failed
}

func releaseReport(outcome engine.Outcome, m *meter) holder.Released {
	released := holder.Released{Tokens: float64(m.tokens)}
	switch o := outcome.(type) {
	case engine.NotResident, engine.WrongModel:
		released.NotResident = true // in both cases the holder's record of the loaded version is wrong
	case engine.Failed, engine.Unknown:
		released.UpstreamFailed = true
	case engine.Cancelled:
		// An engine that responds and runs nothing any more would otherwise be given one request after the other, each
		// until its deadline.
		released.UpstreamFailed = o.EngineSilent
	}
	return released
}

// allowRetry takes a retry from the retry budget, which keeps retries from doubling the load on a failing fleet.
func (p *Pipeline) allowRetry() (allowed bool) {
	p.State.WithLock(func(state *SharedState) {
		allowed = state.Retries.Allow()
	})
	if allowed {
		p.Scope.Counter("retries").Inc(1)
	}
	return allowed
}

// recordOutcome records the upstream's performance with the router, and with the suspects whether the request
// completed or crashed the upstream.
func (p *Pipeline) recordOutcome(run *completionRun, grant *slotGrant, outcome engine.Outcome, released holder.Released) {
	now := time.Now()
	p.State.WithLock(func(state *SharedState) {
		state.Router.RecordOutcome(now, route.Outcome{
			Upstream: grant.upstream.Meta.Name,
			Tokens:   released.Tokens,
			Took:     now.Sub(grant.grantedAt),
			Failed:   released.UpstreamFailed,
		})
		switch outcome.(type) {
		case engine.Completed:
			workspace, _ := p.Current().Configuration.Workspace(run.identity.Workspace)
			state.Shares.Served(now, run.identity.Workspace, workspace.Weight, released.Tokens)
			state.Suspects.RecordCompletion(now, run.fingerprint)
		default:
			if isCrash(outcome) {
				state.Suspects.RecordCrash(now, suspect.CrashUnder(grant.pin.ID), []suspect.Fingerprint{run.fingerprint})
			}
		}
	})
	p.notifyCrash(outcome)
}

// notifyCrash has the other instances notified of a crash immediately. If they learned of it only with the next
// heartbeat, a caller that repeats its request at another instance would crash another engine.
func (p *Pipeline) notifyCrash(outcome engine.Outcome) {
	if isCrash(outcome) && p.OnUpstreamCrash != nil {
		p.OnUpstreamCrash()
	}
}

// isCrash reports whether the upstream itself was lost while it ran the request. A silent connection is not a
// crash: if it counted, requests behind a broken network path would be refused as suspects. An engine that
// restarted before the stream was resumed did crash, although it confirms that it does not run the request.
func isCrash(outcome engine.Outcome) bool {
	switch o := outcome.(type) {
	case engine.Failed:
		return o.EngineLost
	case engine.Unknown:
		return o.EngineLost
	}
	return false
}
