package residence

import (
	"slices"
	"time"
)

// outcomes.go updates the planner's state from the outcomes of orders.

// RecordOutcome records an order's outcome.
//
// An order without an answer is repeated at once with the same sequence number. If the upstream accepted the first
// copy, it answers the second accordingly. If it did not, the second copy replaces the first, which is void when it
// arrives late. Waiting for the upstream's report instead would delay every request that waits for an adapter there
// by half a second each time.
func (p *Planner) RecordOutcome(now time.Time, order Order, outcome Outcome) {
	p.ensureInitialised()
	repeated := p.unanswered != nil
	if outcome != NoAnswer {
		p.unanswered = nil
	}
	if s := p.slots[order.Adapter]; s != nil && outcome != NoAnswer {
		s.unloadOrdered = false
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

// scheduleRepeat schedules the order's repetition; after maxRepeats repeats it waits for a report first. The order is kept
// until the upstream has accepted it or another one: until then the first copy may still be executed.
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

// invalidate marks the upstream's state as unknown. The planner gives no order until it has a report newer than the last
// order, and fetches one after the given wait.
func (p *Planner) invalidate(now time.Time, wait time.Duration) {
	p.stateKnown = false
	p.fetchAt = now.Add(wait)
}

func (p *Planner) recordAccepted(now time.Time, order Order) {
	s := p.slots[order.Adapter]
	if s != nil && (s.state == unloading && order.Unload || s.loadingVersion > 0 && !order.Unload) {
		s.pollAt = now.Add(p.pollDelay(order.Adapter, s)) // the answer to a poll: the order is still being executed
		return
	}
	p.sequence = order.Sequence + 1
	if order.Unload {
		if s != nil {
			s.state = unloading
			s.pollAt = now.Add(pollInterval)
		}
		return
	}
	if s == nil {
		s = &slot{state: loading, usedAt: now}
		p.slots[order.Adapter] = s
	}
	s.loadingVersion = max(order.Version, p.newest[order.Adapter], 1)
	s.orderedVersion = order.Version
	s.reload = slices.Contains(p.recent, order.Adapter)
	s.orderedAt = now
	s.polls = 0
	s.pollAt = now.Add(p.firstPoll(order.Adapter, s))
	p.rememberRecent(order.Adapter)
}

// recordDone records that a load or unload has finished, by this order or an earlier one.
func (p *Planner) recordDone(now time.Time, order Order, repeated bool) {
	s := p.slots[order.Adapter]
	if order.Unload {
		if s == nil || s.state != unloading {
			p.sequence = order.Sequence + 1
		}
		delete(p.slots, order.Adapter)
		return
	}
	if s == nil {
		s = &slot{}
		p.slots[order.Adapter] = s
	}
	if repeated && s.loadingVersion == 0 {
		p.sequence = order.Sequence + 1
	}
	p.recordLoadTime(now, order.Adapter, s)
	s.state = loaded
	s.version = max(order.Version, s.version, s.loadingVersion)
	s.loadingVersion = 0
	s.usedAt = now
	s.reservedUntil = now.Add(reservationTime)
}
