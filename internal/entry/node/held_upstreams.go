package node

import (
	"cmp"
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/fleet/coordination"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// held_upstreams.go decides which upstreams this instance holds, and runs a loop for each of them. An instance becomes
// holder by a transaction on the holder key of the upstream. The revision of that key is the fencing token of its
// orders.

const (
	// claimRankDelay is the additional wait per rank before an instance claims an upstream without a holder. The
	// instance with the first rank should get it; a second claim is wasted.
	claimRankDelay = 400 * time.Millisecond
	// claimDelay is the wait of the instance with the first rank. The roster fills in that time after a start of the
	// fleet.
	claimDelay = 300 * time.Millisecond
	// claimantsVerified is how many instances, by rank, check their links to an upstream without a holder before they
	// claim it: links are often lost at several instances at once.
	claimantsVerified = 3
	// claimInterval is the interval between checks while an upstream has no holder, and ownershipInterval the interval
	// while every upstream has one. Changes in the store trigger a check immediately.
	claimInterval     = 100 * time.Millisecond
	ownershipInterval = 300 * time.Millisecond
)

type heldUpstreams struct {
	mutex sync.Mutex
	byID  map[string]*heldUpstream
	// vacantSince is the time since which an upstream has had no holder. Only the ownership loop uses it.
	vacantSince map[string]time.Time
	turns       turns
	// unreachableSince is the time since which no holder of the engines of a service has been alive for this instance. Only the ownership loop uses it.
	unreachableSince map[string]time.Time
	// released is the fencing token with which this instance last gave up an upstream.
	released map[string]int64
}

// newHeldUpstreams is called before the tasks start: a peer may request the held upstreams before the ownership loop
// has run its first iteration.
func newHeldUpstreams() heldUpstreams {
	return heldUpstreams{
		byID: make(map[string]*heldUpstream), vacantSince: make(map[string]time.Time), released: make(map[string]int64),
		unreachableSince: make(map[string]time.Time),
		turns: turns{
			last: make(map[string]sentOrder), others: make(map[string]int64),
			inProgress: make(map[string]int), unansweredAt: make(map[string]time.Time),
		},
	}
}

func (h *heldUpstreams) get(upstream string) *heldUpstream {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.byID[upstream]
}

// ids returns the IDs of the held upstreams.
func (h *heldUpstreams) ids() map[string]bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	ids := make(map[string]bool, len(h.byID))
	for id := range h.byID {
		ids[id] = true
	}
	return ids
}

// wakeWaiting wakes the loops of upstreams that have waiting requests, because the set of adapters in use may have
// changed.
func (h *heldUpstreams) wakeWaiting() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, held := range h.byID {
		if held.hasWaitingRequests() {
			held.wakeLoop()
		}
	}
}

// residencies returns the state of the held upstreams that is sent to the other instances.
func (h *heldUpstreams) residencies(now time.Time) (list []pool.Residency) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, held := range h.byID {
		if residency, known := held.residency(now); known {
			list = append(list, residency)
		}
	}
	return list
}

// runOwnership claims upstreams without a holder, and starts and stops the loops of the held upstreams.
func (n *Node) runOwnership(ctx context.Context) error {
	wait := claimInterval
	for ctx.Err() == nil {
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-n.view.wake:
		case <-ctx.Done():
		}
		timer.Stop()
		wait = ownershipInterval
		if n.reconcileOwnership(ctx, time.Now()) {
			wait = claimInterval
		}
	}
	return nil
}

// reconcileOwnership starts and stops loops according to the holder keys, and reports whether an upstream can be
// claimed.
func (n *Node) reconcileOwnership(ctx context.Context, now time.Time) (vacant bool) {
	n.releaseUndeclared()
	var free []vacancy
	vacancies := make(map[string]bool)
	for _, upstream := range n.upstreamsToReconcile(now) {
		if revision, vacant := n.reconcileUpstream(ctx, upstream, now); vacant {
			free = append(free, vacancy{upstream: upstream, revision: revision})
			vacancies[upstream.ID] = true
		}
	}
	maps.DeleteFunc(n.heldUpstreams.vacantSince, func(id string, _ time.Time) bool { return !vacancies[id] })
	if len(free) > 0 && !n.stopping.Load() {
		n.claimByRank(ctx, free, now)
	}
	n.claimFromUnreachable(ctx, now)
	return len(free) > 0
}

// vacancy is an upstream that can be claimed, and the revision of its holder key when that was found, 0 for none. The
// claim is conditional on that revision. Otherwise it would replace a holder that appeared before the claim was sent.
type vacancy struct {
	upstream traffic.Upstream
	revision int64
}

