package residence

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// classes.go orders the waiting adapters under contention: by the share of the workspace, by priority, by demand and by
// arrival.

const (
	// replicaDemand is how many times the demand of a waiting request's adapter a replica must have to get an adapter
	// slot before it: a caller waits for the request, and none for the replica.
	replicaDemand = 4
	// The floor is the part of the grants that a starved adapter gets whatever its class: one of floorInterval grants
	// goes to an adapter that, or whose class, has waited for more than starvationWait. A quarter of the grants keeps
	// the lowest class served and delays the others little.
	starvationWait = time.Second
	floorInterval  = 4
)

// Class is the class of a request: whether its workspace is over its share, and its priority, of which 0 is the
// highest.
type Class struct {
	OverShare bool
	Priority  int
}

// precedes reports whether a class goes before another.
func (c Class) precedes(other Class) bool { return c.compare(other) < 0 }

func (c Class) compare(other Class) int {
	if c.OverShare != other.OverShare {
		if other.OverShare {
			return -1
		}
		return 1
	}
	return cmp.Compare(c.Priority, other.Priority)
}

func (r Request) class() Class { return Class{OverShare: r.OverShare, Priority: r.Priority} }

// magnitude returns a demand in powers of two. An adapter of unknown demand counts as one that is requested once a
// second.
func magnitude(demand float64) int { return math.Ilogb(max(demand, 1)) }

// standing determines the place of a waiting adapter in the order: the properties of its requests of the highest class.
type standing struct {
	adapter     traffic.Adapter
	class       Class
	onTimeUntil time.Time
	demand      float64
	replica     bool
	since       time.Time
	// requests are those that wait for the adapter, and contended: no adapter slot was free for one of them.
	requests  []Request
	contended bool
}

// addToClass adds a request to the standing of its adapter.
func (p *Planner) addToClass(now time.Time, w *waiterGroup, request Request) {
	w.standing.adapter = request.Adapter
	if len(w.standing.requests) == 0 || w.standing.replica && !request.Replica {
		w.standing.since = now
	}
	if !request.Replica {
		if p.classWait(now, request).expected > 0 {
			w.standing.contended = true
			p.classes.recordPressure(now, request.class())
		}
	}
	w.standing.requests = append(w.standing.requests, request)
	w.standing.update()
}

// removeFromClass removes a request from the standing of its adapter.
func (w *waiterGroup) removeFromClass(request Request) {
	if len(w.standing.requests) == 0 {
		return
	}
	i := max(slices.Index(w.standing.requests, request), 0)
	w.standing.requests = slices.Delete(w.standing.requests, i, i+1)
	w.standing.update()
}

// update derives the standing from its requests. Where any request waits, those for a replica count for the demand
// only.
func (s *standing) update() {
	s.demand = 0
	s.replica = !slices.ContainsFunc(s.requests, func(r Request) bool { return !r.Replica })
	first := true
	for _, request := range s.requests {
		s.demand = max(s.demand, request.Demand)
		if request.Replica != s.replica {
			continue
		}
		order := request.class().compare(s.class)
		if first || order < 0 {
			s.class, s.onTimeUntil = request.class(), request.OnTimeUntil
		}
		if order == 0 && request.OnTimeUntil.After(s.onTimeUntil) {
			s.onTimeUntil = request.OnTimeUntil
		}
		first = false
	}
}

// precedes reports whether an adapter goes before another.
func (s *standing) precedes(now time.Time, other *standing) bool { return s.compare(now, other) < 0 }

func (s *standing) compare(now time.Time, other *standing) int {
	if order := s.class.compare(other.class); order != 0 {
		return order
	}
	if late := now.After(s.onTimeUntil); late != now.After(other.onTimeUntil) {
		if late {
			return 1
		}
		return -1
	}
	switch {
	case s.replica && !other.replica:
		return -other.compareToReplica(s)
	case !s.replica && other.replica:
		return s.compareToReplica(other)
	}
	return cmp.Or(
		cmp.Compare(magnitude(other.demand), magnitude(s.demand)),
		s.since.Compare(other.since),
		cmp.Compare(s.adapter.Model, other.adapter.Model),
		cmp.Compare(s.adapter.Name, other.adapter.Name),
	)
}

// compareToReplica orders an adapter for which requests wait, and a replica of the same class.
func (s *standing) compareToReplica(replica *standing) int {
	if replica.demand >= replicaDemand*max(s.demand, 1) {
		return 1
	}
	return -1
}

// byClass lists the adapters that are waited for and are not resident, in their order. Each replica is put before all
// requests of its class that follow the last one which it may not precede.
func (p *Planner) byClass(now time.Time) (order []*standing) {
	var replicas []*standing
	for adapter, w := range p.waiters {
		switch {
		case p.residents[adapter] != nil:
		case w.standing.replica:
			replicas = append(replicas, &w.standing)
		default:
			order = append(order, &w.standing)
		}
	}
	compare := func(a, b *standing) int { return a.compare(now, b) }
	slices.SortFunc(order, compare)
	slices.SortFunc(replicas, compare)
	for _, replica := range replicas {
		at := len(order)
		for at > 0 && replica.precedes(now, order[at-1]) {
			at--
		}
		order = slices.Insert(order, at, replica)
	}
	return order
}

// grantOrder lists the waiting adapters in the order in which they get adapter slots. Under contention, adapters are
// omitted if only reserved adapter slots are left for them.
func (p *Planner) grantOrder(now time.Time) (list []traffic.Adapter) {
	if !p.Contention {
		return p.adaptersByUrgency(now)
	}
	order := p.byClass(now)
	if p.isReserveClosed(now) {
		lowest := p.classes.lowest(now)
		order = slices.DeleteFunc(order, func(s *standing) bool { return s.class.level(lowest) >= lowest })
	}
	starved := p.starved(now, order)
	p.classes.floorPick = traffic.Adapter{}
	if starved != nil {
		p.classes.floorPick = starved.adapter
		list = append(list, starved.adapter)
	}
	for _, s := range order {
		if s != starved {
			list = append(list, s.adapter)
		}
	}
	return list
}

// starved returns the adapter that the floor puts first, nil if there is none. It is one that has waited for too long
// itself, or is of a class that has: of the class that has been without a grant for longest, the one that has waited
// longest.
//
// Requests wait only for a part of their objective, and most of those of the lowest class are refused, so that no
// single one may ever wait for starvationWait.
func (p *Planner) starved(now time.Time, order []*standing) (first *standing) {
	if p.classes.sinceFloor < floorInterval-1 {
		return nil
	}
	var classWaited time.Duration
	for _, s := range order {
		without := p.classes.starvedFor(now, s.class)
		if s.replica || max(now.Sub(s.since), without) <= starvationWait {
			continue
		}
		if first == nil || without > classWaited || without == classWaited && s.since.Before(first.since) {
			classWaited, first = without, s
		}
	}
	return first
}
