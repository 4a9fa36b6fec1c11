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

// links.go opens the links that the topology asks for, and closes those that it does not any more.

const (
	// beatEvery is how often something goes over each link.
	beatEvery = 250 * time.Millisecond
	// matchEvery is how late a link is opened after the roster shows its other end.
	matchEvery = 125 * time.Millisecond
	// openAfter is how long, of two relays, the one with the greater name waits for the other to open their link.
	openAfter = 600 * time.Millisecond
	// lingerFor is how long a link stays that is not wanted any more: as instances come and go the relays change,
	// and may change back.
	lingerFor = time.Second
	// reopenPause is the pause between two tries of a link.
	reopenPause = 150 * time.Millisecond
	// seekAfter is how long nothing may be heard of a member until a relay opens a link to it.
	seekAfter = 1500 * time.Millisecond
)

// opener opens a link again and again while it is wanted.
type opener struct {
	node     *Node
	instance roster.Instance
	attached bool
	wanted   time.Time
	stop     context.CancelFunc
}

func (p *opener) run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		err := p.keep(ctx)
		if ctx.Err() != nil {
			return
		}
		p.node.overlay.setFailed(time.Now(), p.instance.Name)
		p.node.Log.Debug().Err(err).Str("Peer", p.instance.Name).Int64("TookMillis", time.Since(began).Milliseconds()).Msg("LinkLost")
		if errors.Is(err, errLinkSilent) {
			p.node.peers.Drop(p.instance.Address)
		}
		pause.For(ctx, reopenPause)
	}
}

// keep opens the link and keeps it until it breaks.
func (p *opener) keep(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	late := time.AfterFunc(linkSilent, cancel)
	stream, err := p.node.peers.Gossip(ctx, p.instance.Address)
	if !late.Stop() {
		return errLinkSilent
	}
	if err != nil {
		return err
	}
	end := newLinkEnd(p.node, stream, p.instance)
	end.attached = p.attached
	return end.run(ctx)
}

// Gossip serves a link that a peer has opened.
func (n *Node) Gossip(ctx context.Context, stream mesh.Stream) error {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	caller := roster.Instance{Name: first.Instance, Address: first.Address}
	n.overlay.addCaller(time.Now(), caller)
	end := newLinkEnd(n, stream, caller)
	end.link = gossip.Link{Attached: first.Attached}
	n.receive(ctx, end, first)
	return end.run(ctx)
}

// runGossip keeps the links, and has the own state refreshed and passed on.
func (n *Node) runGossip(ctx context.Context) error {
	n.refreshState(time.Now(), false)
	ticker := time.NewTicker(matchEvery)
	defer ticker.Stop()
	for beat := true; ctx.Err() == nil; {
		urgent := false
		n.matchLinks(ctx, time.Now())
		select {
		case <-ticker.C:
			beat = !beat
		case <-n.overlay.urged:
			urgent = true
			pause.For(ctx, gatherFor)
		case <-ctx.Done():
		}
		switch {
		case urgent && !n.overlay.urgentState.Load():
			n.refreshSpent(time.Now(), spentUrgent)
		case urgent || beat:
			n.refreshState(time.Now(), n.overlay.urgentState.Swap(false))
		}
		switch {
		case urgent:
			n.overlay.wake(false)
		case beat:
			n.overlay.wake(true)
			n.logLives()
		}
	}
	return nil
}

// matchLinks opens and closes links as instances come and go.
func (n *Node) matchLinks(ctx context.Context, now time.Time) {
	n.knowledge.mutex.Lock()
	instances := n.knowledge.roster.Instances()
	n.knowledge.mutex.Unlock()
	n.overlay.setMembers(now, instances)
	o := &n.overlay
	o.mutex.Lock()
	defer o.mutex.Unlock()
	members, topology := o.list()
	attached := !topology.IsRelay(n.self.Name)
	wanted := topology.Links(n.self, func(name string) bool { return now.Sub(o.failed[name]) > unreachableFor })
	wanted = append(wanted, o.sought(now, n.self.Name, members, topology)...)
	for _, instance := range wanted {
		n.matchLink(ctx, now, instance, attached)
	}
	for _, one := range o.opened {
		if now.Sub(one.wanted) > lingerFor {
			one.close(o)
		}
	}
}

// matchLink has a wanted link opened unless it is the other end's to open; the overlay is locked.
func (n *Node) matchLink(ctx context.Context, now time.Time, instance roster.Instance, attached bool) {
	o := &n.overlay
	before := o.opened[instance.Name]
	if before != nil && (before.instance.Address != instance.Address || before.attached != attached) {
		before.close(o)
		before = nil
	}
	own := attached || n.self.Name < instance.Name
	switch {
	case before == nil && (own || o.isUnlinked(now, instance.Name)):
		n.open(ctx, now, instance, attached)
	case before != nil && (own || o.linked[instance.Name] < 2):
		before.wanted = now
	}
}

// isUnlinked tells whether there has been no link with an instance for some time; the overlay is locked. Whether the
// instance is heard does not matter: what its relay passes on to others comes over a link of its own.
func (o *overlay) isUnlinked(now time.Time, name string) bool {
	if o.linked[name] > 0 {
		delete(o.unlinked, name)
		return false
	}
	since, found := o.unlinked[name]
	if !found {
		o.unlinked[name] = now
		return false
	}
	return now.Sub(since) > openAfter
}

// keepPeerConnections drops the connections to instances that are gone.
func (n *Node) keepPeerConnections() {
	n.overlay.mutex.Lock()
	addresses := make(map[string]bool, len(n.overlay.members))
	for _, one := range n.overlay.members {
		addresses[one.instance.Address] = true
	}
	n.overlay.mutex.Unlock()
	n.peers.Keep(addresses)
}

// sought lists the members of which nothing is heard and that are this relay's to look for; the lock is held.
func (o *overlay) sought(now time.Time, self string, members []roster.Instance, topology gossip.Topology) (list []roster.Instance) {
	for _, one := range members {
		silent := now.Sub(o.table.LastHeard(one.Name)) > seekAfter && now.Sub(o.members[one.Name].since) > seekAfter
		if one.Name != self && silent && !topology.IsRelay(one.Name) && topology.Sought(self, one.Name) {
			list = append(list, one)
		}
	}
	return list
}

// close ends an opener; the lock is held.
func (p *opener) close(o *overlay) {
	p.stop()
	delete(o.opened, p.instance.Name)
}

func (n *Node) open(ctx context.Context, now time.Time, instance roster.Instance, attached bool) {
	ctx, cancel := context.WithCancel(ctx)
	one := &opener{node: n, instance: instance, attached: attached, wanted: now, stop: cancel}
	n.overlay.opened[instance.Name] = one
	go one.run(ctx)
}

func (o *overlay) setFailed(now time.Time, name string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.failed[name] = now
}

// logLives logs who was heard again or fell silent.
func (n *Node) logLives() {
	heard, silent := n.overlay.changesOfLife(time.Now())
	for _, name := range heard {
		n.Log.Info().Str("Peer", name).Msg("PeerHeard")
	}
	for _, name := range silent {
		n.Log.Warn().Str("Peer", name).Msg("PeerSilent")
	}
}
