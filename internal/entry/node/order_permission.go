package node

import "time"

// order_permission.go decides when the holder of an upstream may send orders. Upstreams that check fencing tokens
// refuse the orders of all but the latest holder, so a holder need not be certain that it is the latest. Where
// upstreams do not check fencing tokens, two holders would undo the loads and evictions of each other and overfill the
// upstream. There at most one instance may send orders at any time, even if instances freeze, are slow or lose
// responses.

// orderMargin is the last part of a lease, in which no orders are sent. An order that is in progress when the lease
// ends, including its timeout and retransmitted packets, must not arrive after the first order of the next holder.
const orderMargin = 500 * time.Millisecond

// mayOrder reports whether this instance is still the holder, as far as it can determine.
//
// Where upstreams check fencing tokens, a holder whose lease expired in an outage of the store continues: no other
// instance can become holder during the outage, and as soon as one does, the upstream refuses the orders of the old
// holder. Elsewhere the holder stops when the lease that its key is bound to expires. An instance that was frozen finds
// its lease expired and acquires a new one immediately, some time before it learns that other instances hold its former
// upstreams. The new lease does not permit orders to those.
func (h *heldUpstream) mayOrder(now time.Time) bool {
	if h.node.current.Load().Upstreams.FencesChecked {
		return true
	}
	lease, ok := h.node.lease.current(now.Add(orderMargin))
	return ok && lease == h.lease && !now.Before(h.mayOrderFrom)
}

// mayReplaceEarly reports whether a holder may be replaced before its lease expires. It may still send orders until
// then.
func (n *Node) mayReplaceEarly() bool { return n.current.Load().Upstreams.FencesChecked }

// mayOrderFrom returns the earliest time at which this instance may again send orders to an upstream that it lost.
//
// It covers instances that restart one after the other. An upstream may pass to another instance and back within a few
// seconds. A delayed order of the first instance, sent before the orders of the second, could then still arrive.
func (n *Node) mayOrderFrom(upstream string) time.Time {
	if n.mayReplaceEarly() {
		return time.Time{}
	}
	n.heldUpstreams.mutex.Lock()
	defer n.heldUpstreams.mutex.Unlock()
	lastOrder, found := n.heldUpstreams.lastOrders[upstream]
	if !found {
		return time.Time{}
	}
	return lastOrder.Add(n.current.Load().Upstreams.ReturnAfter)
}

// recordOrder records that an order is sent.
func (h *heldUpstreams) recordOrder(upstream string, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.lastOrders[upstream] = now
}
