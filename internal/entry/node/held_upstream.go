package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
	"lacewingrock.example/lacewingrock/internal/placement/turn"
)

// held_upstream.go carries out the decisions of the planner at one upstream that this instance holds.

type heldUpstream struct {
	node *Node
	// upstream is as declared, with the start of the life that the loop goes on with. Only the loop changes that, with the lock held.
	upstream traffic.Upstream
	// fence is the revision of the holder key, and token the fencing token of orders.
	fence, token int64
	// lease is the lease that the holder key is bound to. mayOrderFrom is the earliest time at which this instance may
	// send orders again if it sent orders to this upstream before.
	lease        int64
	mayOrderFrom time.Time
	stop         context.CancelFunc
	// plain: the upstream is not an engine. It loads no adapters; its holder only adds up the requests in flight.
	plain bool
	// ended is closed when the instance no longer holds the upstream.
	ended <-chan struct{}
	wake  chan struct{}

	// checkedAt is when the upstream last responded, or when its link was last checked. Only the loop uses it.
	checkedAt time.Time
	// declarations counts the declared versions that the planner has received. Only the loop uses it.
	declarations int

	mutex        sync.Mutex
	planner      residence.Planner
	prefillQueue turn.Queue
	changed      chan struct{}
	fenced       bool
	hasReport    bool
	// unreachable: neither this instance nor its peers can connect to the upstream.
	unreachable bool
	// pathInDoubt: the link of this instance was lost since the loop last checked how the upstream can be reached.
	pathInDoubt atomic.Bool
}

func newHeldUpstream(
	ctx context.Context, n *Node, upstream traffic.Upstream, holder roster.Holder, stop context.CancelFunc,
) *heldUpstream {
	h := &heldUpstream{
		node: n, upstream: upstream, fence: holder.Fence, token: holder.Token, lease: holder.Lease, stop: stop, ended: ctx.Done(),
		wake: make(chan struct{}, 1), changed: make(chan struct{}),
	}
	if n.isPlain(upstream.Service) {
		h.plain = true
		h.hasReport = true
		return h
	}
	h.planner.Contention = n.Settings.Admission.Contention.IsOn()
	h.prefillQueue.Contention = h.planner.Contention
	n.sharedState.WithLock(func(state *serve.SharedState) {
		h.planner.LoadEstimate, h.planner.ReloadEstimate = state.Pool.LoadTimes(upstream.Service)
	})
	return h
}

// isPlain reports whether the configuration in force declares a service whose upstreams are no engines.
func (n *Node) isPlain(name string) bool {
	service, configured := n.Table().Configuration.Services[name]
	return configured && service.Engine == nil
}

// maxIdle bounds the pause between two steps, so that newly used adapters are noticed.
const maxIdle = 200 * time.Millisecond

// run carries out steps until the context ends or an order is refused because another holder has a higher fencing
// token.
func (h *heldUpstream) run(ctx context.Context) {
	for ctx.Err() == nil {
		if h.pathInDoubt.Swap(false) {
			h.resolvePath(ctx)
		}
		h.verifyQuietLink(time.Now())
		switch step := h.next().(type) {
		case residence.SendOrder:
			h.sendOrder(ctx, step.Order)
		case residence.FetchReport:
			h.fetchReport(ctx)
		case residence.Idle:
			h.pause(ctx, min(time.Until(step.Until), maxIdle))
		}
		if h.isFenced() {
			h.node.Log.Warn().Str("Upstream", h.upstream.ID).Int64("Fence", h.fence).Msg("Fenced")
			return
		}
	}
}

func (h *heldUpstream) isFenced() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.fenced
}

// next returns the next step of the planner, based on the configuration in force, the adapters in use and the versions declared
// so far.
func (h *heldUpstream) next() residence.Step {
	now := time.Now()
	var inUse []traffic.Adapter
	h.node.sharedState.WithLock(func(state *serve.SharedState) { inUse = state.Pool.InUse(now, h.upstream.ID) })
	var versions map[traffic.Adapter]int64
	versions, h.declarations = h.node.view.newestSince(h.declarations)
	engine := h.node.Table().Configuration.Services[h.upstream.Service].Engine
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if engine != nil {
		h.planner.Engine = *engine
	}
	h.planner.SetInUse(now, inUse)
	for adapter, version := range versions {
		h.planner.SetNewest(adapter, version)
	}
	return h.planner.NextStep(now)
}

func (h *heldUpstream) pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(max(wait, time.Millisecond))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-h.wake:
	case <-ctx.Done():
	}
}

