package node

import "time"

// order_right.go tells when the holder of an upstream may order there. Where upstreams check fences they refuse
// orders of all but the latest holder, and a holder need not be certain. Where they do not, two holders would undo
// each other's loads and evictions, and overfill the upstream, so at most one may order at any time, whatever
// freezes, is slow or loses answers meanwhile.

// orderMargin is the part of a lease in which nothing is ordered any more: an order that is under way when the lease
// ends, with its timeout and packets that are sent again, must not arrive after the next holder's first.
const orderMargin = 500 * time.Millisecond

// mayOrder tells whether this instance still is the holder as far as it can know.
//
// Where upstreams check fences a holder whose lease has run out in an outage of the store goes on: nobody else can
// be holder meanwhile, and its orders are refused as soon as somebody is. Elsewhere it stops with the lease that its
// key is bound to. An instance that was frozen finds its lease ended and gets a new one at once, some time before it
// learns that others hold what it held: the new lease gives no right to that.
func (h *holding) mayOrder(now time.Time) bool {
	if h.node.current.Load().Upstreams.FencesChecked {
		return true
	}
	lease, ok := h.node.lease.current(now.Add(orderMargin))
	return ok && lease == h.lease && !now.Before(h.ordersFrom)
}

// mayReplace tells whether a holder may be replaced before its lease ends. It may still order until then.
func (n *Node) mayReplace() bool { return n.current.Load().Upstreams.FencesChecked }

// ordersFrom is when this instance may order at an upstream again that it lost.
//
// Made for instances that restart one after the other: an upstream that goes from one instance to the next and back
// within a few seconds may get orders of the first that were given before the second's, late.
func (n *Node) ordersFrom(upstream string) time.Time {
	if n.mayReplace() {
		return time.Time{}
	}
	n.holdings.mutex.Lock()
	defer n.holdings.mutex.Unlock()
	ordered, found := n.holdings.ordered[upstream]
	if !found {
		return time.Time{}
	}
	return ordered.Add(n.current.Load().Upstreams.ReturnAfter)
}

// noteOrder takes note that an order is given.
func (h *holdings) noteOrder(upstream string, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.ordered[upstream] = now
}
