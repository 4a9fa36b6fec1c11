package node

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
)

// peer_loop.go keeps a loop for each peer, which exchanges heartbeats with it and fetches what it knows and
// this instance does not.

// peerLoop exchanges heartbeats with one peer.
type peerLoop struct {
	node     *Node
	instance roster.Instance
	seen     time.Time
	stop     context.CancelFunc
	touched  chan struct{}
	// urgent asks for a whole heartbeat at once.
	urgent chan struct{}
	// news asks for the peer to be told of a new revision at once.
	news chan struct{}
	// spent asks for the peer to be told at once of what this instance has admitted.
	spent chan struct{}
	// ahead carries a heartbeat of the peer that showed changes this instance lacks.
	ahead chan mesh.Beat
}

// runBeats keeps a loop for each peer.
func (n *Node) runBeats(ctx context.Context) error {
	for pause(ctx, matchEvery) {
		n.matchPeers(ctx, time.Now())
	}
	n.beats.mutex.Lock()
	defer n.beats.mutex.Unlock()
	for _, loop := range n.beats.peers {
		loop.stop()
	}
	return nil
}

// known lists the instances of the roster, and those that have called lately though the roster does not
// show them: an instance that the store turns away right after its start knows the others only so. The
// lock is held.
func (b *beats) known(now time.Time, instances []roster.Instance) []roster.Instance {
	listed := make(map[string]bool, len(instances))
	for _, instance := range instances {
		listed[instance.Name] = true
	}
	for name, caller := range b.callers {
		if !listed[name] && now.Sub(b.heard[name]) < keepPeer {
			instances = append(instances, caller)
		}
	}
	return instances
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
	for _, instance := range n.beats.known(now, instances) {
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
	loop := &peerLoop{
		node: n, instance: instance, stop: cancel, touched: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
		news: make(chan struct{}, 1), spent: make(chan struct{}, 1), ahead: make(chan mesh.Beat, 1),
	}
	n.beats.peers[instance.Name] = loop
	go loop.run(ctx)
	return loop
}

// run exchanges heartbeats until the context ends. Of each pair the one with the smaller name calls; the
// other only does when it has not been called for a while. What is told in between does not put the next
// heartbeat off: where there is much news, a peer that gets no heartbeats would count as silent.
func (l *peerLoop) run(ctx context.Context) {
	n := l.node
	l.exchange(ctx, n.beat(l.instance.Name))
	due := time.Now().Add(n.beats.pace())
	for ctx.Err() == nil {
		switch l.wait(ctx, due) {
		case wokenByTouch:
			l.exchange(ctx, n.loadBeat(l.instance.Name))
		case wokenByNews:
			l.exchange(ctx, n.revisionBeat())
		case wokenBySpending:
			l.exchange(ctx, n.spentBeat())
		case wokenByUrgency:
			l.exchange(ctx, n.beat(l.instance.Name))
		case wokenByTime:
			due = time.Now().Add(n.beats.pace())
			if n.self.Name < l.instance.Name || !n.beats.isAlive(time.Now(), l.instance.Name) {
				l.exchange(ctx, n.beat(l.instance.Name))
			}
		case wokenByPeer:
		}
	}
}

// exchange sends a heartbeat and takes over what the peer answers. A failure is not logged here: the
// silence is, when the peer is heard again.
func (l *peerLoop) exchange(ctx context.Context, own mesh.Beat) {
	exchanging, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	beat, err := l.node.peers.Exchange(exchanging, l.instance.Address, own)
	if err != nil {
		return
	}
	if beat.Tells == mesh.TellsLoads {
		l.node.learnHeld(beat) // a holder's word on its upstreams, not its own loads
		return
	}
	l.node.hear(beat)
	if beat.Tells != mesh.TellsSpent {
		l.catchUp(ctx, beat)
	}
}

// woken is why a loop goes on.
type woken string

const (
	wokenByTime     woken = "time"
	wokenByTouch    woken = "touch"
	wokenByNews     woken = "news"
	wokenBySpending woken = "spending"
	wokenByUrgency  woken = "urgency"
	wokenByPeer     woken = "peer"
)

// wait ends when the next heartbeat is due, or at once when there is news of or for the peer.
func (l *peerLoop) wait(ctx context.Context, due time.Time) woken {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-l.touched:
		pause(ctx, touchPause)
		return wokenByTouch
	case beat := <-l.ahead:
		l.catchUp(ctx, beat)
		return wokenByPeer
	case <-l.news:
		return wokenByNews
	case <-l.spent:
		return wokenBySpending
	case <-l.urgent:
		return wokenByUrgency
	case <-timer.C:
	case <-ctx.Done():
	}
	return wokenByTime
}

const (
	// catchUpTimeout bounds how long a peer may take to hand over what this instance lacks. A large
	// configuration takes a good part of a second on a slow link; cut off before, it would be fetched again
	// and again and never arrive.
	catchUpTimeout = 1500 * time.Millisecond
	// catchUpsAtOnce is from how many peers changes are fetched at the same time: several tell of one
	// revision at once, and its changes are needed once. The second is for a peer that falls silent.
	catchUpsAtOnce = 2
)

// beginCatchUp tells whether changes may be fetched from one more peer; if not, a later heartbeat asks again.
func (b *beats) beginCatchUp() bool {
	if b.catchingUp.Add(1) <= catchUpsAtOnce {
		return true
	}
	b.catchingUp.Add(-1)
	return false
}

func (b *beats) endCatchUp() { b.catchingUp.Add(-1) }

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
	if !n.beats.beginCatchUp() {
		return
	}
	defer n.beats.endCatchUp()
	asking, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	batch, err := n.peers.CatchUp(asking, l.instance.Address, revision)
	if err != nil {
		n.Log.Debug().Err(err).Str("Peer", l.instance.Name).Msg("CatchUpFailed")
		return
	}
	n.merge(batch, confirmed)
}