// reconcileUpstream starts or stops holding one upstream, and reports whether it can be claimed on a revision of its
// holder key.
func (n *Node) reconcileUpstream(
	ctx context.Context, upstream traffic.Upstream, now time.Time,
) (onRevision int64, free bool) {
	id := upstream.ID
	n.view.mutex.Lock()
	holder, found := n.view.roster.Holder(id)
	revision := n.view.replica.Revision()
	n.view.mutex.Unlock()
	if !n.acceptsRequests(upstream) {
		n.stopHolding(id) // stop loading adapters, and notify waiting requests immediately
		return 0, false
	}
	if found && holder.Incarnation == n.self.Incarnation {
		if n.heldUpstreams.isReleased(id, holder.Fence) {
			return 0, false
		}
		n.startHolding(ctx, upstream, holder)
		return 0, false
	}
	if held := n.heldUpstreams.get(id); held != nil && held.fence > revision {
		return 0, false // just claimed; the replicated state does not show the claim yet
	}
	n.stopHolding(id)
	if found && holder.Instance == n.self.Name && !n.stopping.Load() {
		n.takeOver(ctx, upstream, holder)
		return 0, false
	}
	return holder.Fence, !found || n.mayReplaceEarly() && n.isHolderLost(now, holder.Instance) && !n.isSilentClaim(holder)
}

// acceptsRequests reports whether an upstream takes new requests.
func (n *Node) acceptsRequests(upstream traffic.Upstream) (open bool) {
	n.sharedState.WithLock(func(state *serve.SharedState) { open = state.Pool.AcceptsRequests(upstream) })
	return open
}

// isHolderLost reports whether a holder is silent although this instance receives messages from most of the others. Its
// lease may still run for seconds, during which nothing would be loaded at its upstreams. If the holder is in fact
// alive, its next order is refused for its outdated fencing token, and it stops.
func (n *Node) isHolderLost(now time.Time, name string) bool {
	if n.overlay.isAlive(now, name) {
		return false
	}
	reachable := 0
	others := n.otherInstances(name)
	for _, other := range others {
		if n.overlay.isAlive(now, other) {
			reachable++
		}
	}
	return len(others) > 0 && 2*reachable > len(others)
}

// otherInstances lists the instances of the roster except this one and the given one.
func (n *Node) otherInstances(without string) (names []string) {
	n.view.mutex.Lock()
	defer n.view.mutex.Unlock()
	for _, instance := range n.view.roster.Instances() {
		if instance.Name != n.self.Name && instance.Name != without {
			names = append(names, instance.Name)
		}
	}
	return names
}

// upstreamsToReconcile lists the upstreams whose holder may have to change here: all except those that another live
// instance holds. In a large service other live instances hold most of the upstreams, and this list is built several
// times a second.
func (n *Node) upstreamsToReconcile(now time.Time) (list []traffic.Upstream) {
	table := n.Table()
	if table == nil {
		return nil
	}
	holders := n.view.liveHolders()
	heldByOther := make(map[string]bool)
	for _, instance := range holders {
		if _, known := heldByOther[instance]; !known {
			heldByOther[instance] = instance != n.self.Name && !n.isHolderLost(now, instance)
		}
	}
	held := n.heldUpstreams.ids()
	n.sharedState.WithLock(func(state *serve.SharedState) {
		list = state.Pool.Declared(func(upstream *traffic.Upstream) bool {
			_, configured := table.Configuration.Services[upstream.Service]
			return configured && (held[upstream.ID] || !heldByOther[holders[upstream.ID]])
		})
	})
	return list
}

// releaseUndeclared stops holding upstreams that are no longer declared or whose service is not configured.
func (n *Node) releaseUndeclared() {
	table := n.Table()
	for id := range n.heldUpstreams.ids() {
		var upstream traffic.Upstream
		declared := false
		n.sharedState.WithLock(func(state *serve.SharedState) { upstream, declared = state.Pool.Upstream(id) })
		configured := false
		if table != nil {
			_, configured = table.Configuration.Services[upstream.Service]
		}
		if !declared || !configured {
			n.stopHolding(id)
		}
	}
}

// claimByRank claims the upstreams without a holder whose claim delay for the rank of this instance has passed.
func (n *Node) claimByRank(ctx context.Context, free []vacancy, now time.Time) {
	names := []string{n.self.Name}
	for _, name := range n.otherInstances("") {
		if n.overlay.isAlive(now, name) {
			names = append(names, name)
		}
	}
	held := make(map[string]int)
	n.view.mutex.Lock()
	for _, holder := range n.view.roster.Holders() {
		held[holder.Instance]++
	}
	n.view.mutex.Unlock()
	ranks := n.takeoverRanks(free, names, held)
	for _, vacant := range free {
		id := vacant.upstream.ID
		rank, mayClaim := ranks[id]
		if !mayClaim {
			continue
		}
		since, found := n.heldUpstreams.vacantSince[id]
		if !found {
			n.heldUpstreams.vacantSince[id] = now
			if rank < claimantsVerified {
				n.VerifyLink(vacant.upstream)
			}
			continue
		}
		if now.Sub(since) >= claimDelay+time.Duration(rank)*claimRankDelay && !now.Before(n.mayOrderFrom(id, 0)) {
			n.claim(ctx, vacant.upstream, vacant.revision)
		}
	}
}

