package node

import (
	"context"
	"maps"
	"sync"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/demand"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// replicas.go orders replicas of popular adapters before their queues are long. Each instance decides by its own
// requests. All rank the upstreams for an adapter alike, so that the orders of several instances for one replica
// reach the same holder, which loads the adapter once.

const (
	// replicaInterval is how often the replicas of the popular adapters are counted.
	replicaInterval = 100 * time.Millisecond
	// replicaWait is how long a replica may wait for an adapter slot and its load. The demand may have moved on by
	// then.
	replicaWait = time.Second
	// maxReplicaOrders bounds the replica orders of this instance that are in flight, over all adapters.
	maxReplicaOrders = 8
	// maxReplicaPlans bounds the popular adapters for which replicas are counted in one step.
	maxReplicaPlans = 64
	// minReplicas is the number of needed replicas from which on they are ordered. The first one is loaded by the
	// requests themselves, and an order at the same time might load it at a second upstream without need.
	minReplicas = 2
	// replicaRetryAfter is when another order is worthwhile after a holder had no slot for a replica.
	replicaRetryAfter = time.Second
)

// replicaOrders are the replica orders of this instance that are in flight, at most one for each adapter.
type replicaOrders struct {
	mutex    sync.Mutex
	inFlight map[demand.Key]bool
	// busyUntil is until when no order is given for an adapter, because a holder had no slot for it. Without this,
	// all holders would get orders in turn while slots are scarce, ten a second from each instance.
	busyUntil map[demand.Key]time.Time
	// share is the part of the fleet's requests that this instance gets. Only the loop uses it.
	share demand.Share
	// prepare sends an order, Node.Prepare unless a test replaces it.
	prepare func(context.Context, mesh.PrepareRequest) mesh.PrepareResult
}

// replicaOrder is one order for a replica.
type replicaOrder struct {
	node     *Node
	demand   demand.Demand
	version  int64
	upstream traffic.Upstream
	plan     pool.ReplicaPlan
}

// runReplicas orders the replicas that popular adapters lack.
func (n *Node) runReplicas(ctx context.Context) error {
	for pause.For(ctx, replicaInterval) {
		n.orderReplicas(ctx, time.Now())
	}
	return nil
}

// orderReplicas orders one replica for each popular adapter that lacks some, those with the newest demand first.
func (n *Node) orderReplicas(ctx context.Context, now time.Time) {
	if n.stopping.Load() {
		return
	}
	needed, known := 0, 0
	for _, popular := range n.popularAdapters(now) {
		order := replicaOrder{node: n, demand: popular}
		if newest, olderUntil := n.NewestVersion(popular.Key.Adapter); now.After(olderUntil) {
			order.version = newest
		}
		n.sharedState.WithLock(func(state *serve.SharedState) { order.plan = state.Pool.PlanReplicas(now, order.replicaDemand()) })
		if order.plan.Needed < minReplicas {
			continue
		}
		needed += order.plan.Needed
		known += order.plan.Known
		if len(order.plan.Next) == 0 || !n.replicas.begin(now, popular.Key) {
			continue
		}
		order.upstream = order.plan.Pick(n.self.Name, popular.Key.Adapter)
		go order.run(ctx)
	}
	n.sharedState.WithLock(func(state *serve.SharedState) { state.Pool.FinishReplicaPlans() })
	n.scope.Gauge("needed_replicas").Update(float64(needed))
	n.scope.Gauge("known_replicas").Update(float64(known))
}

// popularAdapters lists the demand for the popular adapters, the newest first.
func (n *Node) popularAdapters(now time.Time) (list []demand.Demand) {
	n.sharedState.WithLock(func(state *serve.SharedState) {
		state.ReplicatePopular = n.current.Load().Admission.Contention.IsOn()
		state.Demand.Instances = state.Pool.Settings.LiveInstances
		if now.Sub(n.replicas.share.At()) >= shareInterval {
			n.replicas.share.Record(now, n.self.Name, state.Ledger.Admitted())
			state.Demand.Factor = n.replicas.share.Factor(now, state.Demand.Instances)
		}
		for _, popular := range state.Demand.Popular(now) {
			if len(list) < maxReplicaPlans && state.TracksDemand(popular.Key.Service) {
				list = append(list, popular)
			}
		}
	})
	return list
}

// shareInterval is how often the share of this instance in the requests of the fleet is computed.
const shareInterval = time.Second

// begin reports whether a replica of an adapter may be ordered, and counts the order as in flight.
func (r *replicaOrders) begin(now time.Time, key demand.Key) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.inFlight[key] || len(r.inFlight) >= maxReplicaOrders || now.Before(r.busyUntil[key]) {
		return false
	}
	delete(r.busyUntil, key)
	if r.inFlight == nil {
		r.inFlight = make(map[demand.Key]bool)
	}
	r.inFlight[key] = true
	return true
}

