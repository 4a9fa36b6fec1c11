package residence

import (
	"math"
	"slices"
	"time"
)

// class_wait.go estimates how long a request of a class waits for an adapter slot under contention.

const (
	// waitMargin is how many mean deviations a stated wait is above the expected one, so that most
	// stated waits are long enough.
	waitMargin = 3
	// reserveTurnover is how long an adapter of the lowest priority is assumed to occupy its adapter slot while the
	// reserve applies and the interval between grants to its class is unknown. Long answers take 2 to 5 s.
	reserveTurnover = 3 * time.Second
)

// wouldBeLateInClass is WouldBeLate under contention. The wait that it returns is the one to state to the caller. A
// request that does not get its adapter slot in time is refused even if one is expected soon after: it has other
// upstreams to ask. One that waits already is kept until its time is up, unless others have gone before it: the next
// slot may be its own.
func (p *Planner) wouldBeLateInClass(now time.Time, request Request, worthUntil time.Time) (time.Duration, bool) {
	wait := p.classWait(now, request)
	if wait.expected == 0 {
		return 0, false
	}
	needed := wait.expected
	if p.isWaiting(request) {
		needed -= wait.next
	}
	late := !now.Add(needed).Before(worthUntil)
	if late && !request.Replica {
		p.classes.recordRefusal(now, request.class(), wait.stated)
	}
	return wait.stated, late
}

// isWaiting reports whether a request is among the waiting ones.
func (p *Planner) isWaiting(request Request) bool {
	w := p.waiters[request.Adapter]
	return w != nil && slices.Contains(w.standing.requests, request)
}

// ClassWait returns the time within which a request gets an adapter slot, as it is stated to its caller.
func (p *Planner) ClassWait(now time.Time, request Request) time.Duration {
	return p.classWait(now, request).stated
}

// ExpectedClassWait returns the mean time until a request gets an adapter slot, by which the planner decides whether
// it is late. The wait that is stated to callers is longer, and would keep requests from upstreams that would grant
// them a slot in time.
func (p *Planner) ExpectedClassWait(now time.Time, request Request) time.Duration {
	return p.classWait(now, request).expected
}

// classWait is how long a request waits until its adapter's load begins: expected on average, and the wait to state.
// next is the part of the expected wait that follows the grants to all adapters before it.
type classWait struct{ expected, next, stated time.Duration }

// classWait estimates how long a request waits.
//
// It counts the adapters that go before it. Those of its own class get a slot at the measured interval of the class,
// which includes the grants to higher classes that arrive meanwhile, and the effects of the reserve and the floor.
func (p *Planner) classWait(now time.Time, request Request) classWait {
	if r := p.residents[request.Adapter]; r != nil && r.state == loading {
		return classWait{}
	}
	own := p.standingOf(now, request)
	ahead, sameClass := 0, 0
	for other, w := range p.waiters {
		if other == request.Adapter || p.residents[other] != nil || !w.standing.precedes(now, &own) {
			continue
		}
		ahead++
		if w.standing.class == own.class {
			sameClass++
		}
	}
	free := p.freeFor(now, own.class)
	if ahead < free {
		return classWait{}
	}
	expected := min(time.Duration(ahead-free+1)*p.pace(), p.floorWait(now, own.class, sameClass))
	s := p.classes.states[own.class]
	if s == nil || s.interval == 0 || now.Sub(s.pressedAt) > knownFor {
		if p.isReserveClosed(now) && free == 0 && own.class.level(p.classes.lowest(now)) >= p.classes.lowest(now) {
			expected = max(expected, time.Duration(sameClass+1)*reserveTurnover/time.Duration(p.lowestShare()))
		}
		return classWait{expected: expected, next: p.pace(), stated: expected + expected/2}
	}
	next := max(s.interval-p.classes.pressedFor(now, own.class), p.pace())
	expected = max(expected, time.Duration(sameClass)*s.interval+next)
	margin := waitMargin * math.Sqrt(float64(sameClass+1)) * float64(s.deviation)
	return classWait{expected: expected, next: next, stated: expected + time.Duration(margin)}
}

// floorWait is how long a request of a class waits until the floor puts it first, after the given number of its class.
func (p *Planner) floorWait(now time.Time, class Class, sameClass int) time.Duration {
	if p.classes.starvedFor(now, class) == 0 && class.level(p.classes.lowest(now)) < p.classes.lowest(now) {
		return math.MaxInt64 / 2
	}
	turns := time.Duration(floorInterval-min(p.classes.sinceFloor, floorInterval-1)) * p.pace()
	starving := max(starvationWait-p.classes.starvedFor(now, class), 0)
	return max(turns, starving+p.pace()) + time.Duration(sameClass)*max(floorInterval*p.pace(), starvationWait)
}

// standingOf is the standing of a request, together with those that wait for the same adapter.
func (p *Planner) standingOf(now time.Time, request Request) standing {
	own := standing{adapter: request.Adapter, since: now}
	if w := p.waiters[request.Adapter]; w != nil && len(w.standing.requests) > 0 {
		own = w.standing
	}
	own.requests = append(own.requests[:len(own.requests):len(own.requests)], request)
	own.update()
	return own
}

// freeFor is how many adapter slots that are empty or idle a class may get now.
func (p *Planner) freeFor(now time.Time, class Class) int {
	free := p.Engine.AdapterSlots - p.occupiedAdapterSlots(now)
	lowest := p.classes.lowest(now)
	if class.level(lowest) >= lowest && p.classes.isPressed(now, lowest) {
		free = min(free, p.lowestShare()-p.lowestOccupied(now, lowest))
	}
	return max(free, 0)
}
