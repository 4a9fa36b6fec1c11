package node

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// telling.go gathers what this instance tells the others.

// beat is what this instance tells a peer.
func (n *Node) beat(peer string) mesh.Beat {
	beat := n.heldBeat(peer)
	beat.Address = n.self.Address
	beat.Tells = mesh.TellsAll
	beat.Stopping = n.stopping.Load()
	beat.StoreAway = n.storeAway.Load()
	n.stateRevision(&beat)
	toldTo := n.toldTo(peer)
	n.advice.With(func(a *serve.Advice) {
		beat.Spent = a.Ledger.Own()
		beat.Loads = a.Pool.Own(toldTo)
		beat.Suspects = a.Suspects.Own(time.Now())
	})
	return beat
}

// loadBeat tells a holder at once what has begun or ended, and nothing else.
func (n *Node) loadBeat(holder string) mesh.Beat {
	beat := mesh.Beat{Instance: n.self.Name, Incarnation: n.self.Incarnation, Tells: mesh.TellsLoads}
	toldTo := n.toldTo(holder)
	n.advice.With(func(a *serve.Advice) { beat.Loads = a.Pool.Own(toldTo) })
	return beat
}

// toldTo tells of which upstreams a peer has to know this instance's load. Where the heartbeats of all pairs come
// at full pace that is all. In a larger fleet only an upstream's holder is told, which adds up what it hears and
// tells the sum: told to everyone by everyone, the loads would be most of what goes between instances.
// Upstreams without a live holder, all plain services among them, are told to everyone.
func (n *Node) toldTo(peer string) func(upstream string) bool {
	if n.beats.isFullPace() {
		return func(string) bool { return true }
	}
	holders := n.knowledge.liveHolders()
	return func(upstream string) bool {
		holder, held := holders[upstream]
		return !held || holder == peer
	}
}

// tellNewHolder tells an instance at once what is under way at an upstream that it has just begun to hold; the
// knowledge is locked. Only the holder before was told in a large fleet, and until the next heartbeat the new one
// would take adapters that are in use for idle, and evict them.
func (n *Node) tellNewHolder(key string) {
	upstream, found := roster.HeldUpstream(key)
	holder, held := n.knowledge.roster.Holder(upstream)
	if !found || !held || holder.Instance == n.self.Name {
		return
	}
	var loads map[string]pool.Load
	n.advice.With(func(a *serve.Advice) {
		loads = a.Pool.Own(func(id string) bool { return id == upstream })
	})
	if len(loads) > 0 {
		n.beats.touch(holder.Instance)
	}
}

// spentBeat tells what this instance has admitted, and nothing else.
func (n *Node) spentBeat() mesh.Beat {
	beat := mesh.Beat{Instance: n.self.Name, Incarnation: n.self.Incarnation, Tells: mesh.TellsSpent}
	n.advice.With(func(a *serve.Advice) { beat.Spent = a.Ledger.Own() })
	return beat
}

// TellSpent tells some peers at once what this instance has admitted.
func (n *Node) TellSpent(names []string) { n.beats.tellSpent(names) }

// heldBeat tells a peer what the others have under way at the upstreams that this instance holds, and what is
// loaded there.
func (n *Node) heldBeat(peer string) mesh.Beat {
	now := time.Now()
	beat := mesh.Beat{
		Instance: n.self.Name, Incarnation: n.self.Incarnation, Tells: mesh.TellsLoads,
		Residencies: n.holdings.residencies(now), Held: make(map[string]pool.Load),
	}
	n.advice.With(func(a *serve.Advice) {
		for _, residency := range beat.Residencies {
			beat.Held[residency.Upstream] = a.Pool.Beside(now, residency.Upstream, peer)
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
