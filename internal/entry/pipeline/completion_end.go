package pipeline

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/report/burn"
)

// completion_end.go is the end of a completion: why its context ended, and what is counted and logged.

// ended tells why a request's context ended. Run is what is known of the request then.
func ended(ctx context.Context, run refusal.Run) error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ErrKeyWithdrawn):
		return withdrawn().WithRun(run)
	case errors.Is(cause, ErrKeyUnconfirmed):
		return refusal.New(refusal.NotFresh, "this instance cannot confirm the key any more").
			WithRun(run).WithRetryAfter(time.Second)
	case errors.Is(cause, ErrReservationExpired):
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
