package node

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/reach"
	"lacewingrock.example/lacewingrock/internal/telemetry/logline"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// upstream_connections.go opens the connections to upstreams: directly or, where this instance has lost its link,
// through a peer that reaches the upstream.
//
// It covers an instance that is partitioned from the upstreams while its callers and the other instances still reach it.
// On its own it would refuse or fail every request until the links are back.

const (
	// maxPeerConnections bounds the connections that this instance has open for peers. Its own callers come first.
	maxPeerConnections = 128
	// peerConnectionsInterval is how often a planned stop checks whether connections for peers are still open.
	peerConnectionsInterval = 20 * time.Millisecond
	// maxProbes bounds the probes of lost links that start at each tick.
	maxProbes = 4
	// maxStatedLost bounds the lost links in the state of an instance, which all others receive. A peer that is asked to
	// connect to one of the rest says so.
	maxStatedLost = 100
)

// links are the links of this instance to upstreams, and the connections that it has open for peers.
type links struct {
	mutex   sync.Mutex
	tracker reach.Tracker
	// forPeers counts the open connections for peers.
	forPeers atomic.Int64
}

func (l *links) isLost(upstream string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.tracker.IsLost(upstream)
}

func (l *links) recordPeerFailed(peer, upstream string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tracker.RecordPeerFailed(time.Now(), peer, upstream)
}

// peers returns those of the live peers that may connect to an upstream, best first.
func (l *links) peers(now time.Time, upstream traffic.Upstream, live []reach.Peer) []reach.Peer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.tracker.Peers(now, upstream.ID, upstream.DataCentre, live)
}

// keep forgets the links to all upstreams except the given ones.
func (l *links) keep(upstreams map[string]bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tracker.Keep(upstreams)
}

// connect opens a connection to an upstream for a request.
func (n *Node) connect(ctx context.Context, upstream traffic.Upstream) (net.Conn, error) {
	connection, path, err := newConnectionRace(n, upstream).connect(ctx)
	n.scope.Tagged(map[string]string{"path": string(path)}).Counter("upstream_connections").Inc(1)
	return connection, err
}

// setPeer records which upstreams a peer states it cannot connect to.
func (l *links) setPeer(peer string, unreached []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tracker.SetPeer(peer, unreached)
}

// isDirect reports whether requests are sent to an upstream directly. A connection through a peer is used once: the peer
// may stop, and the short way may work again.
func (n *Node) isDirect(upstream string) bool { return !n.links.isLost(upstream) }

// findPath returns how an upstream can be reached, by opening a connection and closing it.
func (n *Node) findPath(ctx context.Context, upstream traffic.Upstream) path {
	connection, path, err := newConnectionRace(n, upstream).connect(ctx)
	if err == nil {
		connection.Close()
	}
	return path
}