// takeoverRanks returns the rank of this instance for each upstream that it may claim. Upstreams that the same instances
// reach are ranked together, so that they are spread over those.
func (n *Node) takeoverRanks(free []vacancy, names []string, held map[string]int) map[string]int {
	type group struct{ names, subjects []string }
	groups := make(map[string]*group)
	for _, vacant := range free {
		reaching, mayClaim := n.claimants(vacant.upstream.ID, names)
		if !mayClaim {
			continue
		}
		key := strings.Join(reaching, "\x00")
		if groups[key] == nil {
			groups[key] = &group{names: reaching}
		}
		groups[key].subjects = append(groups[key].subjects, vacant.upstream.ID)
	}
	ranks := make(map[string]int)
	for _, one := range groups {
		maps.Copy(ranks, roster.TakeoverRanks(one.subjects, one.names, held, n.self.Name))
	}
	return ranks
}

// takeOver claims an upstream that an earlier life of this instance held. An order of that life may still arrive. Where upstreams
// check fencing tokens, they refuse it for its lower token. Elsewhere this life goes on with the token of the earlier one, so that
// the late order is one more of the same holder, whose precondition no longer holds once the upstream has accepted another. Another
// machine of the same name is another holder, and waits until no order of the earlier one can arrive.
func (n *Node) takeOver(ctx context.Context, upstream traffic.Upstream, earlier roster.Holder) {
	if n.current.Load().Upstreams.FencesChecked {
		n.claim(ctx, upstream, earlier.Fence)
		return
	}
	n.heldUpstreams.turns.recordEarlierLife(upstream.ID, earlier.Token, n.startedAt)
	token := earlier.Token
	if earlier.Address != n.self.Address {
		token = 0
	}
	n.claimWithToken(ctx, upstream, earlier.Fence, token)
}

// claim makes this instance the holder if the key is unchanged. The instance sends orders from then on, without waiting
// until the claim appears in the replicated state: after a restart of the whole fleet every adapter waits for a holder.
func (n *Node) claim(ctx context.Context, upstream traffic.Upstream, revision int64) {
	n.claimWithToken(ctx, upstream, revision, 0)
}

// claimWithToken is claim with the fencing token of the orders; 0 for that of the claim.
func (n *Node) claimWithToken(ctx context.Context, upstream traffic.Upstream, revision, token int64) {
	id := upstream.ID
	now := time.Now()
	leaseID, ok := n.lease.current(now)
	if !ok {
		return
	}
	key := roster.HolderKey(id)
	holder := roster.Holder{Instance: n.self.Name, Incarnation: n.self.Incarnation, Lease: leaseID, Token: token, Address: n.self.Address}
	value, err := roster.EncodeHolder(holder)
	if err != nil {
		n.Log.Error().Err(err).Msg("ClaimFailed")
		return
	}
	fence, err := n.Store.Commit(ctx, coordination.Transaction{
		Conditions: []coordination.Condition{{Key: key, Revision: revision}},
		Writes:     []coordination.Write{{Key: key, Value: value, Lease: leaseID}},
	})
	n.heldUpstreams.vacantSince[id] = time.Now()
	switch {
	case errors.Is(err, coordination.ErrConflict):
		n.Log.Info().Str("Upstream", id).Msg("ClaimLost")
	case err != nil:
		n.Log.Warn().Err(err).Str("Upstream", id).Msg("ClaimFailed")
	default:
		holder.Fence, holder.Token = fence, cmp.Or(token, fence)
		n.Log.Info().Str("Upstream", id).Int64("Fence", fence).Int64("Token", holder.Token).Msg("Claimed")
		n.startHolding(ctx, upstream, holder)
	}
}

// startHolding runs a loop for an upstream that this instance holds. It starts anew where the upstream does, and where a
// configuration makes an engine of a plain upstream or the reverse.
func (n *Node) startHolding(ctx context.Context, upstream traffic.Upstream, holder roster.Holder) {
	previous := n.heldUpstreams.get(upstream.ID)
	if previous != nil && previous.fence == holder.Fence && previous.startedMillis() == upstream.StartedMillis &&
		previous.plain == n.isPlain(upstream.Service) {
		return
	}
	n.stopHolding(upstream.ID)
	ctx, cancel := context.WithCancel(ctx)
	held := newHeldUpstream(ctx, n, upstream, holder, cancel)
	if previous == nil || previous.fence != holder.Fence || previous.plain {
		held.mayOrderFrom = n.mayOrderFrom(upstream.ID, holder.Token)
	}
	n.heldUpstreams.mutex.Lock()
	n.heldUpstreams.byID[upstream.ID] = held
	n.heldUpstreams.mutex.Unlock()
	n.sharedState.WithLock(func(state *serve.SharedState) { state.Pool.SetHeld(upstream.ID, true) })
	if !held.plain {
		go held.run(ctx)
	}
}

// stopHolding ends the loop of an upstream.
func (n *Node) stopHolding(id string) {
	n.heldUpstreams.mutex.Lock()
	held := n.heldUpstreams.byID[id]
	delete(n.heldUpstreams.byID, id)
	n.heldUpstreams.mutex.Unlock()
	if held != nil {
		n.sharedState.WithLock(func(state *serve.SharedState) { state.Pool.SetHeld(id, false) })
		held.stop()
		n.Log.Info().Str("Upstream", id).Int64("Fence", held.fence).Msg("HoldingEnded")
	}
}
