package residence

import (
	"slices"
	"time"
)

// outcomes.go is what the outcome of an order tells of the upstream.

// Ordered takes note of an order's outcome.
//
// An order without an answer is given again at once, for the same count of accepted orders. If the first
// was accepted, the second finds it so; if it was not, the second takes its place and the first is void
// when it comes late. Waiting for the upstream's report instead would hold up everything that waits for an
// adapter there for half a second each time.
func (p *Planner) Ordered(now time.Time, order Order, outcome Outcome) {
	p.prepare()
	repeated := p.unanswered != nil
	if outcome != NoAnswer {
		p.unanswered = nil
	}
	if known := p.places[order.Adapter]; known != nil && outcome != NoAnswer {
		known.leaving = false
	}
	switch outcome {
	case Accepted:
		p.accepted(now, order)
	case Holds:
		p.holds(now, order, repeated)
	case Conflict:
		if repeated {
			p.accepted(now, order) // the first one was
			return
		}
		p.doubt(now, reportLag)
	case NoAnswer:
		p.noAnswer(now, order)
	case Rejected, Fenced, OtherUpstream:
		p.doubt(now, reportLag)
	}
}

// noAnswer has the order given again, after some repeats only once a report came. The order is kept until
// the upstream has accepted it or another: until then the first copy may still be carried out.
func (p *Planner) noAnswer(now time.Time, order Order) {
	if p.unanswered == nil {
		p.repeats = 0
	}
	p.repeats++
	p.unanswered = &order
	p.repeatAt = now.Add(repeatAfter)
	if p.repeats > mostRepeats {
		p.repeats = 0
		p.doubt(now, reportLag)
	}
}

// doubt makes the planner wait for a report that is newer than the last order.
func (p *Planner) doubt(now time.Time, wait time.Duration) {
	p.known = false
	p.inspectAt = now.Add(wait)
}

func (p *Planner) accepted(now time.Time, order Order) {
	known := p.places[order.Adapter]
	if known != nil && (known.state == unloading && order.Unload || known.ordered > 0 && !order.Unload) {
		known.checkAt = now.Add(p.checkPause(order.Adapter, known)) // a check, and the order is still being carried out
		return
	}
	p.sequence = order.Sequence + 1
	if order.Unload {
		if known != nil {
			known.state = unloading
			known.checkAt = now.Add(checkAgain)
		}
		return
	}
	if known == nil {
		known = &place{state: loading, used: now}
		p.places[order.Adapter] = known
	}
	known.ordered = max(order.Version, p.newest[order.Adapter], 1)
	known.asked = order.Version
	known.reload = slices.Contains(p.recent, order.Adapter)
	known.orderedAt = now
	known.checks = 0
	known.checkAt = now.Add(p.firstCheck(order.Adapter, known))
	p.remember(order.Adapter)
}

// holds: a load or unload is done, by this order or before it.
func (p *Planner) holds(now time.Time, order Order, repeated bool) {
	known := p.places[order.Adapter]
	if order.Unload {
		if known == nil || known.state != unloading {
			p.sequence = order.Sequence + 1
		}
		delete(p.places, order.Adapter)
		return
	}
	if known == nil {
		known = &place{}
		p.places[order.Adapter] = known
	}
	if repeated && known.ordered == 0 {
		p.sequence = order.Sequence + 1
	}
	p.learnLoad(now, order.Adapter, known)
	known.state = loaded
	known.version = max(order.Version, known.version, known.ordered)
	known.ordered = 0
	known.used = now
	known.reservedUntil = now.Add(reserved)
}
