package node

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/gossip"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/origin"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// state_exchange.go builds the gossip state of this instance, and applies the states of the others.

// refresh is when each part of the state of this instance was last refreshed.
type refresh struct {
	general time.Time
	held    time.Time
	// spent is the admitted usage when it was last sent to the others, at spentAt, and stated as it was in the general
	// part.
	spent   quota.Totals
	stated  quota.Totals
	spentAt time.Time
	// loadedFingerprint is a fingerprint of the models loaded at the held upstreams at that time.
	loadedFingerprint uint64
}

// refreshState rebuilds the parts of the state of this instance that are due, or all parts if it is urgent. In a large
// fleet the general part is refreshed every few seconds. The models loaded at the held upstreams are sent when they
// change.
//
// It covers a fleet with some hundred adapter slots, half of which change their adapter every few seconds. With
// information that is some seconds old, requests would go to upstreams that no longer have their adapter, and adapters
// would be loaded although they are loaded elsewhere.
func (n *Node) refreshState(now time.Time, urgent bool) {
	// Heartbeats are not exact, so half an interval is tolerated.
	since := now.Add(heartbeatInterval/2 - n.overlay.currentStateInterval())
	general := urgent || !n.refreshed.general.After(since)
	delivery := spentPeriodic
	if general {
		delivery = spentWithState
	}
	n.refreshSpent(now, delivery)
	if general {
		n.refreshed.general = now
		n.setPart(gossip.PartGeneral, urgent, func() ([]byte, error) { return mesh.EncodeState(n.state(now)) })
	}
	residencies := n.heldUpstreams.residencies(now)
	loaded := fingerprint(residencies) + n.limitsFingerprint(now) + n.pacesFingerprint()
	changed := loaded != n.refreshed.loadedFingerprint && now.Sub(n.refreshed.held) >= heldInterval-heartbeatInterval/2
	if changed || !n.refreshed.held.After(since) {
		n.refreshed.held = now
		n.refreshed.loadedFingerprint = loaded
		n.setPart(gossip.PartHeld, false, func() ([]byte, error) { return mesh.EncodeHeld(n.heldReport(now, residencies)) })
	}
}

const (
	// spentInterval is how often an instance sends the recently admitted usage if the general part of its state is
	// refreshed less often.
	spentInterval = time.Second
	// heldInterval is the same for the models loaded at the held upstreams, which change at each heartbeat in a busy
	// fleet. If they were sent that often, they would fill the links of relays and delay urgent changes.
	heldInterval = time.Second
)

// spentDelivery is how the recently admitted usage is sent to the others.
type spentDelivery int

const (
	// spentPeriodic: as a separate part, if that is due.
	spentPeriodic spentDelivery = iota
	// spentImmediate: as a separate part, immediately.
	spentImmediate
	// spentWithState: with the general part.
	spentWithState
)

// refreshSpent sends the recently admitted usage to the others: all totals that the last general part lacks, and not only
// those that changed since the usage was last sent. A part that is replaced before it was passed on is lost.
func (n *Node) refreshSpent(now time.Time, delivery spentDelivery) {
	if delivery == spentPeriodic && now.Sub(n.refreshed.spentAt) < spentInterval {
		return
	}
	n.refreshed.spentAt = now
	var spent quota.Totals
	n.sharedState.WithLock(func(state *serve.SharedState) { spent = state.Ledger.OwnTotals() })
	changed := len(spent.ChangedSince(n.refreshed.spent)) > 0
	n.refreshed.spent = spent
	if delivery == spentWithState {
		n.refreshed.stated = spent
		return
	}
	if changed {
		recent := spent.ChangedSince(n.refreshed.stated)
		n.setPart(gossip.PartSpent, delivery == spentImmediate, func() ([]byte, error) {
			return mesh.EncodeState(mesh.State{Incarnation: n.self.Incarnation, Spent: recent})
		})
	}
}

func (n *Node) setPart(part gossip.Part, urgent bool, encode func() ([]byte, error)) {
	content, err := encode()
	if err != nil {
		n.Log.Error().Err(err).Msg("StateEncodeFailed")
		return
	}
	tags := map[string]string{"part": part.String(), "urgent": strconv.FormatBool(urgent)}
	n.scope.Tagged(tags).Counter("state_bytes").Inc(int64(len(content)))
	n.overlay.mutex.Lock()
	defer n.overlay.mutex.Unlock()
	n.overlay.table.SetOwn(part, content, urgent)
}

// state returns the general part of the state, which is sent to all others.
func (n *Node) state(now time.Time) mesh.State {
	state := mesh.State{
		Incarnation:      n.self.Incarnation,
		Address:          n.self.Address,
		StoreUnreachable: n.storeUnreachable.Load(),
		Unreached:        n.unreached(),
		StreamLifetime:   n.origins.ownLifetime(now),
	}
	holders := n.view.liveHolders()
	n.sharedState.WithLock(func(shared *serve.SharedState) {
		state.Spent = shared.Ledger.OwnTotals()
		state.Suspects = shared.Suspects.Records(now)
		state.Evidence = shared.Pool.Evidence()
		state.Brittle = shared.Pool.OwnBrittleness(now)
		state.Loads = shared.Pool.OwnLoads(func(upstream string) bool { return holders[upstream] == "" })
	})
	return state
}

