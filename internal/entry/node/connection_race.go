package node

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/call"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/reach"
	"lacewingrock.example/lacewingrock/internal/telemetry/logline"
)

// connection_race.go tries the ways to connect to an upstream, one after the other with a short head start each, as
// clients do with the addresses of a host. A request must not wait for a time-out to learn that packets to the upstream
// are dropped.

const (
	// connectTimeout bounds one attempt to connect, which normally takes a few milliseconds.
	connectTimeout = 250 * time.Millisecond
	// headStart is how long an attempt may take before the next one is started beside it.
	headStart = 60 * time.Millisecond
)

// errNoPath means that neither this instance nor any peer that it may ask can connect to an upstream.
var errNoPath = errors.New("node: no path to the upstream")

// path is how an upstream can be reached.
type path string

const (
	pathDirect path = "direct"
	pathPeer   path = "peer"
	pathNone   path = "none"
)

// connectionRace connects to an upstream. The first open connection wins, and those that open later are closed.
type connectionRace struct {
	node     *Node
	upstream traffic.Upstream
	// waiting are the attempts that have not been started.
	waiting []connectionAttempt
	// peersListed: the attempts through peers are among those that were waiting. They are listed when they are needed, as
	// most connections are opened directly.
	peersListed bool
	results     chan connectionResult
	// over is closed when nobody receives results any more.
	over chan struct{}
}

type connectionResult struct {
	connection net.Conn
	path       path
	err        error
}

// newConnectionRace returns a race whose first attempt is the direct one, unless that link is lost: then it is the last.
func newConnectionRace(n *Node, upstream traffic.Upstream) *connectionRace {
	r := &connectionRace{node: n, upstream: upstream, results: make(chan connectionResult), over: make(chan struct{})}
	if n.links.isLost(upstream.ID) {
		r.listPeers()
	}
	r.waiting = append(r.waiting, connectionAttempt{race: r})
	return r
}

// connect returns the first connection. If there is none, the error is that of the direct attempt: it shows whether the
// upstream refuses connections.
func (r *connectionRace) connect(ctx context.Context) (net.Conn, path, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout+headStart)
	defer cancel()
	defer close(r.over)
	running := 0
	err := errNoPath
	for ctx.Err() == nil {
		if r.startNext(ctx) {
			running++
		}
		if running == 0 {
			break
		}
		result, ended := r.await(ctx)
		if !ended {
			continue
		}
		running--
		if result.err == nil {
			return result.connection, result.path, nil
		}
		if result.path == pathDirect {
			err = result.err
		}
	}
	return nil, pathNone, err
}

// startNext starts the next attempt, and reports whether there was one.
func (r *connectionRace) startNext(ctx context.Context) bool {
	if len(r.waiting) == 0 && !r.peersListed {
		r.listPeers()
	}
	if len(r.waiting) == 0 {
		return false
	}
	go r.waiting[0].run(ctx)
	r.waiting = r.waiting[1:]
	return true
}

// await waits for the next result. If more attempts may be waiting, it returns without one after the head start.
func (r *connectionRace) await(ctx context.Context) (result connectionResult, ended bool) {
	var next <-chan time.Time
	if len(r.waiting) > 0 || !r.peersListed {
		next = time.After(headStart)
	}
	select {
	case result = <-r.results:
		return result, true
	case <-next:
	case <-ctx.Done():
	}
	return result, false
}

// listPeers adds the attempts through peers.
func (r *connectionRace) listPeers() {
	r.peersListed = true
	for _, peer := range r.node.peersFor(r.upstream) {
		r.waiting = append(r.waiting, connectionAttempt{race: r, peer: peer.Name, address: peer.Address})
	}
}

// connectionAttempt is one way to connect: directly if peer is empty.
type connectionAttempt struct {
	race    *connectionRace
	peer    string
	address string
}

func (a connectionAttempt) run(ctx context.Context) {
	result := a.open(ctx)
	select {
	case a.race.results <- result:
	case <-a.race.over:
		if result.err == nil {
			result.connection.Close()
		}
	}
}

func (a connectionAttempt) open(ctx context.Context) (result connectionResult) {
	n := a.race.node
	upstream := a.race.upstream
	if a.peer == "" {
		// The attempt goes on when the race is over, so that a lost link is noticed.
		result.path = pathDirect
		result.connection, result.err = n.dialDirect(context.Background(), upstream, connectTimeout)
		return result
	}
	result.path = pathPeer
	id := call.IDOf(ctx)
	result.connection, result.err = n.peers.Connect(ctx, a.address, mesh.ConnectRequest{Upstream: upstream.ID, Instance: n.self.Name, CallID: id})
	event := "ConnectedThroughPeer"
	switch {
	case result.err == nil:
		result.connection = &connectionThroughPeer{Conn: result.connection, node: n, address: a.address, upstream: upstream.ID, call: id}
	case errors.Is(ctx.Err(), context.Canceled):
		return result // another attempt was faster
	default:
		event = "PeerNotConnected"
		n.links.recordPeerFailed(a.peer, upstream.ID)
	}
	n.Log.Info().Str(logline.FieldRequest, id).Str(logline.FieldUpstream, upstream.ID).Str("Peer", a.peer).Err(result.err).Msg(event)
	return result
}

// peerAddress is a peer that may connect to an upstream for this instance.
type peerAddress struct {
	reach.Peer
	Address string
}

// peersFor lists the peers that may connect to an upstream, best first.
func (n *Node) peersFor(upstream traffic.Upstream) (list []peerAddress) {
	now := time.Now()
	n.view.mutex.Lock()
	instances := n.view.roster.Instances()
	n.view.mutex.Unlock()
	addresses := make(map[string]string, len(instances))
	var live []reach.Peer
	for _, instance := range instances {
		if instance.Name != n.self.Name && n.overlay.isAlive(now, instance.Name) {
			addresses[instance.Name] = instance.Address
			live = append(live, reach.Peer{Name: instance.Name, DataCentre: instance.DataCentre})
		}
	}
	for _, peer := range n.links.peers(now, upstream, live) {
		list = append(list, peerAddress{Peer: peer, Address: addresses[peer.Name]})
	}
	return list
}
