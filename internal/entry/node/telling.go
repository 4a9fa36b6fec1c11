package node

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// telling.go gathers what this instance tells the others.

// beat is what this instance tells.
func (n *Node) beat() mesh.Beat {
	now := time.Now()
	beat := mesh.Beat{
		Instance:    n.self.Name,
		Incarnation: n.self.Incarnation,
		Address:     n.self.Address,
		Residencies: n.holdings.residencies(now),
		Stopping:    n.stopping.Load(),
		StoreAway:   n.storeAway.Load(),
	}
	n.stateRevision(&beat)
	n.advice.With(func(a *serve.Advice) {
		beat.Spent = a.Ledger.Own()
		beat.Loads = a.Pool.Own()
		beat.Suspects = a.Suspects.Own(now)
	})
	return beat
}

// loadBeat tells a holder at once what has begun or ended, and nothing else.
func (n *Node) loadBeat() mesh.Beat {
	beat := mesh.Beat{Instance: n.self.Name, Incarnation: n.self.Incarnation, Tells: mesh.TellsLoads}
	n.advice.With(func(a *serve.Advice) { beat.Loads = a.Pool.Own() })
	return beat
}

// spentBeat tells what this instance has admitted, and nothing else.
func (n *Node) spentBeat() mesh.Beat {
	beat := mesh.Beat{Instance: n.self.Name, Incarnation: n.self.Incarnation, Tells: mesh.TellsSpent}
	n.advice.With(func(a *serve.Advice) { beat.Spent = a.Ledger.Own() })
	return beat
}

// TellSpent tells some peers at once what this instance has admitted.
func (n *Node) TellSpent(names []string) { n.beats.tellSpent(names) }

// heldBeat answers an instance with what is under way at the upstreams that this one holds, and what is loaded
// there.
func (n *Node) heldBeat(asker string) mesh.Beat {
	now := time.Now()
	beat := mesh.Beat{
		Instance: n.self.Name, Incarnation: n.self.Incarnation, Tells: mesh.TellsLoads,
		Residencies: n.holdings.residencies(now), Loads: make(map[string]pool.Load),
	}
	n.advice.With(func(a *serve.Advice) {
		for _, residency := range beat.Residencies {
			beat.Loads[residency.Upstream] = a.Pool.Beside(now, residency.Upstream, asker)
		}
	})
	return beat
}

// revisionBeat tells a new revision, and nothing else.
func (n *Node) revisionBeat() mesh.Beat {
	beat := mesh.Beat{
		Instance: n.self.Name, Incarnation: n.self.Incarnation, Address: n.self.Address,
		StoreAway: n.storeAway.Load(), Tells: mesh.TellsRevision,
	}
	n.stateRevision(&beat)
	return beat
}

// stateRevision enters the revision, and how old the store's word on it is.
func (n *Node) stateRevision(beat *mesh.Beat) {
	n.knowledge.mutex.Lock()
	defer n.knowledge.mutex.Unlock()
	beat.Revision = n.knowledge.replica.Revision()
	beat.ConfirmedAge = -1
	if !n.knowledge.confirmed.IsZero() {
		beat.ConfirmedAge = time.Since(n.knowledge.confirmed)
	}
}
