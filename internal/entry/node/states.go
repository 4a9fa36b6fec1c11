package node

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/gossip"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// states.go builds this instance's state, and takes over the states of the others.

// refresh is when a part of the own state was last refreshed.
type refresh struct {
	general time.Time
	held    time.Time
	// spent is what was admitted when the others were last let know.
	spent   quota.Spent
	spentAt time.Time
	// loaded is a fingerprint of what was loaded at the held upstreams then.
	loaded uint64
}

// refreshState replaces the parts of the own state that are due, or all. In a large fleet the general part is
// refreshed every few seconds; what is loaded at the held upstreams goes on as it changes.
//
// Made for a fleet with some hundred places for adapters, half of which hold others every few seconds. By what was
// loaded some seconds ago, requests go where their adapter is not any more, and adapters are fetched that are loaded
// elsewhere.
func (n *Node) refreshState(now time.Time, urgent bool) {
	// Half a beat is allowed for, as beats are not exact.
	since := now.Add(beatEvery/2 - n.overlay.pace())
	general := urgent || !n.refreshed.general.After(since)
	by := spentRegularly
	if general {
		by = spentWithState
	}
	n.refreshSpent(now, by)
	if general {
		n.refreshed.general = now
		n.setPart(gossip.PartGeneral, urgent, func() ([]byte, error) { return mesh.EncodeState(n.state(now)) })
	}
	residencies := n.holdings.residencies(now)
	loaded := fingerprint(residencies)
	changed := loaded != n.refreshed.loaded && now.Sub(n.refreshed.held) >= heldEvery-beatEvery/2
	if changed || !n.refreshed.held.After(since) {
		n.refreshed.held = now
		n.refreshed.loaded = loaded
		n.setPart(gossip.PartHeld, false, func() ([]byte, error) { return mesh.EncodeHeld(n.held(now, residencies)) })
	}
}

const (
	// spentEvery is how often an instance lets the others know what it has admitted lately, where the general part of
	// its state is refreshed more seldom.
	spentEvery = time.Second
	// heldEvery is the same for what is loaded at the held upstreams, which changes at each beat in a busy fleet. Passed
	// on as often as that, it would fill the links of relays, and news would be late.
	heldEvery = time.Second
)

// spentBy is how what was admitted lately reaches the others.
type spentBy int

const (
	// spentRegularly: as a part of its own, if that is due.
	spentRegularly spentBy = iota
	// spentUrgent: as a part of its own, at once.
	spentUrgent
	// spentWithState: with the general part.
	spentWithState
)

// refreshSpent lets the others know what was admitted lately.
func (n *Node) refreshSpent(now time.Time, by spentBy) {
	if by == spentRegularly && now.Sub(n.refreshed.spentAt) < spentEvery {
		return
	}
	n.refreshed.spentAt = now
	var spent quota.Spent
	n.advice.With(func(a *serve.Advice) { spent = a.Ledger.Own() })
	lately := spent.Since(n.refreshed.spent)
	n.refreshed.spent = spent
	if by != spentWithState && len(lately) > 0 {
		n.setPart(gossip.PartSpent, by == spentUrgent, func() ([]byte, error) {
			return mesh.EncodeState(mesh.State{Incarnation: n.self.Incarnation, Spent: lately})
		})
	}
}

func (n *Node) setPart(part gossip.Part, urgent bool, encode func() ([]byte, error)) {
	content, err := encode()
	if err != nil {
		n.Log.Error().Err(err).Msg("StateNotEncoded")
		return
	}
	n.overlay.mutex.Lock()
	defer n.overlay.mutex.Unlock()
	n.overlay.table.SetOwn(part, content, urgent)
}

