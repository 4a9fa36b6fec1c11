package node

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// ticks.go does what only time brings about.

const (
	// tick is how often duties without an event of their own are looked at.
	tick = 200 * time.Millisecond
	// silentBeats is how many heartbeats of a peer may be missing until its part of the rates is reserved.
	silentBeats = 3
	// peersEvery is how often the ledger's peers are gone through while the roster does not change.
	peersEvery = time.Second
	// goneFor is how long an instance that left the roster keeps its part of the rates: it may be cut off
	// from the store and the others, and still admit for its callers.
	goneFor = 20 * time.Second
)

// runTicks does what only time brings about.
func (n *Node) runTicks(ctx context.Context) error {
	for pause.For(ctx, tick) {
		now := time.Now()
		n.forgetLapsed(now)
		n.setLedgerPeers(now)
		n.keepConnections()
		n.keepPeerConnections()
		n.scope.Gauge("confirmed_age_seconds").Update(n.ConfirmedAge().Seconds())
		if dropped := n.Dropped(); dropped > 0 {
			n.Log.Error().Int("Events", dropped).Msg("LogDropped")
		}
	}
	return nil
}

// setLedgerPeers gives the ledger the other instances that may be admitting.
func (n *Node) setLedgerPeers(now time.Time) {
	k := &n.knowledge
	k.mutex.Lock()
	instances := k.roster.Instances()
	if now.Sub(k.peersSet) < peersEvery && isSameList(instances, k.peers) {
		k.mutex.Unlock()
		return
	}
	k.peersSet = now
	k.peers = instances
	if k.gone == nil {
		k.gone = make(map[string]time.Time)
	}
	for _, instance := range instances {
		if instance.Name != n.self.Name {
			k.gone[instance.Name] = now
		}
	}
	var names []string
	for name, seen := range k.gone {
		if now.Sub(seen) > goneFor {
			delete(k.gone, name)
			continue
		}
		names = append(names, name)
	}
	k.mutex.Unlock()
	n.shareLimits(len(names))
	silentAfter := silentBeats * n.overlay.pace()
	n.advice.With(func(a *serve.Advice) {
		a.Ledger.SilentAfter = silentAfter
		a.Ledger.SetPeers(now, names)
	})
}

// isSameList reports whether two lists of the roster are one, which it gives as long as nothing changes.
func isSameList(a, b []roster.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// keepConnections drops the connections to upstreams that are gone.
func (n *Node) keepConnections() {
	var names map[string]bool
	n.advice.With(func(a *serve.Advice) { names, n.upstreamChanges = a.Pool.NamesSince(n.upstreamChanges) })
	if names != nil {
		n.forward.Keep(names)
	}
}
