package node

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/fleet/gossip"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// link_end.go sends and receives messages over one gossip link, which either instance may have opened.

const (
	// linkTimeout is how long a link may be without a received message. Both ends send at each heartbeat.
	linkTimeout = time.Second
	// batchDelay collects changes that occur within a short time into one message.
	batchDelay = 40 * time.Millisecond
	// catchUpTimeout bounds how long a peer may take to send the changes that this instance lacks. A large
	// configuration takes a large part of a second on a slow link. With a shorter timeout it would be fetched
	// repeatedly and never arrive.
	catchUpTimeout = 1500 * time.Millisecond
)

var errLinkTimeout = errors.New("no message received over the gossip link within the timeout")

// linkEnd is the local end of a link.
type linkEnd struct {
	node    *Node
	stream  mesh.Stream
	peer    string
	address string
	// attached: this instance is attached to the peer.
	attached bool
	link     gossip.Link
	// heartbeat requests a message immediately, update after batchDelay.
	heartbeat chan struct{}
	update    chan struct{}
	// lastReceived is when the last message arrived, as time since created.
	created      time.Time
	lastReceived atomic.Int64
}

func newLinkEnd(n *Node, stream mesh.Stream, peer roster.Instance) *linkEnd {
	return &linkEnd{
		node: n, stream: stream, peer: peer.Name, address: peer.Address,
		heartbeat: make(chan struct{}, 1), update: make(chan struct{}, 1), created: time.Now(),
	}
}

// requestMessage schedules a message.
func (e *linkEnd) requestMessage(heartbeat bool) {
	requests := e.update
	if heartbeat {
		requests = e.heartbeat
	}
	select {
	case requests <- struct{}{}:
	default: // a message is already pending
	}
}

