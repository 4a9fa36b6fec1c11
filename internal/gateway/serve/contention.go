package serve

import (
	"strconv"
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/contention"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// contention.go has the controller of admission decide about requests, where there is one.

// findClass sets the class of the request before its first attempt.
func (j *job) findClass() {
	if j.handler.Admission == nil {
		return
	}
	j.handler.State.WithLock(func(state *SharedState) {
		now := time.Now()
		admission := j.handler.Admission
		admission.Configure(&j.table.Configuration)
		if admission.IsUseDue(now) {
			admission.RecordUse(now, state.Ledger.FleetTotals(now))
		}
		j.class = admission.ClassOf(now, j.service, j.workspace.Name, j.priority)
		j.competes = j.yieldsToClasses() || admission.HasClasses(j.service)
	})
	j.overShare = j.class.Over
}

const (
	// overShareStep is added to the priority number that is stated to engines if the workspace of the request is over
	// its share, which lowers the priority.
	overShareStep = 3
	// lowestPriority is the lowest priority that engines know.
	lowestPriority = 9
)

// enginePriority returns the priority that is stated to the upstream.
func (j *job) enginePriority() int {
	if !j.overShare || j.priority >= lowestPriority {
		return j.priority
	}
	return min(j.priority+overShareStep, lowestPriority)
}

// shedByClass refuses a request that the controller does not admit. verdict is what placement says of it.
func (j *job) shedByClass(choice pool.Choice, query pool.Query, verdict contention.Verdict) error {
	budget := j.timeBudget()
	var decision contention.Decision
	var queue, limit time.Duration
	var share, use float64
	var label string
	j.handler.State.WithLock(func(state *SharedState) {
		now := time.Now()
		if verdict == contention.Fits {
			if _, refused := state.Pool.Refuse(now, query, choice, budget); refused {
				verdict = contention.TooLong
			}
		}
		if choice.Expected+choice.SlotWait > budget.Remaining {
			verdict = contention.Impossible
		}
		if j.isAdmitted(verdict) || query.Software != "" && verdict == contention.Fits {
			return // decided before, or the caller has already received a part of the stream
		}
		queue, limit = state.Pool.QueueFound(now, query, choice, budget)
		decision = j.handler.Admission.Decide(now, contention.Request{
			Service: j.service, Workspace: j.workspace.Name, Priority: j.priority, Cost: j.work(),
			Queue: queue, Limit: limit, Objective: budget.Objective,
			Remaining: budget.Remaining, Allowed: j.deadline.Sub(j.startedAt), Route: j.route.Name, Verdict: verdict,
		})
		share, use, _ = j.handler.Admission.Share(j.workspace.Name)
		label = j.handler.Admission.Label(j.workspace.Name)
	})
	switch decision := decision.(type) {
	case contention.Admit:
		j.admitted = &decision
		j.countAdmission(label, "admitted", decision.Class)
	case contention.Refuse:
		j.countAdmission(label, "refused", decision.Class)
		j.step("refused").Str("Reason", string(decision.Reason)).Str("Workspace", j.workspace.Name).Int("Priority", j.priority).
			Int("Level", decision.Class.Level).Bool("OverShare", decision.Class.Over).Float64("Share", share).Float64("Use", use).
			Str("Upstream", choice.Upstream.ID).Int("Running", choice.Running).Int64("QueueMillis", queue.Milliseconds()).
			Int64("LimitMillis", limit.Milliseconds()).Bool("Turn", decision.Scheduled).
			Int64("RetryAfterMillis", decision.RetryAfter.Milliseconds()).Msg("Decision")
		return refusal.New(refusal.Busy, "the service has more to do than fits").WithRetryAfter(decision.RetryAfter)
	}
	return nil
}

// yieldsToClasses reports whether other classes go before the request at a full service. A request of the highest
// class gets the time at which the next slot is expected to be free as its retry time, so that it may still be on
// time. Others get a part of the time that they have left.
func (j *job) yieldsToClasses() bool {
	return j.handler.Admission != nil && j.class != (contention.Class{})
}

// isAdmitted reports whether an earlier decision still holds for a request that looks for another upstream. A request
// that was admitted although the queue was too long stays admitted.
func (j *job) isAdmitted(verdict contention.Verdict) bool {
	switch {
	case j.admitted == nil || verdict == contention.Impossible:
		return false
	case verdict == contention.Fits:
		return true
	}
	return j.admitted.Floor || j.admitted.Returned
}

// timeBudget returns how long from now the request can wait.
func (j *job) timeBudget() pool.TimeBudget {
	return pool.TimeBudget{
		OnTime:    time.Until(j.startedAt.Add(j.route.Objective)),
		Remaining: time.Until(j.deadline),
		Objective: j.route.Objective,
	}
}

// work is the work of the request for an upstream, relative to others of its service.
func (j *job) work() float64 {
	return float64(max(j.call.Generation.PromptTokens+j.call.Generation.OutputTokens, 1))
}

// recordServed tells the controller that a request was served.
func (j *job) recordServed(now time.Time) {
	if j.handler.Admission != nil {
		j.handler.Admission.RecordCompletion(now, j.service, j.class, j.work())
	}
}

// recordBusyService tells the controller that all upstreams that were asked had no capacity for the request.
func (j *job) recordBusyService() {
	if j.handler.Admission == nil || j.shortestWait == 0 {
		return
	}
	j.handler.State.WithLock(func(*SharedState) { j.handler.Admission.RecordRefusal(time.Now(), j.service) })
}

// countAdmission adds a decision to the metrics.
func (j *job) countAdmission(workspace, outcome string, class contention.Class) {
	tags := map[string]string{
		"workspace": workspace, "priority": strconv.Itoa(j.priority), "outcome": outcome, "over_share": strconv.FormatBool(class.Over),
	}
	j.handler.Scope.Tagged(tags).Counter("admission_decisions").Inc(1)
}
