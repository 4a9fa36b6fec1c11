package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/coordination"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// release.go gives up in a planned stop what this instance holds, so that other instances become the holders of its upstreams
// without waiting for its lease to expire.
//
// Where upstreams do not check fencing tokens, an order without a response may arrive after those of the next holder, from
// retransmitted packets, and undo its loads. The holder keys of such upstreams stay until no such order can arrive.

const (
	// responseCheckInterval is how often a stop checks whether responses to orders are awaited.
	responseCheckInterval = 5 * time.Millisecond
	// maxResponseWait bounds the wait for them. An order is given up well before.
	maxResponseWait = 300 * time.Millisecond
)

// release gives up the held upstreams. done is closed when it has ended.
type release struct {
	node *Node
	done chan struct{}
}

// run removes the instance from the roster and gives up its upstreams until the context ends. What it has not given up then
// is free once the lease expires.
func (r *release) run(ctx context.Context) {
	defer close(r.done)
	n := r.node
	if n.mayReplaceEarly() {
		n.revokeLease()
		return
	}
	start := time.Now()
	n.awaitOrders(ctx)
	held := n.stopHoldingAll()
	doubtful := n.withOrdersInDoubt(held, time.Now())
	inDoubt := len(doubtful)
	if inDoubt > 0 {
		n.leaveRoster(ctx)
		n.removeKeys(ctx, held, doubtful)
	}
	for len(doubtful) > 0 && ctx.Err() == nil {
		n.keepLease(ctx)
		pause.For(ctx, min(n.untilSettled(doubtful), renewInterval))
		remaining := n.withOrdersInDoubt(doubtful, time.Now())
		n.removeKeys(ctx, doubtful, remaining)
		doubtful = remaining
	}
	if ctx.Err() == nil {
		n.revokeLease()
	}
	n.Log.Info().Int("Upstreams", len(held)).Int("InDoubt", inDoubt).Int("Left", len(doubtful)).
		Int64("TookMillis", time.Since(start).Milliseconds()).Msg("UpstreamsReleased")
}

// awaitOrders ends the orders of this instance, and waits for the responses to those that were sent.
func (n *Node) awaitOrders(ctx context.Context) {
	turns := &n.heldUpstreams.turns
	turns.close()
	ctx, cancel := context.WithTimeout(ctx, maxResponseWait)
	defer cancel()
	for turns.isAwaiting() && pause.For(ctx, responseCheckInterval) {
		continue
	}
}

// stopHoldingAll stops holding all upstreams and returns them. Requests that wait there look for another upstream at once.
func (n *Node) stopHoldingAll() (held []*heldUpstream) {
	h := &n.heldUpstreams
	h.mutex.Lock()
	held = slices.Collect(maps.Values(h.byID))
	h.mutex.Unlock()
	for _, one := range held {
		h.recordReleased(one.upstream.ID, one.fence)
		n.stopHolding(one.upstream.ID)
	}
	return held
}

// withOrdersInDoubt returns those of some upstreams at which an order of this instance may still arrive.
func (n *Node) withOrdersInDoubt(held []*heldUpstream, now time.Time) (doubtful []*heldUpstream) {
	for _, one := range held {
		if now.Before(n.settledAt(one, now)) {
			doubtful = append(doubtful, one)
		}
	}
	return doubtful
}

// untilSettled returns the time until no order can arrive any more at one of some upstreams.
func (n *Node) untilSettled(doubtful []*heldUpstream) time.Duration {
	now := time.Now()
	first := n.settledAt(doubtful[0], now)
	for _, one := range doubtful[1:] {
		if at := n.settledAt(one, now); at.Before(first) {
			first = at
		}
	}
	return first.Sub(now)
}

func (n *Node) settledAt(held *heldUpstream, now time.Time) time.Time {
	return n.heldUpstreams.turns.settledAt(held.upstream.ID, now, n.current.Load().Upstreams.ReturnAfter)
}

// removeKeys removes the holder keys of the upstreams that are not among those to keep.
func (n *Node) removeKeys(ctx context.Context, held, keep []*heldUpstream) {
	for _, one := range held {
		if slices.Contains(keep, one) {
			continue
		}
		if err := n.withinStoreTimeout(ctx, one.removeKey); err != nil {
			n.Log.Warn().Err(err).Str("Upstream", one.upstream.ID).Int64("Fence", one.fence).Msg("ReleaseFailed")
		}
	}
}

// leaveRoster removes the entry of this instance, while its lease goes on.
func (n *Node) leaveRoster(ctx context.Context) {
	err := n.withinStoreTimeout(ctx, func(ctx context.Context) error {
		_, err := n.Store.Commit(ctx, coordination.Transaction{Removals: []string{roster.InstanceKey(n.self.Name)}})
		return err
	})
	if err != nil {
		n.Log.Warn().Err(err).Msg("RosterNotLeft")
	}
}

// keepLease renews the lease, to which the remaining holder keys are bound.
func (n *Node) keepLease(ctx context.Context) {
	err := n.withinStoreTimeout(ctx, func(ctx context.Context) error { return n.Store.Renew(ctx, n.lease.lastID()) })
	if err != nil {
		n.Log.Warn().Err(err).Msg("LeaseNotRenewed")
	}
}

// withinStoreTimeout makes a call to the store.
func (n *Node) withinStoreTimeout(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, n.current.Load().Platform.StoreTimeout)
	defer cancel()
	return call(ctx)
}
