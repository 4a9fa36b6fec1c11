package pipeline

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/report/burn"
)

// This file ends a completion: it translates the cause that ended its context, and logs and counts the result.

// contextRefusal returns the refusal for the cause that ended a request's context. Run states whether the
// request may have run.
func contextRefusal(ctx context.Context, run refusal.Run) error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ErrKeyWithdrawn):
		return keyWithdrawn().WithRun(run)
	case errors.Is(cause, ErrKeyUnconfirmed):
		return refusal.New(refusal.NotFresh, "this instance cannot confirm the key any more").
			WithRun(run).WithRetryAfter(time.Second)
	case errors.Is(cause, ErrReservationExpired):
		return refusal.New(refusal.Deadline, "the request ran for too long").WithRun(run)
	}
	return refusal.New(refusal.Cancelled, "the caller went away").WithRun(run)
}

// reportCompletion logs how the request ended and counts it for the burn report.
func (p *Pipeline) reportCompletion(run *completionRun, err error) {
	event := p.Log.Info()
	refused := refusal.From(err)
	if err != nil {
		event = p.Log.Warn().Str("Code", string(refused.Code())).Str("Run", string(refused.Run()))
	}
	event.Str("RequestId", run.request.ID).Str("Workspace", run.identity.Workspace).
		Str("Upstream", run.upstream).Str("Model", run.model.String()).Int("Tries", run.attempts).
		Dur("WaitedLoad", run.waitedLoad).Dur("WaitedQueue", run.waitedQueue).
		Dur("Took", time.Since(run.startedAt)).Msg("Completion")
	p.Scope.Counter("completions").Inc(1)
	if run.waitedLoad > 0 {
		p.Scope.Counter("load_stalls").Inc(1)
		p.Scope.Timer("load_stall").Record(run.waitedLoad)
	}
	if err != nil && !violatesObjective(refused.Code()) {
		return
	}
	p.Burn.Record(run.identity.Workspace, burn.Answered, err == nil)
	if err == nil {
		p.Burn.Record(run.identity.Workspace, burn.FirstToken, p.firstTokenOnTime(run))
	}
}

// violatesObjective reports whether a refusal counts against the service level objective. Refusals caused by
// the caller or by its workspace's rate limit do not.
func violatesObjective(code refusal.Code) bool {
	switch code {
	case refusal.RateLimited, refusal.RequestExceedsBurst, refusal.KeyWithdrawn, refusal.BadRequest,
		refusal.ModelNotFound, refusal.Cancelled, refusal.SuspectRefused:
		return false
	}
	return true
}

func (p *Pipeline) firstTokenOnTime(run *completionRun) bool {
	workspace, found := p.Current().Configuration.Workspace(run.identity.Workspace)
	if !found || workspace.Objectives.FirstTokenWithin <= 0 {
		return true
	}
	return run.meter.firstToken.Sub(run.startedAt) <= workspace.Objectives.FirstTokenWithin
}
