package node

import (
	"context"
	"sync"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
	"lacewingrock.example/lacewingrock/internal/placement/turn"
)

// holding.go carries out, at one upstream that this instance holds, what the planner decides.

type holding struct {
	node     *Node
	upstream traffic.Upstream
	fence    int64
	// lease is what the holder's key is bound to, and ordersFrom when this instance may order again if it has
	// ordered here before.
	lease      int64
	ordersFrom time.Time
	stop       context.CancelFunc
	// plain: the upstream is no engine. Nothing is loaded there; its holder adds up what is in flight.
	plain bool
	// ended is closed when the instance does not hold the upstream any more.
	ended <-chan struct{}
	wake  chan struct{}

	// declarations counts the declared versions that the planner knows; only the loop uses it.
	declarations int

	mutex   sync.Mutex
	planner residence.Planner
	line    turn.Queue
	changed chan struct{}
	fenced  bool
	learnt  bool
	// away: nothing listens at the upstream, or it does not answer.
	away bool
}

func newHolding(
	ctx context.Context, n *Node, upstream traffic.Upstream, holder roster.Holder, stop context.CancelFunc,
) *holding {
	h := &holding{
		node: n, upstream: upstream, fence: holder.Fence, lease: holder.Lease, stop: stop, ended: ctx.Done(),
		wake: make(chan struct{}, 1), changed: make(chan struct{}),
	}
	service, configured := n.Table().Configuration.Services[upstream.Service]
	if configured && service.Engine == nil {
		h.plain = true
		h.learnt = true
		return h
	}
	if service.Engine != nil {
		h.planner.Engine = *service.Engine
	}
	n.advice.With(func(a *serve.Advice) {
		h.planner.LoadGuess, h.planner.ReloadGuess = a.Pool.LoadTimes(upstream.Service)
	})
	return h
}

// longestRest bounds a rest, so that adapters that came into use are noticed.
const longestRest = 200 * time.Millisecond

// run carries out steps until the context ends or another holder's fence was seen.
func (h *holding) run(ctx context.Context) {
	for ctx.Err() == nil {
		switch step := h.next().(type) {
		case residence.Give:
			h.give(ctx, step.Order)
		case residence.Inspect:
			h.inspect(ctx)
		case residence.Rest:
			h.rest(ctx, min(time.Until(step.Until), longestRest))
		}
		if h.isFenced() {
			h.node.Log.Warn().Str("Upstream", h.upstream.ID).Int64("Fence", h.fence).Msg("Fenced")
			return
		}
	}
}

func (h *holding) isFenced() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.fenced
}

// next asks the planner, with what is in use and declared by now.
func (h *holding) next() residence.Step {
	now := time.Now()
	var inUse []traffic.Adapter
	h.node.advice.With(func(a *serve.Advice) { inUse = a.Pool.InUse(now, h.upstream.ID) })
	var versions map[traffic.Adapter]int64
	versions, h.declarations = h.node.knowledge.newestSince(h.declarations)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.planner.Use(now, inUse)
	for adapter, version := range versions {
		h.planner.SetNewest(adapter, version)
	}
	return h.planner.Next(now)
}

func (h *holding) rest(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(max(wait, time.Millisecond))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-h.wake:
	case <-ctx.Done():
	}
}

func (h *holding) give(ctx context.Context, order residence.Order) {
	began := time.Now()
	if !h.mayOrder(began) {
		h.rest(ctx, longestRest)
		return
	}
	h.node.holdings.noteOrder(h.upstream.ID, began)
	outcome, err := h.node.Orders.Order(ctx, h.upstream, h.node.self.Name, h.fence, order)
	away := outcome == residence.NoAnswer && !h.isReached(ctx)
	if ctx.Err() != nil {
		return
	}
	h.node.Log.Info().Str("Upstream", h.upstream.ID).Int64("Fence", h.fence).Bool("Unload", order.Unload).
		Str("Adapter", order.Adapter.String()).Int64("Version", order.Version).Int64("Sequence", order.Sequence).
		Str("Outcome", string(outcome)).Err(err).Int64("TookMillis", time.Since(began).Milliseconds()).Msg("Order")
	h.node.scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter("orders").Inc(1)
	h.setAway(away)
	h.mutex.Lock()
	h.planner.Ordered(time.Now(), order, outcome)
	h.fenced = outcome == residence.Fenced
	h.announce()
	h.mutex.Unlock()
	if outcome == residence.OtherUpstream {
		h.node.advice.With(func(a *serve.Advice) { a.Pool.Crashed(time.Now(), h.upstream.ID) })
	}
	h.tellOwn()
}

// tellOwn tells this instance's own pool what the others learn by heartbeats.
func (h *holding) tellOwn() {
	now := time.Now()
	residency, known := h.residency(now)
	if known {
		h.node.advice.With(func(a *serve.Advice) { a.Pool.LearnResidency(now, residency) })
	}
}

