package node

import (
	"sync"
	"sync/atomic"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// beats.go tells the other instances what this one knows and does, and hears the same of them.

const (
	// beatEvery is how often each pair of instances exchanges what it knows, as long as there are at most
	// peersAtFullPace others. With more of them each pair exchanges less often, so that what one instance
	// sends and receives does not grow with the fleet.
	beatEvery       = 250 * time.Millisecond
	peersAtFullPace = 10
	// beatTimeout bounds one exchange.
	beatTimeout = 400 * time.Millisecond
	// aliveBeats is how many beats may be missing until a peer counts as silent.
	aliveBeats = 4
	// matchEvery is how late a loop begins after the roster shows its peer.
	matchEvery = 50 * time.Millisecond
	// keepPeer is how long a peer that left the roster is still told: entries lapse while the store is
	// away, and the instances need each other most then.
	keepPeer = 20 * time.Second
)

type beats struct {
	mutex sync.Mutex
	heard map[string]time.Time
	peers map[string]*peerLoop
	// callers are the instances that have called, whether the roster shows them or not.
	callers map[string]roster.Instance
	// catchingUp counts the peers from which changes are being fetched.
	catchingUp atomic.Int32
	// away are the peers that say they do not reach the store.
	away map[string]bool
}

// reads tells whether a peer can be left to read the store for all.
func (b *beats) reads(now time.Time, name string) bool {
	if !b.isAlive(now, name) {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return !b.away[name]
}

func (b *beats) setAway(name string, away bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.away == nil {
		b.away = make(map[string]bool)
	}
	b.away[name] = away
}

// beatPace is how often a pair exchanges, for a number of peers.
func beatPace(peers int) time.Duration {
	return beatEvery * time.Duration(max(peers, peersAtFullPace)) / peersAtFullPace
}

// isAlive tells whether a peer was heard lately.
func (b *beats) isAlive(now time.Time, name string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	at, found := b.heard[name]
	return found && now.Sub(at) <= aliveBeats*beatPace(len(b.peers))
}

// pace is how often each pair exchanges now.
func (b *beats) pace() time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return beatPace(len(b.peers))
}

func (b *beats) hear(now time.Time, caller roster.Instance) (first bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.heard == nil {
		b.heard = make(map[string]time.Time)
		b.callers = make(map[string]roster.Instance)
	}
	name := caller.Name
	before, found := b.heard[name]
	b.heard[name] = now
	b.callers[name] = caller
	return !found || now.Sub(before) > aliveBeats*beatPace(len(b.peers))
}

// catchUp has the changes fetched that a peer's heartbeat showed.
func (b *beats) catchUp(beat mesh.Beat) {
	b.mutex.Lock()
	loop := b.peers[beat.Instance]
	b.mutex.Unlock()
	if loop == nil {
		return
	}
	select {
	case loop.ahead <- beat:
	default: // they are about to be fetched
	}
}

// touchPause gathers what begins and ends within a few milliseconds into one heartbeat.
const touchPause = 8 * time.Millisecond

// touchAll has a whole heartbeat sent to all peers at once.
func (b *beats) touchAll() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, loop := range b.peers {
		select {
		case loop.urgent <- struct{}{}:
		default: // one is already due
		}
	}
}

// spreadTo is how many peers are told at once of a new revision. Each of them tells as many as soon as it has
// the changes, so that a fleet of eighty knows them after three or four steps; the heartbeats reach whom chance
// leaves out.
const spreadTo = 4

// spread tells some peers, drawn by chance, of a new revision. Where the heartbeats of all pairs come at full
// pace they tell it soon enough.
//
// Made for a fleet so large that each pair exchanges only every few seconds: a withdrawn key would work on, and
// an upstream that leaves get requests, for that long after one instance has read it in the store.
func (b *beats) spread() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.peers) <= peersAtFullPace {
		return
	}
	left := spreadTo
	for _, loop := range b.peers { // the runtime begins at a place drawn by chance
		if left == 0 {
			return
		}
		left--
		select {
		case loop.news <- struct{}{}:
		default: // it is about to be told
		}
	}
}

// tellSpent has all peers told at once of what this instance has admitted. Where the heartbeats of all pairs
// come at full pace they tell it soon enough.
func (b *beats) tellSpent() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.peers) <= peersAtFullPace {
		return
	}
	for _, loop := range b.peers {
		select {
		case loop.spent <- struct{}{}:
		default: // it is about to be told
		}
	}
}