func (h *heldUpstream) sendOrder(ctx context.Context, order residence.Order) {
	start := time.Now()
	turns := &h.node.heldUpstreams.turns
	if !h.mayOrder(start) || !turns.begin(h.upstream.ID, h.token, start) {
		h.pause(ctx, maxIdle)
		return
	}
	response, err := h.node.Orders.Order(ctx, h.upstream, h.node.self.Name, h.token, order)
	outcome := response.Outcome
	turns.end(h.upstream.ID, h.token, time.Now(), outcome != residence.NoAnswer)
	reached := h.pathAfter(ctx, outcome == residence.NoAnswer)
	if ctx.Err() != nil {
		return
	}
	h.node.Log.Info().Str("Upstream", h.upstream.ID).Int64("Fence", h.token).Bool("Unload", order.Unload).
		Str("Adapter", order.Adapter.String()).Int64("Version", order.Version).Int64("Sequence", order.Sequence).
		Str("Outcome", string(outcome)).Err(err).Int64("TookMillis", time.Since(start).Milliseconds()).Msg("Order")
	h.node.scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter("orders").Inc(1)
	h.applyPath(ctx, reached)
	h.mutex.Lock()
	h.planner.RecordOutcome(time.Now(), order, outcome)
	h.recordGrant()
	h.fenced = outcome == residence.Fenced
	h.notifyWaiters()
	h.mutex.Unlock()
	if outcome == residence.OtherUpstream {
		h.node.sharedState.WithLock(func(state *serve.SharedState) { state.Pool.RecordCrash(time.Now(), h.upstream) })
		h.node.recordEnd(h.upstream.Life(), signReplaced)
	} else {
		h.node.handler.RecordStatement("", h.upstream, 0, response.Leaving)
	}
	h.updateOwnPool()
}

// updateOwnPool gives the pool of this instance the residency that the other instances receive with heartbeats.
func (h *heldUpstream) updateOwnPool() {
	now := time.Now()
	residency, known := h.residency(now)
	if known {
		h.node.recordResidencies(now, []pool.Residency{residency})
	}
}

func (h *heldUpstream) fetchReport(ctx context.Context) {
	report, err := h.node.Orders.Report(ctx, h.upstream)
	reached := h.pathAfter(ctx, err != nil)
	if ctx.Err() != nil {
		return
	}
	h.node.Log.Info().Str("Upstream", h.upstream.ID).Int64("Born", report.Born).Int64("Sequence", report.Sequence).
		Bool("Busy", report.Busy).Interface("Models", report.Models).Interface("Pending", report.Pending).
		Err(err).Msg("Report")
	h.applyPath(ctx, reached)
	lifeKnown := report.Born != 0 && h.upstream.StartedMillis != 0
	h.mutex.Lock()
	if err != nil || lifeKnown && report.Born < h.upstream.StartedMillis {
		h.planner.ReportFailed(time.Now()) // no response, or the response of a life that has ended
		h.mutex.Unlock()
		h.updateOwnPool()
		return
	}
	if lifeKnown && report.Born > h.upstream.StartedMillis {
		h.beginLife(report.Born)
	}
	h.hasReport = true
	h.planner.ApplyReport(time.Now(), report)
	h.notifyWaiters()
	h.mutex.Unlock()
	h.node.handler.RecordStatement("", h.upstream, 0, report.Leaving)
	h.updateOwnPool()
}

// doubt fetches a report soon, unless it is known which life has come after the one in doubt.
func (h *heldUpstream) doubt(life traffic.Life) {
	h.mutex.Lock()
	current := h.upstream.StartedMillis <= life.StartedMillis
	if current {
		h.planner.Doubt()
	}
	h.mutex.Unlock()
	if current {
		h.wakeLoop()
	}
}

// beginLife goes on with a later life of the upstream. The caller holds the lock.
func (h *heldUpstream) beginLife(startedMillis int64) {
	h.node.Log.Warn().Str("Upstream", h.upstream.ID).Int64("Fence", h.fence).Int64("Started", startedMillis).
		Int64("Before", h.upstream.StartedMillis).Msg("LifeReplaced")
	h.upstream.StartedMillis = startedMillis
	h.planner.Restart()
}

// startedMillis returns the start of the life that the loop goes on with.
func (h *heldUpstream) startedMillis() int64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.upstream.StartedMillis
}

// setUnreachable records whether the upstream is unreachable. Requests that wait for an adapter there are notified
// immediately, so that they can be served elsewhere while there is still time.
func (h *heldUpstream) setUnreachable(unreachable bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.unreachable == unreachable {
		return
	}
	h.unreachable = unreachable
	h.node.Log.Warn().Str("Upstream", h.upstream.ID).Int64("Fence", h.fence).Bool("Away", unreachable).Msg("UpstreamAway")
	h.notifyWaiters()
}

