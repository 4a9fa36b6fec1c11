package node

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
)

// hearing.go takes over what the others tell, and answers them.

// learnHeld takes over what a holder says of its upstreams.
func (n *Node) learnHeld(beat mesh.Beat) {
	now := time.Now()
	n.advice.With(func(a *serve.Advice) {
		for _, residency := range beat.Residencies {
			a.Pool.LearnResidency(now, residency)
		}
		for id, load := range beat.Held {
			a.Pool.LearnHeld(now, id, load)
		}
	})
}

// hear takes over what a peer tells.
func (n *Node) hear(beat mesh.Beat) {
	now := time.Now()
	switch beat.Tells {
	case mesh.TellsLoads:
		n.advice.With(func(a *serve.Advice) { a.Pool.LearnLoads(now, beat.Instance, beat.Loads) })
		n.holdings.look()
	case mesh.TellsSpent:
		n.advice.With(func(a *serve.Advice) { a.Ledger.Hear(now, beat.Instance, beat.Incarnation, beat.Spent) })
	case mesh.TellsAll:
		n.hearAll(now, beat)
	case mesh.TellsRevision:
	}
}

// hearAll takes over a whole heartbeat.
func (n *Node) hearAll(now time.Time, beat mesh.Beat) {
	n.beats.setAway(now, beat.Instance, beat.StoreAway)
	caller := roster.Instance{Name: beat.Instance, Incarnation: beat.Incarnation, Address: beat.Address}
	if n.beats.hear(now, caller) {
		n.Log.Info().Str("Peer", beat.Instance).Int64("Revision", beat.Revision).Msg("PeerHeard")
	}
	n.advice.With(func(a *serve.Advice) {
		a.Ledger.Hear(now, beat.Instance, beat.Incarnation, beat.Spent)
		a.Pool.LearnLoads(now, beat.Instance, beat.Loads)
		a.Suspects.Merge(now, beat.Instance, beat.Suspects)
	})
	n.learnHeld(beat)
	n.holdings.look()
}

// Exchange answers a peer's heartbeat with what the peer told of itself.
func (n *Node) Exchange(beat mesh.Beat) (answer mesh.Beat) {
	n.hear(beat)
	switch beat.Tells {
	case mesh.TellsLoads:
		return n.heldBeat(beat.Instance)
	case mesh.TellsSpent:
		return n.spentBeat()
	case mesh.TellsRevision:
		answer = n.revisionBeat()
	case mesh.TellsAll:
		answer = n.beat(beat.Instance)
	}
	if n.isBehind(beat) {
		n.beats.catchUp(beat)
	}
	return answer
}

// isBehind tells whether a peer knows changes that this instance does not.
func (n *Node) isBehind(beat mesh.Beat) bool {
	n.knowledge.mutex.Lock()
	defer n.knowledge.mutex.Unlock()
	revision := n.knowledge.replica.Revision()
	if beat.Revision == revision && beat.ConfirmedAge >= 0 {
		n.confirm(time.Now().Add(-beat.ConfirmedAge))
	}
	return beat.Revision > revision
}

// CatchUp gives a peer what it lacks.
func (n *Node) CatchUp(after int64) replica.Batch {
	n.knowledge.mutex.Lock()
	defer n.knowledge.mutex.Unlock()
	return n.knowledge.replica.Since(after)
}
