package node

import (
	"sync"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
)

// order_permission.go decides when the holder of an upstream may send orders. Upstreams that check fencing tokens
// refuse the orders of all but the latest holder, so a holder need not be certain that it is the latest. Where
// upstreams do not check fencing tokens, two holders would undo the loads and evictions of each other and overfill the
// upstream. There at most one instance may send orders at any time, even if instances freeze, are slow or lose
// responses.

// orderMargin is the last part of a lease, in which no orders are sent. An order that is in progress when the lease
// ends, including its timeout and retransmitted packets, must not arrive after the first order of the next holder.
const orderMargin = 500 * time.Millisecond

// mayOrder reports whether this instance is still the holder, as far as it can determine, and whether its orders may
// follow those of others.
//
// Where upstreams check fencing tokens, a holder whose lease expired in an outage of the store continues: no other
// instance can become holder during the outage, and as soon as one does, the upstream refuses the orders of the old
// holder. Elsewhere the holder stops when the lease that its key is bound to expires. An instance that was frozen finds
// its lease expired and acquires a new one immediately, some time before it learns that other instances hold its former
// upstreams. The new lease does not permit orders to those.
func (h *heldUpstream) mayOrder(now time.Time) bool {
	upstreams := h.node.current.Load().Upstreams
	if upstreams.FencesChecked {
		return h.node.heldUpstreams.turns.mayOrder(now, h.upstream.ID, h.token, upstreams.ReturnAfter)
	}
	lease, ok := h.node.lease.current(now.Add(orderMargin))
	return ok && lease == h.lease && !now.Before(h.mayOrderFrom) && !h.node.heldUpstreams.turns.isClosed()
}

// mayReplaceEarly reports whether a holder may be replaced before its lease expires. It may still send orders until
// then.
func (n *Node) mayReplaceEarly() bool { return n.current.Load().Upstreams.FencesChecked }

// mayOrderFrom returns the earliest time at which this instance may again send orders to an upstream that it lost. With the
// token of its last order it may at once, as no other instance was the holder; 0 stands for any other token.
//
// It covers instances that restart one after the other, and links that fail one after the other. An upstream may pass to
// another instance and back within a few seconds. A delayed order of the first instance, sent before the orders of the
// second, could then still arrive. Where upstreams check fencing tokens, an instance returns immediately if no other was
// the holder meanwhile: its delayed orders can only arrive beside its own.
func (n *Node) mayOrderFrom(upstream string, token int64) time.Time {
	upstreams := n.current.Load().Upstreams
	turns := &n.heldUpstreams.turns
	turns.mutex.Lock()
	defer turns.mutex.Unlock()
	last, found := turns.last[upstream]
	if !found || token == last.fence || upstreams.FencesChecked && turns.others[upstream] <= last.fence {
		return time.Time{}
	}
	return last.at.Add(upstreams.ReturnAfter)
}

// turns tracks the orders of this instance, and the upstreams that others may have held since.
type turns struct {
	mutex sync.Mutex
	// last is the last order of this instance to each upstream.
	last map[string]sentOrder
	// inProgress counts the orders to each upstream whose response is awaited, and unansweredAt is when the wait for one last
	// ended without a response. Such an order may still arrive.
	inProgress   map[string]int
	unansweredAt map[string]time.Time
	// closed: no order is sent any more, as the instance stops.
	closed bool
	// others is the last revision at which another instance may have been the holder of an upstream, as far as the
	// replicated state shows. It is complete up to the revision seen.
	others map[string]int64
	seen   int64
}

// sentOrder is an order of this instance: its fencing token, and the last time at which it was in progress.
type sentOrder struct {
	fence int64
	at    time.Time
}

// begin records that an order is sent, and reports whether it may be.
func (t *turns) begin(upstream string, fence int64, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		return false
	}
	t.last[upstream] = sentOrder{fence: fence, at: now}
	t.inProgress[upstream]++
	return true
}

// end records that the wait for the response to an order is over. Without a response the order may have arrived only now, or
// may arrive later.
func (t *turns) end(upstream string, fence int64, now time.Time, answered bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.last[upstream] = sentOrder{fence: fence, at: now}
	t.inProgress[upstream]--
	if !answered {
		t.unansweredAt[upstream] = now
	}
}

// recordEarlierLife records that an earlier life of this instance held an upstream with a fencing token, and may have sent
// an order there until this life began. Whether it was answered is not known, so that a stop and a hand-over wait for it.
func (t *turns) recordEarlierLife(upstream string, fence int64, began time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, found := t.last[upstream]; found {
		return
	}
	t.last[upstream] = sentOrder{fence: fence, at: began}
	t.unansweredAt[upstream] = began
}

// close ends the orders of this instance: none begins from now on.
func (t *turns) close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.closed = true
}

func (t *turns) isClosed() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.closed
}

// isAwaiting reports whether the response to any order is awaited.
func (t *turns) isAwaiting() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, count := range t.inProgress {
		if count > 0 {
			return true
		}
	}
	return false
}

// settledAt returns when no earlier order of this instance to an upstream can arrive any more: one without a response may
// arrive for returnAfter.
func (t *turns) settledAt(upstream string, now time.Time, returnAfter time.Duration) time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.inProgress[upstream] > 0 {
		return now.Add(returnAfter)
	}
	if at, found := t.unansweredAt[upstream]; found {
		return at.Add(returnAfter)
	}
	return time.Time{}
}

// recordOther records that another instance may have been the holder of an upstream until a revision.
func (t *turns) recordOther(upstream string, revision int64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.others != nil {
		t.others[upstream] = max(t.others[upstream], revision)
	}
}

func (t *turns) setSeen(revision int64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.seen = max(t.seen, revision)
}

// mayOrder reports whether an order with a fencing token may follow the earlier orders of this instance: it has ordered
// with that token already, its last order was long ago, or no other instance was the holder in between. Until the
// replicated state includes the claim, the last is not known.
func (t *turns) mayOrder(now time.Time, upstream string, fence int64, returnAfter time.Duration) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	last, found := t.last[upstream]
	if !found || last.fence == fence || !now.Before(last.at.Add(returnAfter)) {
		return true
	}
	return t.seen >= fence && t.others[upstream] <= last.fence
}

// recordHolderChange records whether another instance may have been the holder of an upstream. An incomplete batch shows
// only the last change of a key, which hides the holders between two changes. The caller holds the lock of the view.
func (n *Node) recordHolderChange(item replica.Item, complete, snapshot bool) {
	upstream, isHolder := roster.UpstreamOfHolderKey(item.Key)
	if !isHolder {
		return
	}
	holder, found := n.view.roster.Holder(upstream)
	if found && !snapshot {
		n.recordSilentClaim(holder, time.Now())
	}
	switch own := found && holder.Instance == n.self.Name; {
	case found && !own || !found && !complete:
		n.heldUpstreams.turns.recordOther(upstream, item.Revision)
	case own && !complete:
		n.heldUpstreams.turns.recordOther(upstream, item.Revision-1)
	}
}
