package residence

import (
	"slices"
	"time"
)

// outcomes.go updates the planner's state from the outcomes of orders.

// RecordOutcome records an order's outcome.
//
// An order without a response is repeated at once with the same sequence number. If the upstream accepted the first
// copy, it answers the second accordingly. If it did not, the second copy replaces the first, which is void when it
// arrives late. Waiting for the upstream's report instead would delay every request that waits for an adapter there
// by half a second each time.
func (p *Planner) RecordOutcome(now time.Time, order Order, outcome Outcome) {
	p.ensureInitialised()
	repeated := p.unanswered != nil
	if outcome != NoAnswer {
		p.unanswered = nil
	}
	if r := p.residents[order.Adapter]; r != nil && outcome != NoAnswer {
		r.unloadOrdered = false
	}
	switch outcome {
	case Accepted:
		p.recordAccepted(now, order)
	case AlreadyDone:
		p.recordDone(now, order, repeated)
	case Conflict:
		if repeated {
			p.recordAccepted(now, order) // the first copy was accepted
			return
		}
		p.invalidate(now, reportLag)
	case NoAnswer:
		p.scheduleRepeat(now, order)
	case Rejected, Fenced, OtherUpstream:
		p.invalidate(now, reportLag)
	}
}

// scheduleRepeat schedules the order's repetition; after maxRepeats repeats it waits for a report first. The order is
// kept until the upstream has accepted it or another one: until then the first copy may still be executed.
func (p *Planner) scheduleRepeat(now time.Time, order Order) {
	if p.unanswered == nil {
		p.repeats = 0
	}
	p.repeats++
	p.unanswered = &order
	p.repeatAt = now.Add(repeatDelay)
	if p.repeats > maxRepeats {
		p.repeats = 0
		p.invalidate(now, reportLag)
	}
}

// invalidate marks the upstream's state as unknown. The planner gives no order until it has a report newer than the
// last order, and fetches one after the given wait.
func (p *Planner) invalidate(now time.Time, wait time.Duration) {
	p.stateKnown = false
	p.fetchAt = now.Add(wait)
}

func (p *Planner) recordAccepted(now time.Time, order Order) {
	r := p.residents[order.Adapter]
	if r != nil && (r.state == unloading && order.Unload || r.loadingVersion > 0 && !order.Unload) {
		r.pollAt = now.Add(p.pollDelay(order.Adapter, r)) // the response to a poll: the order is still being executed
		return
	}
	p.countAccepted(now, order)
	if order.Unload {
		if r != nil {
			r.state = unloading
			r.pollAt = now.Add(pollInterval)
		}
		return
	}
	if r == nil {
		r = &resident{state: loading, usedAt: now}
		p.residents[order.Adapter] = r
		p.recordGrant(now, order.Adapter)
	}
	r.loadingVersion = max(order.Version, p.newest[order.Adapter], 1)
	r.orderedVersion = order.Version
	r.reload = slices.Contains(p.recent, order.Adapter)
	r.orderedAt = now
	r.polls = 0
	r.pollAt = now.Add(p.firstPollDelay(order.Adapter, r))
	p.rememberRecent(order.Adapter)
}

// countAccepted records that the upstream has accepted an order, by its response.
func (p *Planner) countAccepted(now time.Time, order Order) {
	p.sequence = order.Sequence + 1
	p.acceptedAt = now
}

// recordDone records that a load or unload has finished, by this order or an earlier one.
func (p *Planner) recordDone(now time.Time, order Order, repeated bool) {
	r := p.residents[order.Adapter]
	if order.Unload {
		if r == nil || r.state != unloading {
			p.countAccepted(now, order)
		}
		delete(p.residents, order.Adapter)
		return
	}
	if r == nil {
		r = &resident{}
		p.residents[order.Adapter] = r
	}
	if repeated && r.loadingVersion == 0 {
		p.countAccepted(now, order)
	}
	p.recordLoadTime(now, order.Adapter, r)
	r.state = loaded
	r.version = max(order.Version, r.version, r.loadingVersion)
	r.loadingVersion = 0
	r.usedAt = now
	r.reservedUntil = now.Add(reservationTime)
}
