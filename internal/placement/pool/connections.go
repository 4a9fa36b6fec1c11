package pool

import "time"

// connections.go divides the connections that an upstream accepts among the instances.
//
// Each instance has a share that it may always use, as it may be cut off from the others. The shares leave a reserve. Most callers
// may be connected to one instance, and with its share alone it would refuse them while the upstreams are idle. So it may use the
// reserve too, while it knows that the others do not.

// maxLendingLoad is the part of an upstream's connections up to which all instances together may have requests in flight there for one
// to use the reserve. Two instances that do so at once stay below the limit.
const maxLendingLoad = 0.5

// isConnectionLimitReached reports whether this instance uses all connections of an upstream that it may use. The upstream would
// reset one more, and a request that may not be repeated would be lost with it.
func (p *Pool) isConnectionLimitReached(now time.Time, u *upstream) bool {
	limit := p.connectionLimits[u.declared.Service]
	own := len(u.attempts)
	share := max(limit/max(p.Settings.Instances, 1), 1)
	if limit <= 0 || own < share {
		return false
	}
	others := max(p.Settings.LiveInstances-1, 0)
	return own >= limit-others*share || !p.isFleetLoadKnown(now, u) || float64(p.load(now, u).Running) >= maxLendingLoad*float64(limit)
}

// isFleetLoadKnown reports whether this instance knows what all instances have in flight at an upstream: it holds the upstream, or
// has a recent report of its holder.
func (p *Pool) isFleetLoadKnown(now time.Time, u *upstream) bool {
	return p.held[u.declared.ID] || now.Sub(u.holderLoadAt) <= p.Settings.HolderLoadTTL
}

// SetHeld records whether this instance holds an upstream.
func (p *Pool) SetHeld(id string, held bool) {
	p.prepare()
	if !held {
		delete(p.held, id)
		return
	}
	if u := p.upstreams[id]; u != nil && !p.held[id] {
		p.beginHolding(p.clock, u)
	}
	p.held[id] = true
}
