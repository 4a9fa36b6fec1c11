package serve

import (
	"context"
	"math"
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/telemetry/logline"
)

// rate.go charges a request to the rate of its workspace.

const (
	// maxChargeTime bounds the wait for a coordinator. An answer takes some milliseconds, and more where processors are
	// short of time; to decide without it is to decide from totals that are older.
	maxChargeTime = 200 * time.Millisecond
	// chargeTimeOfObjective is the part of a route's objective that a request may wait for a coordinator.
	chargeTimeOfObjective = 0.25
)

// chargeRate charges the request's cost to its workspace's rate. It refuses the request if the workspace is over its
// rate.
func (j *job) chargeRate(ctx context.Context) error {
	if j.workspace.Rate <= 0 {
		return nil // no limit, or a route without a workspace
	}
	workspace := j.workspace.Name
	coordinator := j.handler.Fleet.RateCoordinator(workspace)
	var decision quota.Decision
	j.handler.State.WithLock(func(state *SharedState) { decision = state.Ledger.Begin(time.Now(), workspace, j.cost, coordinator) })
	if asked, pending := decision.(quota.Asked); pending {
		decision = j.askCoordinator(ctx, coordinator, asked.Charge)
	}
	switch decision := decision.(type) {
	case quota.Admitted:
		j.publishEstimated(decision)
		return nil
	case quota.Refused:
		j.logRateLimited(coordinator, decision.RetryAfter)
		return refusal.New(refusal.RateLimited, "the workspace is over its rate").WithRetryAfter(decision.RetryAfter)
	}
	return nil
}

func (j *job) askCoordinator(ctx context.Context, coordinator quota.Coordinator, charge quota.Charge) (decision quota.Decision) {
	var verdict quota.Verdict = quota.Unanswered{}
	if peer, found := coordinator.(quota.Peer); found {
		// If the caller leaves, the verdict still matters: the coordinator has counted the charge.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), j.chargeTime())
		defer cancel()
		verdict = j.handler.Fleet.ChargeCoordinator(ctx, peer, charge)
	}
	j.handler.State.WithLock(func(state *SharedState) { decision = state.Ledger.Finish(time.Now(), charge, verdict) })
	return decision
}

// chargeTime returns how long the request waits for a coordinator.
func (j *job) chargeTime() time.Duration {
	if j.route.Objective <= 0 {
		return maxChargeTime
	}
	return min(maxChargeTime, time.Duration(chargeTimeOfObjective*float64(j.route.Objective)))
}

// publishEstimated sends the totals of this instance to the others at once where no coordinator has charged the request, and
// the others may admit against the same tokens.
func (j *job) publishEstimated(admitted quota.Admitted) {
	if !admitted.Estimated {
		return
	}
	urgent := false
	j.handler.State.WithLock(func(state *SharedState) { urgent = len(state.Ledger.TakeUrgentRecipients(time.Now())) > 0 })
	if urgent {
		j.handler.Fleet.PublishSpent()
	}
}

// logRateLimited logs what the refusal of a request over its workspace's rate was based on.
func (j *job) logRateLimited(coordinator quota.Coordinator, retryAfter time.Duration) {
	var estimate quota.Estimate
	j.handler.State.WithLock(func(state *SharedState) { estimate = state.Ledger.Estimate(time.Now(), j.workspace.Name) })
	j.step("rateLimited").Str(logline.FieldWorkspace, j.workspace.Name).Float64("Cost", j.cost).Float64("Level", math.Round(estimate.Level)).
		Float64("Rate", estimate.Rate).Int("ActivePeers", estimate.ActivePeers).
		Int64("OldestTotalMillis", estimate.OldestTotal.Milliseconds()).Str("Coordinator", coordinatorName(coordinator)).
		Int64("RetryAfterMillis", retryAfter.Milliseconds()).Msg("Decision")
}

func coordinatorName(coordinator quota.Coordinator) string {
	switch coordinator := coordinator.(type) {
	case quota.Self:
		return "self"
	case quota.Peer:
		return coordinator.Name
	}
	return ""
}
