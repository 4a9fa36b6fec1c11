package node

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/fleet/coordination"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// holdings.go decides which upstreams this instance holds, and keeps a loop for each of them. A holder is
// made by a transaction on the upstream's key, whose revision is the fence of its orders.

const (
	// claimStep is how much longer each further instance in an upstream's line waits before it claims an
	// upstream that has no holder: the first in line should have it, and two claims are one too many.
	claimStep = 400 * time.Millisecond
	// claimSettle is the first one's wait, in which the roster fills after a start of the fleet.
	claimSettle = 300 * time.Millisecond
	// claimPause is the pause between two looks while an upstream has no holder, and matchPause while each has one;
	// changes in the store are looked at as they come.
	claimPause = 100 * time.Millisecond
	matchPause = 300 * time.Millisecond
)

type holdings struct {
	mutex sync.Mutex
	held  map[string]*holding
	// unheld tells since when an upstream has had no holder; only the loop that claims uses it.
	unheld map[string]time.Time
	// ordered is when this instance last gave an order to an upstream, under any fence.
	ordered map[string]time.Time
}

// newHoldings is made before the duties start: a peer may ask what is held before the loop that claims has
// taken its first step.
func newHoldings() holdings {
	return holdings{
		held: make(map[string]*holding), unheld: make(map[string]time.Time), ordered: make(map[string]time.Time),
	}
}

func (h *holdings) get(upstream string) *holding {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.held[upstream]
}

// names are the upstreams that are held.
func (h *holdings) names() map[string]bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	names := make(map[string]bool, len(h.held))
	for id := range h.held {
		names[id] = true
	}
	return names
}

// look has the planners that have something waiting look again: what is in use may have changed.
func (h *holdings) look() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, one := range h.held {
		if one.hasWants() {
			one.look()
		}
	}
}

// residencies is what this instance tells of the upstreams it holds.
func (h *holdings) residencies(now time.Time) (list []pool.Residency) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, one := range h.held {
		if residency, known := one.residency(now); known {
			list = append(list, residency)
		}
	}
	return list
}

// runHoldings claims upstreams without a holder, and starts and ends the loops.
func (n *Node) runHoldings(ctx context.Context) error {
	wait := claimPause
	for ctx.Err() == nil {
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-n.knowledge.wake:
		case <-ctx.Done():
		}
		timer.Stop()
		wait = matchPause
		if n.matchHoldings(ctx, time.Now()) {
			wait = claimPause
		}
	}
	return nil
}

// matchHoldings brings the loops in line with the keys, and tells whether an upstream is free to be claimed.
func (n *Node) matchHoldings(ctx context.Context, now time.Time) (vacant bool) {
	n.dropUndeclared()
	var free []vacancy
	vacancies := make(map[string]bool)
	for _, upstream := range n.unsettled(now) {
		if revision, vacant := n.matchHolding(ctx, upstream, now); vacant {
			free = append(free, vacancy{upstream: upstream, revision: revision})
			vacancies[upstream.ID] = true
		}
	}
	maps.DeleteFunc(n.holdings.unheld, func(id string, _ time.Time) bool { return !vacancies[id] })
	if len(free) > 0 && !n.stopping.Load() {
		n.claimInTurn(ctx, free, now)
	}
	return len(free) > 0
}

// vacancy is an upstream that was found free to be claimed, and the revision of its holder's key then, 0 for none.
// The claim is made on that revision: a holder that others see before the claim is sent would be replaced otherwise.
type vacancy struct {
	upstream traffic.Upstream
	revision int64
}

// matchHolding holds or drops one upstream, and tells whether it is free to be claimed on a revision of its key.
func (n *Node) matchHolding(
	ctx context.Context, upstream traffic.Upstream, now time.Time,
) (onRevision int64, free bool) {
	id := upstream.ID
	n.knowledge.mutex.Lock()
	holder, found := n.knowledge.roster.Holder(id)
	revision := n.knowledge.replica.Revision()
	n.knowledge.mutex.Unlock()
	if !n.isOpen(upstream) {
		n.drop(id) // nothing is loaded for it any more, and those who wait are told at once
		return 0, false
	}
	if found && holder.Incarnation == n.self.Incarnation {
		n.hold(ctx, upstream, holder)
		return 0, false
	}
	if one := n.holdings.get(id); one != nil && one.fence > revision {
		return 0, false // claimed a moment ago; the store's word of it has not come yet
	}
	n.drop(id)
	if found && holder.Instance == n.self.Name && !n.stopping.Load() {
		n.claim(ctx, upstream, holder.Fence) // left by this instance's last incarnation
		return 0, false
	}
	return holder.Fence, !found || n.mayReplace() && n.isLost(now, holder.Instance)
}

// isOpen reports whether an upstream takes new requests.
func (n *Node) isOpen(upstream traffic.Upstream) (open bool) {
	n.advice.With(func(a *serve.Advice) { open = a.Pool.IsOpen(upstream) })
	return open
}

// isLost tells whether a holder is silent although this instance hears most of the others. Its lease may
// run for seconds yet, in which nothing would be loaded at what it holds. If it lives after all, its next
// order is refused for its fence, and it stops.
func (n *Node) isLost(now time.Time, name string) bool {
	if n.overlay.isAlive(now, name) {
		return false
	}
	heard := 0
	others := n.others(name)
	for _, other := range others {
		if n.overlay.isAlive(now, other) {
			heard++
		}
	}
	return len(others) > 0 && 2*heard > len(others)
}

