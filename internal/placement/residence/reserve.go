package residence

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// reserve.go reserves half of the adapter slots for higher priorities (trunk reservation), and keeps what is known of
// the use of each resident adapter. It applies under contention only.

// adapterUse is what requests of an adapter have stated.
type adapterUse struct {
	// class is the highest class of its requests, and usedAt when a request of that class last used it.
	class  Class
	usedAt time.Time
	// demand is the last one stated, at demandAt.
	demand   float64
	demandAt time.Time
}

// RecordRequest records a request for an adapter at its arrival, whether it has to wait or not.
func (p *Planner) RecordRequest(now time.Time, request Request) {
	if !p.Contention {
		return
	}
	p.ensureInitialised()
	if !request.Replica {
		p.classes.recordRequest(now, request.class())
	}
	if p.residents[request.Adapter] != nil {
		p.recordUse(now, request)
	}
}

// recordUse updates the use of a resident adapter.
func (p *Planner) recordUse(now time.Time, request Request) {
	use := p.uses[request.Adapter]
	if class := request.class(); !request.Replica || use.usedAt.IsZero() {
		if now.Sub(use.usedAt) > knownFor || !use.class.precedes(class) {
			use.class, use.usedAt = class, now
		}
	}
	if request.Demand > 0 {
		use.demand, use.demandAt = request.Demand, now
	}
	p.uses[request.Adapter] = use
}

// recordGrant records that an adapter gets an adapter slot.
func (p *Planner) recordGrant(now time.Time, adapter traffic.Adapter) {
	if !p.Contention || adapter.Name == "" {
		return
	}
	for other := range p.uses {
		if p.residents[other] == nil {
			delete(p.uses, other)
		}
	}
	w := p.waiters[adapter]
	if w == nil {
		return // its last request has stopped waiting since
	}
	s := w.standing
	for _, request := range s.requests {
		p.recordUse(now, request)
	}
	p.grant = Grant{
		Adapter: adapter, Class: s.class, Demand: s.demand, Replica: s.replica, Waited: now.Sub(s.since),
		Floor: adapter == p.classes.floorPick,
	}
	p.classes.sinceFloor++
	if p.grant.Floor {
		p.classes.sinceFloor = 0
	}
	if !s.replica {
		p.classes.recordGrant(now, s.class, s.contended)
	}
}

// Grant is the decision to give an adapter slot to an adapter.
type Grant struct {
	Adapter traffic.Adapter
	Class   Class
	Demand  float64
	// Replica: no request waited for the adapter.
	Replica bool
	Waited  time.Duration
	// Floor: it went before others, because it, or its class, had waited for too long.
	Floor bool
}

// TakeGrant returns the last grant, once.
func (p *Planner) TakeGrant() (grant Grant, found bool) {
	grant, p.grant = p.grant, Grant{}
	return grant, grant.Adapter.Name != ""
}

// demandMagnitude is the demand of a resident adapter in powers of two, as lately stated.
func (p *Planner) demandMagnitude(now time.Time, adapter traffic.Adapter) int {
	use := p.uses[adapter]
	if now.Sub(use.demandAt) > knownFor {
		return 0
	}
	return magnitude(use.demand)
}

// isReserveClosed reports whether adapters that only the lowest priority uses get no further adapter slot: a higher
// priority has lately found none, and they occupy half of them.
func (p *Planner) isReserveClosed(now time.Time) bool {
	lowest := p.classes.lowest(now)
	return p.classes.isPressed(now, lowest) && p.lowestOccupied(now, lowest) >= p.lowestShare()
}

// lowestShare is how many adapter slots the lowest priority may occupy while the reserve applies.
func (p *Planner) lowestShare() int { return max(p.Engine.AdapterSlots/2, 1) }

// lowestOccupied counts the adapter slots that hold adapters used only by the lowest priority.
func (p *Planner) lowestOccupied(now time.Time, lowest int) (count int) {
	for adapter, r := range p.residents {
		if adapter.Name == "" || r.state == unloading || p.isIdle(now, adapter, r) {
			continue
		}
		use, known := p.uses[adapter]
		if known && use.class.level(lowest) >= lowest {
			count++
		}
	}
	return count
}
