package node

import (
	"context"
	"sync"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
)

// beats.go tells the other instances what this one knows and does, and hears the same of them.

const (
	// beatEvery is how often each peer is told. Each pair exchanges twice in that time.
	beatEvery = 250 * time.Millisecond
	// beatTimeout bounds one exchange.
	beatTimeout = 400 * time.Millisecond
	// peerAlive is how long a peer counts as alive after it was heard.
	peerAlive = time.Second
	// keepPeer is how long a peer that left the roster is still told: entries lapse while the store is
	// away, and the instances need each other most then.
	keepPeer = 20 * time.Second
)

type beats struct {
	mutex sync.Mutex
	heard map[string]time.Time
	peers map[string]*peerLoop
}

// heardWithin tells whether a peer was heard lately.
func (b *beats) heardWithin(now time.Time, name string, within time.Duration) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	at, found := b.heard[name]
	return found && now.Sub(at) <= within
}

func (b *beats) hear(now time.Time, name string) (first bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.heard == nil {
		b.heard = make(map[string]time.Time)
	}
	before, found := b.heard[name]
	b.heard[name] = now
	return !found || now.Sub(before) > peerAlive
}

// peerLoop exchanges heartbeats with one peer.
type peerLoop struct {
	node     *Node
	instance roster.Instance
	seen     time.Time
	stop     context.CancelFunc
	touched  chan struct{}
}

// touchPause gathers what begins and ends within a few milliseconds into one heartbeat.
const touchPause = 8 * time.Millisecond

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

// runBeats keeps a loop for each peer.
func (n *Node) runBeats(ctx context.Context) error {
	for pause(ctx, tick) {
		n.matchPeers(ctx, time.Now())
	}
	n.beats.mutex.Lock()
	defer n.beats.mutex.Unlock()
	for _, loop := range n.beats.peers {
		loop.stop()
	}
	return nil
}

// matchPeers starts and ends loops as instances come and go.
func (n *Node) matchPeers(ctx context.Context, now time.Time) {
	n.knowledge.mutex.Lock()
	instances := n.knowledge.roster.Instances()
	n.knowledge.mutex.Unlock()
	n.beats.mutex.Lock()
	defer n.beats.mutex.Unlock()
	if n.beats.peers == nil {
		n.beats.peers = make(map[string]*peerLoop)
	}
	addresses := make(map[string]bool)
	for _, instance := range instances {
		if instance.Name == n.self.Name {
			continue
		}
		loop := n.beats.peers[instance.Name]
		if loop != nil && loop.instance.Address != instance.Address {
			loop.stop()
			loop = nil
		}
		if loop == nil {
			loop = n.startPeer(ctx, instance)
		}
		loop.seen = now
	}
	for name, loop := range n.beats.peers {
		if now.Sub(loop.seen) > keepPeer {
			loop.stop()
			delete(n.beats.peers, name)
			continue
		}
		addresses[loop.instance.Address] = true
	}
	n.peers.Keep(addresses)
}

func (n *Node) startPeer(ctx context.Context, instance roster.Instance) *peerLoop {
	ctx, cancel := context.WithCancel(ctx)
	loop := &peerLoop{node: n, instance: instance, stop: cancel, touched: make(chan struct{}, 1)}
	n.beats.peers[instance.Name] = loop
	go loop.run(ctx)
	return loop
}

// run exchanges heartbeats until the context ends.
func (l *peerLoop) run(ctx context.Context) {
	for l.wait(ctx) {
		exchanging, cancel := context.WithTimeout(ctx, beatTimeout)
		beat, err := l.node.peers.Exchange(exchanging, l.instance.Address, l.node.beat())
		cancel()
		if err != nil {
			continue // the silence is noticed by heardWithin, and logged there
		}
		l.node.hear(beat)
		l.catchUp(ctx, beat)
	}
}

// wait ends when the next heartbeat is due.
func (l *peerLoop) wait(ctx context.Context) bool {
	timer := time.NewTimer(beatEvery)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.touched:
		return pause(ctx, touchPause)
	case <-ctx.Done():
		return false
	}
}

// catchUp asks a peer for the changes that it knows and this instance does not.
func (l *peerLoop) catchUp(ctx context.Context, beat mesh.Beat) {
	n := l.node
	n.knowledge.mutex.Lock()
	revision := n.knowledge.replica.Revision()
	n.knowledge.mutex.Unlock()
	confirmed := time.Now().Add(-beat.ConfirmedAge)
	if beat.ConfirmedAge < 0 {
		confirmed = time.Time{}
	}
	if beat.Revision <= revision {
		if beat.Revision == revision {
			n.knowledge.mutex.Lock()
			n.confirm(confirmed)
			n.knowledge.mutex.Unlock()
		}
		return
	}
	asking, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	batch, err := n.peers.CatchUp(asking, l.instance.Address, revision)
	if err != nil {
		n.Log.Debug().Err(err).Str("Peer", l.instance.Name).Msg("CatchUpFailed")
		return
	}
	n.merge(batch, confirmed)
}

// beat is what this instance tells.
func (n *Node) beat() mesh.Beat {
	now := time.Now()
	beat := mesh.Beat{
		Instance:     n.self.Name,
		Incarnation:  n.self.Incarnation,
		ConfirmedAge: -1,
		Residencies:  n.holdings.residencies(now),
		Stopping:     n.stopping.Load(),
	}
	n.knowledge.mutex.Lock()
	beat.Revision = n.knowledge.replica.Revision()
	if !n.knowledge.confirmed.IsZero() {
		beat.ConfirmedAge = now.Sub(n.knowledge.confirmed)
	}
	n.knowledge.mutex.Unlock()
	n.advice.With(func(a *serve.Advice) {
		beat.Spent = a.Ledger.Own()
		beat.Loads = a.Pool.Own()
		beat.Suspects = a.Suspects.Own(now)
	})
	return beat
}

// hear takes over what a peer tells.
func (n *Node) hear(beat mesh.Beat) {
	now := time.Now()
	if n.beats.hear(now, beat.Instance) {
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
	return n.beat()
}

// CatchUp gives a peer what it lacks.
func (n *Node) CatchUp(after int64) replica.Batch {
	n.knowledge.mutex.Lock()
	defer n.knowledge.mutex.Unlock()
	return n.knowledge.replica.Since(after)
}

// Crashed is told by the handler; the next heartbeats carry the counts.
func (n *Node) Crashed() {}
