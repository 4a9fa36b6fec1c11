package node

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// periodic.go runs the tasks that are triggered by time alone.

const (
	// tickInterval is how often tasks without an event of their own are run.
	tickInterval = 200 * time.Millisecond
	// missedHeartbeats is how many heartbeats of a peer may be missing before its share of the rates is reserved.
	missedHeartbeats = 3
	// ledgerPeersInterval is how often the peers of the ledger are updated while the roster does not change.
	ledgerPeersInterval = time.Second
	// shareRetention is how long an instance that left the roster keeps its share of the rates: it may be cut off from
	// the store and the others, and still admit requests of its callers.
	shareRetention = 20 * time.Second
)

// runPeriodic runs the tasks that are triggered by time alone.
func (n *Node) runPeriodic(ctx context.Context) error {
	for pause.For(ctx, tickInterval) {
		now := time.Now()
		n.removeExpired(now)
		n.updateStreamLifetime(now)
		n.setLedgerPeers(now)
		n.closeStaleUpstreamConnections()
		n.sendUnsentOrigins()
		n.probeLostLinks(now)
		n.retireStalePeerConnections()
		n.updateHeldPaces(now)
		n.updateMemory(now)
		n.scope.Gauge("confirmed_age_seconds").Update(n.ConfirmedAge().Seconds())
		if dropped := n.DroppedLogEvents(); dropped > 0 {
			n.Log.Error().Int("Events", dropped).Msg("LogDropped")
		}
	}
	return nil
}

// setLedgerPeers gives the ledger the other instances that may be admitting requests.
func (n *Node) setLedgerPeers(now time.Time) {
	n.view.mutex.Lock()
	defer n.view.mutex.Unlock()
	n.updateLedgerPeers(now)
}

// updateLedgerPeers does so with the lock of the view held.
func (n *Node) updateLedgerPeers(now time.Time) {
	v := &n.view
	instances := v.roster.Instances()
	if now.Sub(v.ledgerPeersUpdated) < ledgerPeersInterval && isSameList(instances, v.ledgerRoster) {
		return
	}
	v.ledgerPeersUpdated = now
	v.ledgerRoster = instances
	if v.ledgerPeers == nil {
		v.ledgerPeers = make(map[string]time.Time)
	}
	for _, instance := range instances {
		if instance.Name != n.self.Name {
			v.ledgerPeers[instance.Name] = now
		}
	}
	var names []string
	for name, seen := range v.ledgerPeers {
		if now.Sub(seen) > shareRetention {
			delete(v.ledgerPeers, name)
			continue
		}
		names = append(names, name)
	}
	n.setSharedLimits(len(names))
	peerTimeout := missedHeartbeats * n.overlay.currentStateInterval()
	n.sharedState.WithLock(func(state *serve.SharedState) {
		state.Ledger.PeerTimeout = peerTimeout
		state.Ledger.SetPeers(now, names)
	})
}

// isSameList reports whether two lists of the roster are the same slice. The roster returns the same slice as long as
// nothing changes.
func isSameList(a, b []roster.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// closeStaleUpstreamConnections closes the connections to upstreams that are gone.
func (n *Node) closeStaleUpstreamConnections() {
	var names map[string]bool
	n.sharedState.WithLock(func(state *serve.SharedState) { names, n.upstreamChanges = state.Pool.NamesSince(n.upstreamChanges) })
	if names != nil {
		n.forward.CloseIdleExcept(names)
		n.links.keep(names)
	}
}