// touch has a heartbeat sent to a peer at once.
func (b *beats) touch(name string) {
	b.mutex.Lock()
	loop := b.peers[name]
	b.mutex.Unlock()
	if loop == nil {
		return
	}
	select {
	case loop.touched <- struct{}{}:
	default: // one is already due
	}
}

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
	beat := mesh.Beat{Instance: n.self.Name, Incarnation: n.self.Incarnation, OnlyLoads: true}
	n.advice.With(func(a *serve.Advice) { beat.Loads = a.Pool.Own() })
	return beat
}

// spentBeat tells what this instance has admitted, and nothing else.
func (n *Node) spentBeat() mesh.Beat {
	beat := mesh.Beat{Instance: n.self.Name, Incarnation: n.self.Incarnation, OnlySpent: true}
	n.advice.With(func(a *serve.Advice) { beat.Spent = a.Ledger.Own() })
	return beat
}

// Spent tells the others at once what this instance has admitted.
func (n *Node) Spent() { n.beats.tellSpent() }

// heldBeat answers an instance with what is under way at the upstreams that this one holds, and what is loaded
// there.
func (n *Node) heldBeat(asker string) mesh.Beat {
	now := time.Now()
	beat := mesh.Beat{
		Instance: n.self.Name, Incarnation: n.self.Incarnation, OnlyLoads: true,
		Residencies: n.holdings.residencies(now), Loads: make(map[string]pool.Load),
	}
	n.advice.With(func(a *serve.Advice) {
		for _, residency := range beat.Residencies {
			beat.Loads[residency.Upstream] = a.Pool.Beside(now, residency.Upstream, asker)
		}
	})
	return beat
}

// learnHeld takes over what a holder says of its upstreams.
func (n *Node) learnHeld(beat mesh.Beat) {
	now := time.Now()
	n.advice.With(func(a *serve.Advice) {
		for _, residency := range beat.Residencies {
			a.Pool.LearnResidency(residency)
		}
		for id, load := range beat.Loads {
			a.Pool.LearnHeld(now, id, load)
		}
	})
}

// revisionBeat tells a new revision, and nothing else.
func (n *Node) revisionBeat() mesh.Beat {
	beat := mesh.Beat{
		Instance: n.self.Name, Incarnation: n.self.Incarnation, Address: n.self.Address,
		StoreAway: n.storeAway.Load(), OnlyRevision: true,
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

// hear takes over what a peer tells.
func (n *Node) hear(beat mesh.Beat) {
	now := time.Now()
	if beat.OnlyLoads {
		n.advice.With(func(a *serve.Advice) { a.Pool.LearnLoads(now, beat.Instance, beat.Loads) })
		n.holdings.look()
		return
	}
	if beat.OnlyRevision {
		return
	}
	if beat.OnlySpent {
		n.advice.With(func(a *serve.Advice) { a.Ledger.Hear(now, beat.Instance, beat.Incarnation, beat.Spent) })
		return
	}
	n.beats.setAway(beat.Instance, beat.StoreAway)
	caller := roster.Instance{Name: beat.Instance, Incarnation: beat.Incarnation, Address: beat.Address}
	if n.beats.hear(now, caller) {
		n.Log.Info().Str("Peer", beat.Instance).Int64("Revision", beat.Revision).Msg("PeerHeard")
	}
	n.advice.With(func(a *serve.Advice) {
		a.Ledger.Hear(now, beat.Instance, beat.Incarnation, beat.Spent)
		a.Pool.LearnLoads(now, beat.Instance, beat.Loads)
		a.Suspects.Merge(now, beat.Instance, beat.Suspects)
		for _, residency := range beat.Residencies {
			a.Pool.LearnResidency(residency)
		}
	})
	n.holdings.look()
}

// Exchange answers a peer's heartbeat.
func (n *Node) Exchange(beat mesh.Beat) mesh.Beat {
	n.hear(beat)
	if beat.OnlyLoads {
		return n.heldBeat(beat.Instance)
	}
	if beat.OnlySpent {
		return n.spentBeat()
	}
	answer := n.revisionBeat()
	if !beat.OnlyRevision {
		answer = n.beat()
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
