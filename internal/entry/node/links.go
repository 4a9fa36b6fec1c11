package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/fleet/gossip"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// links.go opens the gossip links that the topology requires, and closes those that it no longer requires.

const (
	// heartbeatInterval is how often a message is sent over each link.
	heartbeatInterval = 250 * time.Millisecond
	// reconcileLinksInterval bounds how long after the roster shows an instance the link to it is opened.
	reconcileLinksInterval = 125 * time.Millisecond
	// openFallbackDelay is how long a relay waits for a relay with a smaller name to open their link before it opens
	// the link itself.
	openFallbackDelay = 600 * time.Millisecond
	// unwantedLinkRetention is how long a link is kept after it is no longer required. The relays change as instances
	// come and go, and may change back.
	unwantedLinkRetention = time.Second
	// reopenPause is the pause between two attempts to open a link.
	reopenPause = 150 * time.Millisecond
	// probeSilentAfter is how long a member must be silent before a relay opens a link to it.
	probeSilentAfter = 1500 * time.Millisecond
)

// linkOpener opens a link, and reopens it while it is required.
type linkOpener struct {
	node       *Node
	instance   roster.Instance
	attached   bool
	lastWanted time.Time
	stop       context.CancelFunc
}

func (p *linkOpener) run(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		err := p.openAndRun(ctx)
		if ctx.Err() != nil {
			return
		}
		p.node.overlay.recordLinkFailure(time.Now(), p.instance.Name)
		p.node.Log.Debug().Err(err).Str("Peer", p.instance.Name).Int64("TookMillis", time.Since(start).Milliseconds()).Msg("LinkLost")
		if errors.Is(err, errLinkTimeout) {
			p.node.peers.Retire(p.instance.Address)
		}
		pause.For(ctx, reopenPause)
	}
}

// openAndRun opens the link and serves it until it breaks.
func (p *linkOpener) openAndRun(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(linkTimeout, cancel)
	stream, err := p.node.peers.Gossip(ctx, p.instance.Address)
	if !timeout.Stop() {
		return errLinkTimeout
	}
	if err != nil {
		return err
	}
	end := newLinkEnd(p.node, stream, p.instance)
	end.attached = p.attached
	return end.run(ctx)
}

// Gossip serves a link that a peer opened.
func (n *Node) Gossip(ctx context.Context, stream mesh.Stream) error {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	caller := roster.Instance{Name: first.Instance, Address: first.Address}
	n.overlay.addLinkOpener(time.Now(), caller)
	end := newLinkEnd(n, stream, caller)
	end.link = gossip.Link{Attached: first.Attached}
	n.receive(ctx, end, first)
	return end.run(ctx)
}

// runGossip opens and closes links, refreshes the state of this instance and sends it.
func (n *Node) runGossip(ctx context.Context) error {
	n.refreshState(time.Now(), false)
	ticker := time.NewTicker(reconcileLinksInterval)
	defer ticker.Stop()
	for heartbeat := true; ctx.Err() == nil; {
		urgent := false
		n.reconcileLinks(ctx, time.Now())
		select {
		case <-ticker.C:
			heartbeat = !heartbeat
		case <-n.overlay.sendRequested:
			urgent = true
			pause.For(ctx, batchDelay)
		case <-ctx.Done():
		}
		switch {
		case urgent && !n.overlay.stateSendRequested.Load():
			n.refreshSpent(time.Now(), spentImmediate)
		case urgent || heartbeat:
			n.refreshState(time.Now(), n.overlay.stateSendRequested.Swap(false))
		}
		switch {
		case urgent:
			n.overlay.requestMessages(false)
		case heartbeat:
			n.overlay.requestMessages(true)
			n.logLiveness()
		}
	}
	return nil
}