// heldReport returns the state of the held upstreams that is sent to all others.
func (n *Node) heldReport(now time.Time, residencies []pool.Residency) mesh.HeldReport {
	held := mesh.HeldReport{Residencies: residencies, Loads: make(map[string]pool.Load), Limits: n.heldLimits(now)}
	n.sharedState.WithLock(func(state *serve.SharedState) {
		for _, residency := range residencies {
			held.Loads[residency.Upstream] = state.Pool.Total(now, residency.Upstream)
		}
		held.Paces = state.Pool.HeldPaces(now, func(string) bool { return true })
	})
	return held
}

// fingerprint changes with the models loaded at upstreams, regardless of the order in which they are listed.
func fingerprint(residencies []pool.Residency) (sum uint64) {
	for _, residency := range residencies {
		sum += xxhash.Sum64String(fmt.Sprint(residency.Upstream, residency.StartedMillis, residency.Fence, residency.Unreachable))
		for _, resident := range residency.Loaded {
			sum += xxhash.Sum64String(fmt.Sprint(residency.Upstream, resident))
		}
	}
	return sum
}

// heldLimits lists what is known of the limits of the held upstreams.
func (n *Node) heldLimits(now time.Time) (limits []pool.LimitStatement) {
	ids := n.heldUpstreams.ids()
	n.sharedState.WithLock(func(state *serve.SharedState) {
		limits = state.Pool.Limits(now, func(upstream string) bool { return ids[upstream] })
	})
	return limits
}

// limitsFingerprint changes with the limits of the held upstreams.
func (n *Node) limitsFingerprint(now time.Time) (sum uint64) {
	for _, stated := range n.heldLimits(now) {
		sum += xxhash.Sum64String(fmt.Sprint("limit", stated.Life, stated.Limited, stated.PerSecond))
	}
	return sum
}

// assumedRelayDelay is the assumed age of a state that arrived through relays.
const assumedRelayDelay = heartbeatInterval

// applyRecord applies a part of the state of another instance, which was received directly or through relays.
func (n *Node) applyRecord(now time.Time, record gossip.Record, direct bool) {
	var err error
	switch record.Part {
	case gossip.PartHeld:
		err = n.applyHeld(now, record, direct)
	case gossip.PartSpent:
		err = n.applySpent(now, record)
	case gossip.PartGeneral:
		err = n.applyState(now, record)
	}
	if err != nil {
		n.Log.Warn().Err(err).Str("Peer", record.Instance).Int64("Version", record.Version).Msg("StateUnreadable")
	}
}

func (n *Node) applyState(now time.Time, record gossip.Record) error {
	state, err := mesh.DecodeState(record.Content)
	if err != nil {
		return err
	}
	n.overlay.setStoreUnreachable(now, record.Instance, state.StoreUnreachable)
	n.links.setPeer(record.Instance, state.Unreached)
	if state.StreamLifetime > 0 {
		n.extendStreamLifetime(now, min(state.StreamLifetime, origin.MaxLifetime))
	}
	outdated := !n.overlay.recordSpentVersion(record)
	due := false
	n.sharedState.WithLock(func(shared *serve.SharedState) {
		if !outdated {
			spent := shared.Ledger.WithCharged(record.Instance, record.Version, state.Spent)
			shared.Ledger.MergeTotals(now, record.Instance, state.Incarnation, spent)
		}
		shared.Suspects.Merge(now, state.Suspects)
		due = shared.Suspects.IsStatementDue()
		shared.Pool.RecordPeerLoads(now, record.Instance, state.Loads)
		shared.Pool.RecordPeerEvidence(now, record.Instance, state.Evidence)
		shared.Pool.RecordPeerBrittleness(now, state.Brittle)
	})
	if len(state.Loads) > 0 {
		n.heldUpstreams.wakeWaiting()
	}
	if due && n.clearStatementPending.CompareAndSwap(false, true) {
		statement := clearStatement{node: n}
		go statement.run(context.Background())
	}
	return nil
}

func (n *Node) applySpent(now time.Time, record gossip.Record) error {
	state, err := mesh.DecodeState(record.Content)
	if err != nil || !n.overlay.recordSpentVersion(record) {
		return err
	}
	n.sharedState.WithLock(func(shared *serve.SharedState) {
		spent := shared.Ledger.WithCharged(record.Instance, record.Version, state.Spent)
		shared.Ledger.MergePartialTotals(now, record.Instance, state.Incarnation, spent)
	})
	return nil
}

func (n *Node) applyHeld(now time.Time, record gossip.Record, direct bool) error {
	held, err := mesh.DecodeHeld(record.Content)
	if err != nil {
		return err
	}
	at := now
	if !direct {
		at = now.Add(-assumedRelayDelay)
	}
	n.recordResidencies(now, held.Residencies)
	n.sharedState.WithLock(func(state *serve.SharedState) {
		for id, load := range held.Loads {
			state.Pool.RecordHolderTotal(at, id, load)
		}
		state.Pool.MergeLimits(at, held.Limits)
		state.Pool.MergePaces(at, held.Paces)
	})
	return nil
}

// PublishSpent sends the usage that this instance has admitted to the other instances immediately.
func (n *Node) PublishSpent() { n.overlay.requestSpentSend() }