// notifyWaiters wakes the waiting requests. The caller holds the lock.
func (h *heldUpstream) notifyWaiters() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// prepare waits until the adapter is loaded, then until the prompt may start its prefill. A cold, brittle or
// limited upstream must have room for the request too.
func (h *heldUpstream) prepare(ctx context.Context, request mesh.PrepareRequest) (prepared mesh.PrepareResult) {
	deadline, slotDeadline := h.deadlines(time.Now(), request)
	if len(request.Limits) > 0 {
		h.node.sharedState.WithLock(func(state *serve.SharedState) { state.Pool.MergeLimits(time.Now(), request.Limits) })
	}
	if request.Replica {
		return h.loadReplica(ctx, request, slotDeadline)
	}
	prepared = mesh.Loaded{}
	if !h.plain {
		prepared = h.loadAdapter(ctx, request, slotDeadline)
		h.countSlotResult(request, prepared)
	}
	if _, loaded := prepared.(mesh.Loaded); !loaded {
		return prepared
	}
	if request.Tokens > 0 {
		if wait, started := h.awaitPrefillTurn(ctx, request, deadline); !started {
			return mesh.Busy{RetryAfter: wait}
		}
	}
	if refused := h.awaitRoom(ctx, deadline, request); refused != nil {
		return refused
	}
	return prepared
}

// loadAdapter waits until the adapter is loaded. A request that cannot get it before its deadline is refused
// immediately: it may find capacity elsewhere, or its caller can retry later.
func (h *heldUpstream) loadAdapter(ctx context.Context, request mesh.PrepareRequest, deadline time.Time) mesh.PrepareResult {
	h.mutex.Lock()
	now := time.Now()
	waiter := waiterOf(now, request)
	h.planner.RecordRequest(now, waiter)
	if version, has := h.reserve(now, request); has {
		h.mutex.Unlock()
		return mesh.Loaded{Version: version}
	}
	if !h.mayOrder(now) {
		h.mutex.Unlock()
		return mesh.NotHolder{}
	}
	if h.unreachable {
		h.mutex.Unlock()
		return mesh.Busy{}
	}
	if h.node.links.isLost(h.upstream.ID) {
		h.mutex.Unlock()
		return mesh.NotHolder{}
	}
	if wait, tooLate := h.planner.WouldBeLate(now, waiter, deadline); tooLate {
		h.mutex.Unlock()
		return mesh.Busy{RetryAfter: wait}
	}
	h.planner.AddWaiter(now, waiter)
	h.mutex.Unlock()
	prepared := h.awaitAdapter(ctx, request, waiter, deadline)
	h.mutex.Lock()
	h.planner.RemoveWaiter(waiter)
	h.mutex.Unlock()
	return prepared
}

func (h *heldUpstream) awaitAdapter(
	ctx context.Context, request mesh.PrepareRequest, waiter residence.Request, deadline time.Time,
) mesh.PrepareResult {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		h.mutex.Lock()
		now := time.Now()
		version, has := h.reserve(now, request)
		wait, tooLate := h.planner.WouldBeLate(now, waiter, deadline)
		changed := h.changed
		fenced := h.fenced
		unreachable := h.unreachable
		h.mutex.Unlock()
		if has {
			return mesh.Loaded{Version: version}
		}
		if fenced {
			return mesh.NotHolder{}
		}
		if tooLate {
			return mesh.Busy{RetryAfter: wait}
		}
		if unreachable {
			return mesh.Busy{}
		}
		if h.node.links.isLost(h.upstream.ID) {
			return mesh.NotHolder{}
		}
		h.wakeLoop()
		select {
		case <-changed:
		case <-timer.C:
		case <-h.ended:
			return mesh.NotHolder{}
		case <-ctx.Done():
			return mesh.Busy{}
		}
	}
}

func (h *heldUpstream) hasWaitingRequests() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.planner.HasWaiters()
}

// wakeLoop makes the loop query the planner again.
func (h *heldUpstream) wakeLoop() {
	select {
	case h.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// residency returns the state of the upstream that is sent to the other instances.
func (h *heldUpstream) residency(now time.Time) (residency pool.Residency, known bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.fenced || !h.hasReport && !h.unreachable {
		return residency, false
	}
	residency = pool.Residency{
		Upstream: h.upstream.ID, StartedMillis: h.upstream.StartedMillis, Fence: h.fence,
		Version: now.Sub(h.node.startedAt).Microseconds(), Unreachable: h.unreachable,
	}
	residency.Loaded, residency.FreeSlots = h.planner.Residents(now)
	residency.SlotWait = h.slotWait(now)
	if load, reload, seen := h.planner.LoadTimes(); seen {
		residency.LoadTime = load
		residency.ReloadTime = reload
	}
	return residency, true
}