// refusesConnections reports whether no process listens at an upstream, as far as this instance and its peers can
// determine. A lost link may also refuse connections, with resets, and does not count.
func (n *Node) refusesConnections(ctx context.Context, upstream traffic.Upstream) bool {
	connection, _, err := newConnectionRace(n, upstream).connect(ctx)
	if err == nil {
		connection.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// dialDirect opens a direct connection and records whether the link is lost.
func (n *Node) dialDirect(ctx context.Context, upstream traffic.Upstream, timeout time.Duration) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	connection, err := n.DialUpstream(dialCtx, upstream.Address)
	if ctx.Err() == nil {
		n.recordLink(upstream, began, err)
	}
	if errors.Is(err, syscall.ECONNREFUSED) && n.hasUnfinished(upstream.Life()) {
		n.checkForCrash(upstream)
	}
	return connection, err
}

// hasUnfinished reports whether requests of this instance were in flight at a life of an upstream a moment ago, whose
// responses are in doubt.
func (n *Node) hasUnfinished(life traffic.Life) (has bool) {
	n.sharedState.WithLock(func(state *serve.SharedState) { has = state.Suspects.HasUnfinished(time.Now(), life) })
	return has
}

// recordLink records whether this instance could connect to an upstream, by an attempt that began some time ago. If its
// link is lost, the idle connections there are closed, as a request on one of them would wait in vain.
func (n *Node) recordLink(upstream traffic.Upstream, began time.Time, err error) {
	now := time.Now()
	lost := err != nil
	n.links.mutex.Lock()
	changed := false
	if lost {
		changed = n.links.tracker.RecordLost(now, began, upstream.ID)
	} else {
		changed = n.links.tracker.RecordReached(now, upstream.ID)
	}
	count := len(n.links.tracker.Lost())
	n.links.mutex.Unlock()
	if !changed {
		return
	}
	n.Log.Warn().Str("Upstream", upstream.ID).Bool("Lost", lost).Int("LostLinks", count).Err(err).Msg("UpstreamLink")
	n.scope.Gauge("lost_upstream_links").Update(float64(count))
	n.sharedState.WithLock(func(state *serve.SharedState) { state.Pool.SetIndirect(upstream.ID, lost) })
	n.forward.CloseIdle(upstream.ID)
	if !lost {
		return
	}
	if held := n.heldUpstreams.get(upstream.ID); held != nil {
		held.checkPath()
	}
	n.verifyHeldLinks()
}

// VerifyLink checks soon whether this instance can still connect to an upstream that has not responded.
func (n *Node) VerifyLink(upstream traffic.Upstream) {
	probe := linkProbe{node: n, upstream: upstream}
	go probe.run()
}

// verifyHeldLinks checks the links to the upstreams that this instance holds, because another link was lost: links are
// often lost together, and without requests there this instance would not notice until an adapter has to be loaded.
func (n *Node) verifyHeldLinks() {
	for id := range n.heldUpstreams.ids() {
		if upstream, declared := n.declaredUpstream(id); declared && !n.links.isLost(id) {
			n.VerifyLink(upstream)
		}
	}
}

// linkProbe opens a direct connection to an upstream only to learn whether its link is lost.
type linkProbe struct {
	node     *Node
	upstream traffic.Upstream
}

func (p linkProbe) run() {
	connection, err := p.node.dialDirect(context.Background(), p.upstream, probeTimeout)
	if err == nil {
		connection.Close()
	}
}

// probeLostLinks tries the lost links again.
func (n *Node) probeLostLinks(now time.Time) {
	n.links.mutex.Lock()
	due := n.links.tracker.DueProbes(now, maxProbes)
	n.links.mutex.Unlock()
	for _, id := range due {
		if upstream, declared := n.declaredUpstream(id); declared {
			n.VerifyLink(upstream)
		}
	}
}

func (n *Node) declaredUpstream(id string) (upstream traffic.Upstream, declared bool) {
	n.sharedState.WithLock(func(state *serve.SharedState) { upstream, declared = state.Pool.Upstream(id) })
	return upstream, declared
}

// unreached lists upstreams to which this instance cannot connect, for its state.
func (n *Node) unreached() []string {
	n.links.mutex.Lock()
	defer n.links.mutex.Unlock()
	lost := n.links.tracker.Lost()
	return lost[:min(len(lost), maxStatedLost)]
}

// ---------------------------------------------------------------------------------------------

// Connect connects to an upstream for a peer. It never passes the request on to another peer, so that two instances with
// outdated knowledge of each other's links cannot send it in circles.
func (n *Node) Connect(ctx context.Context, request mesh.ConnectRequest) (net.Conn, error) {
	upstream, declared := n.declaredUpstream(request.Upstream)
	if !declared || !n.isWanted(upstream) || n.stopping.Load() || n.links.isLost(request.Upstream) {
		return nil, errNoPath
	}
	if n.links.forPeers.Add(1) > maxPeerConnections {
		n.links.forPeers.Add(-1)
		n.Log.Warn().Str("Upstream", request.Upstream).Str("Peer", request.Instance).Msg("PeerConnectionRefused")
		return nil, errNoPath
	}
	connection, err := n.dialDirect(ctx, upstream, connectTimeout)
	n.scope.Tagged(map[string]string{"opened": strconv.FormatBool(err == nil)}).Counter("connections_for_peers").Inc(1)
	n.Log.Info().Str(logline.FieldRequest, request.CallID).Str(logline.FieldUpstream, upstream.ID).Str("Peer", request.Instance).
		Err(err).Msg("ConnectedForPeer")
	if err != nil {
		n.links.forPeers.Add(-1)
		return nil, err
	}
	return &connectionForPeer{Conn: connection, count: &n.links.forPeers}, nil
}

// isWanted reports whether an upstream takes new requests, and from this instance.
func (n *Node) isWanted(upstream traffic.Upstream) (wanted bool) {
	n.sharedState.WithLock(func(state *serve.SharedState) { wanted = state.Pool.IsChoiceValid(time.Now(), upstream) })
	return wanted
}

// connectionForPeer is an open connection for a peer. It is counted until it is closed.
type connectionForPeer struct {
	net.Conn
	count  *atomic.Int64
	closed sync.Once
}

// Close closes the connection.
func (c *connectionForPeer) Close() error {
	c.closed.Do(func() { c.count.Add(-1) })
	return c.Conn.Close()
}

// awaitPeerConnections waits until the peers have closed the connections that this instance has open for them. A planned
// stop must not cut their requests.
func (n *Node) awaitPeerConnections(ctx context.Context) {
	for n.links.forPeers.Load() > 0 && pause.For(ctx, peerConnectionsInterval) {
		continue
	}
}