// recordBusy records that a holder had no slot for a replica.
func (r *replicaOrders) recordBusy(now time.Time, key demand.Key) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maps.DeleteFunc(r.busyUntil, func(_ demand.Key, until time.Time) bool { return !now.Before(until) })
	if r.busyUntil == nil {
		r.busyUntil = make(map[demand.Key]time.Time)
	}
	r.busyUntil[key] = now.Add(replicaRetryAfter)
}

func (r *replicaOrders) end(key demand.Key) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.inFlight, key)
}

// replicaDemand is the demand that decides how many replicas are needed.
func (o replicaOrder) replicaDemand() pool.ReplicaDemand {
	return pool.ReplicaDemand{
		Service: o.demand.Key.Service, Adapter: o.demand.Key.Adapter, Version: o.version,
		Rate: o.demand.Certain, Tokens: o.demand.Tokens, Duration: o.demand.Duration,
	}
}

// run sends the order to the holder of the upstream and records its outcome.
func (o replicaOrder) run(ctx context.Context) {
	n := o.node
	defer n.replicas.end(o.demand.Key)
	start := time.Now()
	prepare := n.Prepare
	if n.replicas.prepare != nil {
		prepare = n.replicas.prepare
	}
	prepared := prepare(ctx, mesh.PrepareRequest{
		Upstream: o.upstream.ID,
		Adapter:  o.demand.Key.Adapter,
		Version:  o.version,
		MaxWait:  replicaWait,
		OnTime:   replicaWait,
		Priority: o.demand.Priority,
		Demand:   o.demand.Rate,
		Replica:  true,
	})
	outcome := ""
	n.sharedState.WithLock(func(state *serve.SharedState) {
		switch prepared := prepared.(type) {
		case mesh.Loaded:
			outcome = "loaded"
			if current, declared := state.Pool.Upstream(o.upstream.ID); declared && current.Life() == o.upstream.Life() {
				state.Pool.RecordLoadedAdapter(o.upstream.ID, o.demand.Key.Adapter, prepared.Version)
			}
		case mesh.Busy:
			outcome = "busy"
			n.replicas.recordBusy(time.Now(), o.demand.Key)
			state.Pool.RecordReplicaRefusal(time.Now(), o.upstream.ID, o.demand.Key.Adapter)
		case mesh.NotHolder:
			outcome = "not_holder"
			state.Pool.RecordReplicaRefusal(time.Now(), o.upstream.ID, o.demand.Key.Adapter)
		}
	})
	n.scope.Tagged(map[string]string{"outcome": outcome}).Counter("replica_orders").Inc(1)
	n.Log.Info().Str("Upstream", o.upstream.ID).Str("Adapter", o.demand.Key.Adapter.String()).Str("Outcome", outcome).
		Float64("Demand", o.demand.Rate).Float64("Certain", o.demand.Certain).Int("Tokens", o.demand.Tokens).
		Int64("StreamMillis", o.demand.Duration.Milliseconds()).Int("Needed", o.plan.Needed).Int("Known", o.plan.Known).
		Int64("TookMillis", time.Since(start).Milliseconds()).Msg("Replica")
}

// loadReplica loads an adapter for which no request waits. It takes no prefill turn and no room of the upstream.
func (h *heldUpstream) loadReplica(ctx context.Context, request mesh.PrepareRequest, deadline time.Time) mesh.PrepareResult {
	mayReplicate := false
	h.node.sharedState.WithLock(func(state *serve.SharedState) {
		mayReplicate = state.Pool.MayReplicate(time.Now(), h.upstream.ID)
	})
	if h.plain || !mayReplicate {
		return mesh.Busy{RetryAfter: replicaRetryAfter}
	}
	return h.loadAdapter(ctx, request, deadline)
}
