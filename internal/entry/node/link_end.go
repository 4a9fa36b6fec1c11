package node

import (
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
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// link_end.go sends and receives over one link, which either instance may have opened.

const (
	// linkSilent is how long nothing may come over a link. Both ends send at each beat.
	linkSilent = time.Second
	// gatherFor collects what changes within a short time into one message.
	gatherFor = 40 * time.Millisecond
	// catchUpTimeout bounds how long a peer may take to hand over what this instance lacks. A large
	// configuration takes a good part of a second on a slow link; cut off before, it would be fetched again
	// and again and never arrive.
	catchUpTimeout = 1500 * time.Millisecond
)

var errLinkSilent = errors.New("nothing came over the link")

// linkEnd is this instance's end of a link.
type linkEnd struct {
	node    *Node
	stream  mesh.Stream
	peer    string
	address string
	// attached: this instance is attached to the peer.
	attached bool
	link     gossip.Link
	// beat and news ask for a message.
	beat chan struct{}
	news chan struct{}
	// received is when something last came, as time since the end was made.
	made     time.Time
	received atomic.Int64
}

func newLinkEnd(n *Node, stream mesh.Stream, peer roster.Instance) *linkEnd {
	return &linkEnd{
		node: n, stream: stream, peer: peer.Name, address: peer.Address,
		beat: make(chan struct{}, 1), news: make(chan struct{}, 1), made: time.Now(),
	}
}

// signal asks for a message.
func (e *linkEnd) signal(beat bool) {
	wake := e.news
	if beat {
		wake = e.beat
	}
	select {
	case wake <- struct{}{}:
	default: // one is due already
	}
}

// run keeps the link until it breaks, falls silent or the context ends.
func (e *linkEnd) run(ctx context.Context) error {
	e.node.overlay.add(e)
	defer e.node.overlay.remove(e)
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
		waited := time.Now()
		select {
		case <-e.beat:
		case <-e.news:
			pause.For(ctx, gatherFor)
		case err := <-broken:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
		if e.isSilent(time.Since(waited)) {
			return errLinkSilent
		}
		message = e.node.message(e)
	}
}

// isSilent tells whether nothing has come for too long. Time in which this instance did not get to run, as it was
// frozen or short of its processor, does not count.
func (e *linkEnd) isSilent(waited time.Duration) bool {
	if waited > linkSilent {
		e.received.Store(int64(time.Since(e.made)))
		return false
	}
	return time.Since(e.made)-time.Duration(e.received.Load()) > linkSilent
}

// linkReader takes over what comes over a link.
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
		r.end.received.Store(int64(time.Since(r.end.made)))
		r.end.node.receive(ctx, r.end, message)
	}
}

// ---------------------------------------------------------------------------------------------

// message is what the other end of a link lacks.
func (n *Node) message(end *linkEnd) mesh.Message {
	n.overlay.mutex.Lock()
	records := n.overlay.table.Due(time.Now(), &end.link, end.peer)
	stamp := end.link.Stamp(time.Since(end.made))
	n.overlay.mutex.Unlock()
	n.knowledge.mutex.Lock()
	defer n.knowledge.mutex.Unlock()
	message := mesh.Message{Stamp: stamp, Records: records, ConfirmedAge: n.ConfirmedAge()}
	message.Revision = n.knowledge.replica.Revision()
	message.News = n.knowledge.news
	return message
}

// receive takes over a message of a peer.
func (n *Node) receive(ctx context.Context, end *linkEnd, message mesh.Message) {
	now := time.Now()
	n.overlay.mutex.Lock()
	n.overlay.table.Heard(end.peer, now)
	changed := n.overlay.table.Merge(now, &end.link, message.Records)
	transit, known := end.link.Receive(now.Sub(end.made), message.Stamp)
	n.overlay.mutex.Unlock()
	var confirmed time.Time
	if known && message.ConfirmedAge >= 0 {
		confirmed = now.Add(-transit - message.ConfirmedAge)
	}
	urgent := false
	for _, record := range changed {
		n.learn(now, record, record.Instance == end.peer)
		urgent = urgent || record.Urgent
	}
	if urgent {
		n.overlay.wake(false)
	}
	n.compareRevision(ctx, end, message, confirmed)
}

// compareRevision fetches the changes that a peer shows to know and this instance does not: news at once, others, such
// as what upstreams say to have loaded, now and then. Confirmed is when the store confirmed the peer's revision,
// zero if that is not known.
func (n *Node) compareRevision(ctx context.Context, end *linkEnd, message mesh.Message, confirmed time.Time) {
	n.knowledge.mutex.Lock()
	revision := n.knowledge.replica.Revision()
	if message.News <= revision && !confirmed.IsZero() {
		n.confirm(confirmed) // whatever else has changed
	}
	n.knowledge.mutex.Unlock()
	due := message.News > revision || message.Revision > revision && n.overlay.isFetchDue(time.Now())
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
	began := time.Now()
	batch, err := c.node.peers.CatchUp(ctx, c.address, c.after)
	c.node.scope.Tagged(map[string]string{"arrived": strconv.FormatBool(err == nil)}).Counter("catch_ups").Inc(1)
	if err != nil {
		c.node.Log.Warn().Err(err).Str("Peer", c.peer).Int64("After", c.after).
			Int64("TookMillis", time.Since(began).Milliseconds()).Msg("CatchUpFailed")
		return
	}
	c.node.merge(batch, c.confirmed, c.peer)
}

// CatchUp gives a peer what it lacks and has to know.
//
// Made for a fleet of a hundred upstreams, each of which changes its entry every second or so as it loads adapters. The
// holders know better what is loaded and let all know; passed on besides, the entries would be most of what relays send.
func (n *Node) CatchUp(after int64) replica.Batch {
	n.knowledge.mutex.Lock()
	defer n.knowledge.mutex.Unlock()
	batch := n.knowledge.replica.Since(after)
	if !batch.Snapshot {
		batch.Items = slices.DeleteFunc(batch.Items, func(item replica.Item) bool {
			return n.knowledge.newsOf[item.Key] <= after
		})
	}
	return batch
}