// run serves the link until it breaks, times out or the context ends.
func (e *linkEnd) run(ctx context.Context) error {
	e.node.overlay.addLink(e)
	defer e.node.overlay.removeLink(e)
	broken := make(chan error, 1)
	reader := linkReader{end: e, broken: broken}
	go reader.run(ctx)
	message := e.node.message(e)
	message.Instance = e.node.self.Name
	message.Address = e.node.self.Address
	message.Attached = e.attached
	for {
		if err := e.stream.Send(message); err != nil {
			return err
		}
		waitStart := time.Now()
		select {
		case <-e.heartbeat:
		case <-e.update:
			pause.For(ctx, batchDelay)
		case err := <-broken:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
		if e.isTimedOut(time.Since(waitStart)) {
			return errLinkTimeout
		}
		message = e.node.message(e)
	}
}

// isTimedOut reports whether no message has arrived within the timeout. Time in which this instance did not run,
// because it was frozen or short of processor time, does not count.
func (e *linkEnd) isTimedOut(waited time.Duration) bool {
	if waited > linkTimeout {
		e.lastReceived.Store(int64(time.Since(e.created)))
		return false
	}
	return time.Since(e.created)-time.Duration(e.lastReceived.Load()) > linkTimeout
}

// linkReader processes the messages that arrive over a link.
type linkReader struct {
	end    *linkEnd
	broken chan<- error
}

func (r *linkReader) run(ctx context.Context) {
	for {
		message, err := r.end.stream.Receive()
		if err != nil {
			r.broken <- err
			return
		}
		r.end.lastReceived.Store(int64(time.Since(r.end.created)))
		r.end.node.receive(ctx, r.end, message)
	}
}

// ---------------------------------------------------------------------------------------------

// message returns the records that the other end of a link lacks.
func (n *Node) message(end *linkEnd) mesh.Message {
	n.overlay.mutex.Lock()
	records := n.overlay.table.TakeDue(time.Now(), &end.link, end.peer)
	stamp := end.link.Stamp(time.Since(end.created))
	n.overlay.mutex.Unlock()
	n.view.mutex.Lock()
	defer n.view.mutex.Unlock()
	message := mesh.Message{Stamp: stamp, Records: records, ConfirmedAge: n.ConfirmedAge()}
	message.Revision = n.view.replica.Revision()
	message.UrgentRevision = n.view.urgentRevision
	return message
}

// receive processes a message of a peer.
func (n *Node) receive(ctx context.Context, end *linkEnd, message mesh.Message) {
	now := time.Now()
	n.overlay.mutex.Lock()
	n.overlay.table.MarkAlive(end.peer, now)
	changed := n.overlay.table.Merge(now, &end.link, message.Records)
	transit, known := end.link.Receive(now.Sub(end.created), message.Stamp)
	n.overlay.mutex.Unlock()
	n.sharedState.WithLock(func(state *serve.SharedState) { state.Ledger.RecordContact(now) })
	var confirmed time.Time
	if known && message.ConfirmedAge >= 0 {
		confirmed = now.Add(-transit - message.ConfirmedAge)
	}
	urgent := false
	// A general part holds totals that a later usage part does not repeat, and would be skipped as outdated after it.
	slices.SortFunc(changed, func(a, b gossip.Record) int { return cmp.Compare(a.Version, b.Version) })
	for _, record := range changed {
		n.applyRecord(now, record, record.Instance == end.peer)
		urgent = urgent || record.Urgent
	}
	if urgent {
		n.overlay.requestMessages(false)
	}
	n.catchUpIfBehind(ctx, end, message, confirmed)
}

// catchUpIfBehind fetches the changes that a peer has and this instance lacks: urgent changes immediately, others, such
// as the models that upstreams report as loaded, at longer intervals. Confirmed is when the store confirmed the
// revision of the peer, zero if that is unknown.
func (n *Node) catchUpIfBehind(ctx context.Context, end *linkEnd, message mesh.Message, confirmed time.Time) {
	n.view.mutex.Lock()
	revision := n.view.replica.Revision()
	if message.UrgentRevision <= revision && !confirmed.IsZero() {
		n.confirm(confirmed) // also valid while non-urgent changes are missing
	}
	n.view.mutex.Unlock()
	due := message.UrgentRevision > revision || message.Revision > revision && n.overlay.isFetchDue(time.Now())
	if due && n.overlay.beginCatchUp() {
		fetch := catchUp{node: n, peer: end.peer, address: end.address, after: revision, confirmed: confirmed}
		go fetch.run(ctx)
	}
}

// catchUp fetches changes of the store from a peer.
type catchUp struct {
	node      *Node
	peer      string
	address   string
	after     int64
	confirmed time.Time
}

func (c *catchUp) run(ctx context.Context) {
	defer c.node.overlay.endCatchUp()
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	start := time.Now()
	batch, err := c.node.peers.CatchUp(ctx, c.address, c.after)
	c.node.scope.Tagged(map[string]string{"arrived": strconv.FormatBool(err == nil)}).Counter("catch_ups").Inc(1)
	if err != nil {
		c.node.Log.Warn().Err(err).Str("Peer", c.peer).Int64("After", c.after).
			Int64("TookMillis", time.Since(start).Milliseconds()).Msg("CatchUpFailed")
		return
	}
	c.node.merge(batch, c.confirmed, c.peer)
}

// CatchUp returns the changes that a peer lacks, without those that no other instance needs.
//
// In a fleet of a hundred upstreams each upstream changes its entry every second or so as it loads adapters. The
// holders have more recent information about loaded adapters and send it to all instances. If the entries were relayed
// as well, they would be most of the traffic of relays.
func (n *Node) CatchUp(after int64) replica.Batch {
	n.view.mutex.Lock()
	defer n.view.mutex.Unlock()
	batch := n.view.replica.ChangesSince(after)
	if !batch.Snapshot {
		batch.Items = slices.DeleteFunc(batch.Items, func(item replica.Item) bool {
			return n.view.relayRevisions[item.Key] <= after
		})
	}
	return batch
}
