package pool

import "time"

// queue_limit.go computes the queue that a request would find and the longest one allowed, for the admission
// controller.

// QueueFound returns how long a request would wait at the chosen upstream before its work begins, and how long it may
// wait there if it is of the highest class: what Refuse allows, and at a plain service no more than where its
// upstreams are full.
func (p *Pool) QueueFound(now time.Time, query Query, choice Choice, budget TimeBudget) (queue, limit time.Duration) {
	queue = max(choice.Expected-choice.ExpectedIdle+choice.SlotWait, 0)
	limit = maxQueue(choice, budget)
	stats := p.statsOf(query.Service)
	u := p.upstreams[choice.Upstream.ID]
	if p.isGeneration(query) || u == nil || !stats.isCapacityKnown(now) {
		return queue, limit
	}
	full := max((1-headroom)*stats.capacity-1, 0)
	wait := scale(choice.Slowdown, stats.service.Latency(full)-stats.service.Latency(0))
	if wait > 0 {
		limit = min(limit, wait)
	}
	return queue, limit
}

// maxQueue is how long a request that would be late may wait in the queue of an upstream.
func maxQueue(choice Choice, budget TimeBudget) time.Duration {
	limit := scale(maxQueueFraction, budget.Objective)
	if choice.ExpectedIdle > budget.OnTime-limit {
		return budget.Objective
	}
	return limit
}