// state is what this instance lets all others know of itself.
func (n *Node) state(now time.Time) mesh.State {
	state := mesh.State{
		Incarnation:      n.self.Incarnation,
		Address:          n.self.Address,
		StoreUnreachable: n.storeUnreachable.Load(),
	}
	holders := n.knowledge.liveHolders()
	n.advice.With(func(a *serve.Advice) {
		state.Spent = a.Ledger.Own()
		state.Suspects = a.Suspects.LocalCounts(now)
		state.Evidence = a.Pool.Evidence()
		state.Loads = a.Pool.Own(func(upstream string) bool { return holders[upstream] == "" })
	})
	return state
}

// held is what this instance lets all others know of the upstreams that it holds.
func (n *Node) held(now time.Time, residencies []pool.Residency) mesh.HeldReport {
	held := mesh.HeldReport{Residencies: residencies, Held: make(map[string]pool.Load)}
	n.advice.With(func(a *serve.Advice) {
		for _, residency := range residencies {
			held.Held[residency.Upstream] = a.Pool.Total(now, residency.Upstream)
		}
	})
	return held
}

// fingerprint changes with what is loaded at upstreams, in whatever order it is listed.
func fingerprint(residencies []pool.Residency) (sum uint64) {
	for _, residency := range residencies {
		sum += xxhash.Sum64String(fmt.Sprint(residency.Upstream, residency.Fence, residency.Away))
		for _, resident := range residency.Loaded {
			sum += xxhash.Sum64String(fmt.Sprint(residency.Upstream, resident))
		}
	}
	return sum
}

// relayedAge is how old the state of an instance without a link of its own is taken to be.
const relayedAge = beatEvery

// learn takes over a part of the state of another instance, which came from that instance itself or through relays.
func (n *Node) learn(now time.Time, record gossip.Record, direct bool) {
	var err error
	switch record.Part {
	case gossip.PartHeld:
		err = n.learnHeldUpstreams(now, record, direct)
	case gossip.PartSpent:
		err = n.learnSpent(now, record)
	case gossip.PartGeneral:
		err = n.learnState(now, record)
	}
	if err != nil {
		n.Log.Warn().Err(err).Str("Peer", record.Instance).Int64("Version", record.Version).Msg("StateUnreadable")
	}
}

func (n *Node) learnState(now time.Time, record gossip.Record) error {
	state, err := mesh.DecodeState(record.Content)
	if err != nil {
		return err
	}
	n.overlay.setStoreUnreachable(now, record.Instance, state.StoreUnreachable)
	outdated := !n.overlay.noteSpent(record)
	n.advice.With(func(a *serve.Advice) {
		if !outdated {
			a.Ledger.Hear(now, record.Instance, state.Incarnation, state.Spent)
		}
		a.Suspects.SetPeerCounts(now, record.Instance, state.Suspects)
		a.Pool.LearnLoads(now, record.Instance, state.Loads)
		a.Pool.LearnEvidence(now, record.Instance, state.Evidence)
	})
	if len(state.Loads) > 0 {
		n.holdings.look()
	}
	return nil
}

func (n *Node) learnSpent(now time.Time, record gossip.Record) error {
	state, err := mesh.DecodeState(record.Content)
	if err != nil || !n.overlay.noteSpent(record) {
		return err
	}
	n.advice.With(func(a *serve.Advice) {
		a.Ledger.HearSome(now, record.Instance, state.Incarnation, state.Spent)
	})
	return nil
}

func (n *Node) learnHeldUpstreams(now time.Time, record gossip.Record, direct bool) error {
	held, err := mesh.DecodeHeld(record.Content)
	if err != nil {
		return err
	}
	at := now
	if !direct {
		at = now.Add(-relayedAge)
	}
	n.advice.With(func(a *serve.Advice) {
		for _, residency := range held.Residencies {
			a.Pool.LearnResidency(now, residency)
		}
		for id, load := range held.Held {
			a.Pool.LearnTotal(at, id, load)
		}
	})
	return nil
}

// ShareSpent lets the other instances know at once what this one has admitted.
func (n *Node) ShareSpent() { n.overlay.urgeSpent() }
