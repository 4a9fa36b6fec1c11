package node

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/gossip"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// states.go builds this instance's state, and takes over the states of the others.

// isRefreshDue tells whether the own state is to be refreshed. Half a beat is allowed for, as beats are not exact.
func (o *overlay) isRefreshDue(now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return now.Sub(o.refreshed) >= statePace(o.others())-beatEvery/2
}

// refreshState replaces the own state.
func (n *Node) refreshState(urgent bool) {
	content, err := mesh.EncodeState(n.state())
	if err != nil {
		n.Log.Error().Err(err).Msg("StateNotEncoded")
		return
	}
	n.overlay.mutex.Lock()
	defer n.overlay.mutex.Unlock()
	n.overlay.table.SetOwn(content, urgent)
	n.overlay.refreshed = time.Now()
}

// state is what this instance lets all others know of itself.
func (n *Node) state() mesh.State {
	now := time.Now()
	state := mesh.State{
		Incarnation:      n.self.Incarnation,
		Address:          n.self.Address,
		StoreUnreachable: n.storeUnreachable.Load(),
		Residencies:      n.holdings.residencies(now),
		Held:             make(map[string]pool.Load),
	}
	holders := n.knowledge.liveHolders()
	n.advice.With(func(a *serve.Advice) {
		state.Spent = a.Ledger.Own()
		state.Suspects = a.Suspects.Own(now)
		state.Loads = a.Pool.Own(func(upstream string) bool { return holders[upstream] == "" })
		for _, residency := range state.Residencies {
			state.Held[residency.Upstream] = a.Pool.Total(now, residency.Upstream)
		}
	})
	return state
}

// relayedAge is how old the state of an instance without a link of its own is taken to be.
const relayedAge = beatEvery

// learn takes over the state of another instance, which came from that instance itself or through relays.
func (n *Node) learn(now time.Time, record gossip.Record, direct bool) {
	state, err := mesh.DecodeState(record.Content)
	if err != nil {
		n.Log.Warn().Err(err).Str("Peer", record.Instance).Int64("Version", record.Version).Msg("StateUnreadable")
		return
	}
	at := now
	if !direct {
		at = now.Add(-relayedAge)
	}
	n.overlay.setStoreUnreachable(now, record.Instance, state.StoreUnreachable)
	n.advice.With(func(a *serve.Advice) {
		a.Ledger.Hear(now, record.Instance, state.Incarnation, state.Spent)
		a.Suspects.Merge(now, record.Instance, state.Suspects)
		a.Pool.LearnLoads(now, record.Instance, state.Loads)
		for _, residency := range state.Residencies {
			a.Pool.LearnResidency(now, residency)
		}
		for id, load := range state.Held {
			a.Pool.LearnTotal(at, id, load)
		}
	})
	if len(state.Loads) > 0 {
		n.holdings.look()
	}
}

// ShareSpent lets the other instances know at once what this one has admitted.
func (n *Node) ShareSpent() { n.overlay.urge() }