func (h *holding) inspect(ctx context.Context) {
	report, err := h.node.Orders.Report(ctx, h.upstream)
	away := err != nil && !h.isReached(ctx)
	if ctx.Err() != nil {
		return
	}
	h.node.Log.Info().Str("Upstream", h.upstream.ID).Int64("Sequence", report.Sequence).
		Bool("Busy", report.Busy).Interface("Models", report.Models).Interface("Pending", report.Pending).
		Err(err).Msg("Report")
	h.setAway(away)
	h.mutex.Lock()
	if err != nil || report.Born != 0 && h.upstream.Born != 0 && report.Born != h.upstream.Born {
		h.planner.ReportFailed(time.Now()) // no answer, or another upstream's
		h.mutex.Unlock()
		h.tellOwn()
		return
	}
	h.learnt = true
	h.planner.Learn(time.Now(), report)
	h.announce()
	h.mutex.Unlock()
	h.tellOwn()
}

// isReached tells whether the upstream takes a connection. An order or report without an answer alone does not tell:
// answers are lost, and orders carried out late, at upstreams that serve.
func (h *holding) isReached(ctx context.Context) bool {
	connection, err := dial(ctx, h.upstream.Address)
	if err != nil {
		return false
	}
	connection.Close()
	return true
}

// setAway takes note of whether the upstream is away. Requests that wait for an adapter there are told at once: as
// long as they waited in vain they could have been served elsewhere.
func (h *holding) setAway(away bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.away == away {
		return
	}
	h.away = away
	h.node.Log.Warn().Str("Upstream", h.upstream.ID).Int64("Fence", h.fence).Bool("Away", away).Msg("UpstreamAway")
	h.announce()
}

// announce wakes the requests that wait; the lock is held.
func (h *holding) announce() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// prepare waits until an adapter is there, and then for the prompt's turn. A cold upstream has to bear the request too.
func (h *holding) prepare(ctx context.Context, request mesh.PrepareRequest) (prepared mesh.Prepared) {
	worthUntil := time.Now().Add(min(request.Patience, request.OnTime))
	prepared = mesh.Loaded{}
	if !h.plain {
		prepared = h.load(ctx, request, worthUntil)
	}
	if _, loaded := prepared.(mesh.Loaded); !loaded {
		return prepared
	}
	if request.Tokens > 0 {
		if wait, came := h.takeTurn(ctx, request, worthUntil); !came {
			return mesh.Busy{RetryAfter: wait}
		}
	}
	if wait, admitted := h.admitCold(); !admitted {
		return mesh.Busy{RetryAfter: wait}
	}
	return prepared
}

// admitCold takes a request from what the upstream bears while it is cold.
func (h *holding) admitCold() (wait time.Duration, admitted bool) {
	h.node.advice.With(func(a *serve.Advice) { wait, admitted = a.Pool.AdmitCold(time.Now(), h.upstream.ID) })
	return wait, admitted
}

// load waits until an adapter is there. A request that cannot have it within its patience is told at
// once: it may find room elsewhere, or its caller can come back.
func (h *holding) load(ctx context.Context, request mesh.PrepareRequest, worthUntil time.Time) mesh.Prepared {
	h.mutex.Lock()
	now := time.Now()
	if version, has := h.planner.Has(now, request.Adapter, request.Version); has {
		h.mutex.Unlock()
		return mesh.Loaded{Version: version}
	}
	if !h.mayOrder(now) {
		h.mutex.Unlock()
		return mesh.NotHolder{}
	}
	if h.away {
		h.mutex.Unlock()
		return mesh.Busy{}
	}
	if wait, hopeless := h.planner.Hopeless(now, request.Adapter, worthUntil); hopeless {
		h.mutex.Unlock()
		return mesh.Busy{RetryAfter: wait}
	}
	h.planner.Want(now, request.Adapter, request.Version, request.Priority, now.Add(request.OnTime))
	h.mutex.Unlock()
	prepared := h.await(ctx, request, worthUntil)
	h.mutex.Lock()
	h.planner.Unwant(request.Adapter)
	h.mutex.Unlock()
	return prepared
}

func (h *holding) await(ctx context.Context, request mesh.PrepareRequest, worthUntil time.Time) mesh.Prepared {
	timer := time.NewTimer(time.Until(worthUntil))
	defer timer.Stop()
	for {
		h.mutex.Lock()
		now := time.Now()
		version, has := h.planner.Has(now, request.Adapter, request.Version)
		wait, hopeless := h.planner.Hopeless(now, request.Adapter, worthUntil)
		changed := h.changed
		fenced := h.fenced
		away := h.away
		h.mutex.Unlock()
		if has {
			return mesh.Loaded{Version: version}
		}
		if fenced {
			return mesh.NotHolder{}
		}
		if hopeless {
			return mesh.Busy{RetryAfter: wait}
		}
		if away {
			return mesh.Busy{}
		}
		h.look()
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

func (h *holding) hasWants() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.planner.HasWants()
}

// look has the loop ask the planner again.
func (h *holding) look() {
	select {
	case h.wake <- struct{}{}:
	default: // it is about to do so anyway
	}
}

// residency is what the others are told of the upstream.
func (h *holding) residency(now time.Time) (residency pool.Residency, known bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.fenced || !h.learnt && !h.away {
		return residency, false
	}
	residency = pool.Residency{
		Upstream: h.upstream.ID, Fence: h.fence, Version: now.Sub(h.node.began).Microseconds(), Away: h.away,
	}
	residency.Loaded, residency.Idle = h.planner.Residents(now)
	residency.Wait = h.planner.Wait(now, traffic.Adapter{})
	if load, reload, seen := h.planner.LoadTimes(); seen {
		residency.LoadTime = load
		residency.ReloadTime = reload
	}
	return residency, true
}