// reconcileLinks opens and closes links as instances come and go.
func (n *Node) reconcileLinks(ctx context.Context, now time.Time) {
	n.view.mutex.Lock()
	instances := n.view.roster.Instances()
	n.view.mutex.Unlock()
	n.overlay.setMembers(now, instances)
	o := &n.overlay
	o.mutex.Lock()
	defer o.mutex.Unlock()
	members, topology := o.membersAndTopology()
	attached := !topology.IsRelay(n.self.Name)
	required := topology.Links(n.self, func(name string) bool { return now.Sub(o.linkFailures[name]) > failedLinkAvoidance })
	required = append(required, o.silentMembers(now, n.self.Name, members, topology)...)
	for _, instance := range required {
		n.reconcileLink(ctx, now, instance, attached)
	}
	for _, opener := range o.openers {
		if now.Sub(opener.lastWanted) > unwantedLinkRetention {
			opener.close(o)
		}
	}
}

// reconcileLink opens a required link unless the other end has to open it. The overlay is locked.
func (n *Node) reconcileLink(ctx context.Context, now time.Time, instance roster.Instance, attached bool) {
	o := &n.overlay
	previous := o.openers[instance.Name]
	if previous != nil && (previous.instance.Address != instance.Address || previous.attached != attached) {
		previous.close(o)
		previous = nil
	}
	own := attached || n.self.Name < instance.Name
	switch {
	case previous == nil && (own || o.isLinkMissing(now, instance.Name)):
		n.openLink(ctx, now, instance, attached)
	case previous != nil && (own || o.linkCounts[instance.Name] < 2):
		previous.lastWanted = now
	}
}

// isLinkMissing reports whether there has been no link with an instance for some time. The overlay is locked. It does
// not matter whether messages of the instance arrive through others: the records that it relays reach this instance
// only over a direct link between the two.
func (o *overlay) isLinkMissing(now time.Time, name string) bool {
	if o.linkCounts[name] > 0 {
		delete(o.missingSince, name)
		return false
	}
	since, found := o.missingSince[name]
	if !found {
		o.missingSince[name] = now
		return false
	}
	return now.Sub(since) > openFallbackDelay
}

// retireStalePeerConnections retires the connections to instances that are gone, as far as the roster shows. They may
// still carry responses for this instance: one that stops does so until the last is complete, and the entry of one that
// cannot reach the store expires.
func (n *Node) retireStalePeerConnections() {
	n.overlay.mutex.Lock()
	addresses := make(map[string]bool, len(n.overlay.members))
	for _, entry := range n.overlay.members {
		addresses[entry.instance.Address] = true
	}
	n.overlay.mutex.Unlock()
	n.peers.RetireExcept(addresses)
}

// silentMembers lists the silent members that this relay has to contact. The caller holds the lock.
func (o *overlay) silentMembers(now time.Time, self string, members []roster.Instance, topology gossip.Topology) (list []roster.Instance) {
	for _, instance := range members {
		silent := now.Sub(o.table.LastAlive(instance.Name)) > probeSilentAfter && now.Sub(o.members[instance.Name].firstSeen) > probeSilentAfter
		if instance.Name != self && silent && !topology.IsRelay(instance.Name) && topology.ShouldProbe(self, instance.Name) {
			list = append(list, instance)
		}
	}
	return list
}

// close stops an opener. The caller holds the lock.
func (p *linkOpener) close(o *overlay) {
	p.stop()
	delete(o.openers, p.instance.Name)
}

func (n *Node) openLink(ctx context.Context, now time.Time, instance roster.Instance, attached bool) {
	ctx, cancel := context.WithCancel(ctx)
	opener := &linkOpener{node: n, instance: instance, attached: attached, lastWanted: now, stop: cancel}
	n.overlay.openers[instance.Name] = opener
	go opener.run(ctx)
}

func (o *overlay) recordLinkFailure(now time.Time, name string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.linkFailures[name] = now
}

// logLiveness logs which peers became alive or silent.
func (n *Node) logLiveness() {
	alive, silent := n.overlay.livenessChanges(time.Now())
	for _, name := range alive {
		n.Log.Info().Str("Peer", name).Msg("PeerHeard")
	}
	for _, name := range silent {
		n.Log.Warn().Str("Peer", name).Msg("PeerSilent")
	}
}