// others lists the instances of the roster without this one and a given one.
func (n *Node) others(without string) (names []string) {
	n.knowledge.mutex.Lock()
	defer n.knowledge.mutex.Unlock()
	for _, instance := range n.knowledge.roster.Instances() {
		if instance.Name != n.self.Name && instance.Name != without {
			names = append(names, instance.Name)
		}
	}
	return names
}

// unsettled lists the upstreams whose holder may have to change here: all but those that another live instance holds.
// Those are most of a large service, and this is asked several times a second.
func (n *Node) unsettled(now time.Time) (list []traffic.Upstream) {
	table := n.Table()
	if table == nil {
		return nil
	}
	holders := n.knowledge.liveHolders()
	settled := make(map[string]bool)
	for _, instance := range holders {
		if _, known := settled[instance]; !known {
			settled[instance] = instance != n.self.Name && !n.isLost(now, instance)
		}
	}
	held := n.holdings.names()
	n.advice.With(func(a *serve.Advice) {
		list = a.Pool.Declared(func(upstream *traffic.Upstream) bool {
			_, configured := table.Configuration.Services[upstream.Service]
			return configured && (held[upstream.ID] || !settled[holders[upstream.ID]])
		})
	})
	return list
}

// dropUndeclared ends the holdings of upstreams that are not declared any more, or whose service is not configured.
func (n *Node) dropUndeclared() {
	table := n.Table()
	for id := range n.holdings.names() {
		var upstream traffic.Upstream
		declared := false
		n.advice.With(func(a *serve.Advice) { upstream, declared = a.Pool.Upstream(id) })
		configured := false
		if table != nil {
			_, configured = table.Configuration.Services[upstream.Service]
		}
		if !declared || !configured {
			n.drop(id)
		}
	}
}

// claimInTurn claims the upstreams without a holder for which this instance is in line.
func (n *Node) claimInTurn(ctx context.Context, free []vacancy, now time.Time) {
	names := []string{n.self.Name}
	for _, name := range n.others("") {
		if n.overlay.isAlive(now, name) {
			names = append(names, name)
		}
	}
	held := make(map[string]int)
	n.knowledge.mutex.Lock()
	for _, holder := range n.knowledge.roster.Holders() {
		held[holder.Instance]++
	}
	n.knowledge.mutex.Unlock()
	var subjects []string
	for _, vacant := range free {
		subjects = append(subjects, vacant.upstream.ID)
	}
	turns := roster.Turns(subjects, names, held, n.self.Name)
	for _, vacant := range free {
		id := vacant.upstream.ID
		since, found := n.holdings.unheld[id]
		if !found {
			n.holdings.unheld[id] = now
			continue
		}
		if now.Sub(since) >= claimSettle+time.Duration(turns[id])*claimStep && !now.Before(n.ordersFrom(id)) {
			n.claim(ctx, vacant.upstream, vacant.revision)
		}
	}
}

// claim makes this instance the holder if the key is still as known. It orders from then on, without
// waiting for the store's word: after a restart of the whole fleet every adapter waits for a holder.
func (n *Node) claim(ctx context.Context, upstream traffic.Upstream, revision int64) {
	id := upstream.ID
	now := time.Now()
	leaseID, ok := n.lease.current(now)
	if !ok {
		return
	}
	key := roster.HolderKey(id)
	holder := roster.Holder{Instance: n.self.Name, Incarnation: n.self.Incarnation, Lease: leaseID}
	value, err := roster.EncodeHolder(holder)
	if err != nil {
		n.Log.Error().Err(err).Msg("ClaimFailed")
		return
	}
	fence, err := n.Store.Commit(ctx, coordination.Transaction{
		Conditions: []coordination.Condition{{Key: key, Revision: revision}},
		Writes:     []coordination.Write{{Key: key, Value: value, Lease: leaseID}},
	})
	n.holdings.unheld[id] = time.Now()
	switch {
	case errors.Is(err, coordination.ErrConflict):
		n.Log.Info().Str("Upstream", id).Msg("ClaimLost")
	case err != nil:
		n.Log.Warn().Err(err).Str("Upstream", id).Msg("ClaimFailed")
	default:
		n.Log.Info().Str("Upstream", id).Int64("Fence", fence).Msg("Claimed")
		holder.Fence = fence
		n.hold(ctx, upstream, holder)
	}
}

// hold runs a loop for an upstream that this instance holds.
func (n *Node) hold(ctx context.Context, upstream traffic.Upstream, holder roster.Holder) {
	before := n.holdings.get(upstream.ID)
	if before != nil && before.fence == holder.Fence && before.upstream.Born == upstream.Born {
		return
	}
	n.drop(upstream.ID)
	ctx, cancel := context.WithCancel(ctx)
	one := newHolding(ctx, n, upstream, holder, cancel)
	if before == nil || before.fence != holder.Fence {
		one.ordersFrom = n.ordersFrom(upstream.ID)
	}
	n.holdings.mutex.Lock()
	n.holdings.held[upstream.ID] = one
	n.holdings.mutex.Unlock()
	if !one.plain {
		go one.run(ctx)
	}
}

// drop ends the loop for an upstream.
func (n *Node) drop(id string) {
	n.holdings.mutex.Lock()
	one := n.holdings.held[id]
	delete(n.holdings.held, id)
	n.holdings.mutex.Unlock()
	if one != nil {
		one.stop()
		n.Log.Info().Str("Upstream", id).Int64("Fence", one.fence).Msg("HoldingEnded")
	}
}
