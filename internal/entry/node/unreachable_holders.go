package node

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// unreachable_holders.go makes this instance the holder of an engine if no holder of the engines of a service is alive for it. Its
// callers, the store and the engines may reach it although the other instances do not, and without a holder that it can
// ask it gets no adapter loaded and refuses nearly every request.
//
// Only a holder of several engines of the service loses one, so that instances which are all cut off from each other end
// with at least one each, as far as there are enough, and take none from each other in turn.

// unreachableFor is how long no holder of a service must have been alive. A lost gossip link is open again by then.
const unreachableFor = 2 * time.Second

// claimFromUnreachable claims an engine of each service none of whose holders has been alive for this instance for some time. Where fencing
// tokens are not checked, it may not: the holders can still send orders.
func (n *Node) claimFromUnreachable(ctx context.Context, now time.Time) {
	since := n.heldUpstreams.unreachableSince
	unreachable := n.unreachableEngines(now)
	for service := range since {
		if len(unreachable[service]) == 0 {
			delete(since, service)
		}
	}
	for service, engines := range unreachable {
		if _, found := since[service]; !found {
			since[service] = now
		}
		if now.Sub(since[service]) < unreachableFor {
			continue
		}
		if engine, found := n.chooseUnreachable(engines); found {
			since[service] = now
			n.Log.Warn().Str("Upstream", engine.upstream.ID).Str("Service", service).Str("Holder", engine.holder.Instance).Msg("HoldersUnreachable")
			n.claim(ctx, engine.upstream, engine.holder.Fence)
		}
	}
}

// unreachableEngine is an engine whose holder is not alive for this instance.
type unreachableEngine struct {
	upstream traffic.Upstream
	holder   roster.Holder
}

// unreachableEngines lists the engines of each service none of whose holders is alive for this instance, or is itself.
func (n *Node) unreachableEngines(now time.Time) (unreachable map[string][]unreachableEngine) {
	table := n.Table()
	if table == nil || !n.mayReplaceEarly() || n.stopping.Load() {
		return nil
	}
	holders := n.view.liveHolders()
	reachable := make(map[string]bool)
	silent := false
	for _, instance := range holders {
		if _, known := reachable[instance]; !known {
			reachable[instance] = instance == n.self.Name || n.overlay.isAlive(now, instance)
			silent = silent || !reachable[instance]
		}
	}
	if !silent {
		return nil
	}
	var engines []traffic.Upstream
	n.sharedState.WithLock(func(state *serve.SharedState) {
		engines = state.Pool.Declared(func(upstream *traffic.Upstream) bool {
			return table.Configuration.Services[upstream.Service].Engine != nil
		})
	})
	withReachable := make(map[string]bool)
	unreachable = make(map[string][]unreachableEngine)
	n.view.mutex.Lock()
	defer n.view.mutex.Unlock()
	for _, upstream := range engines {
		holder, held := n.view.roster.Holder(upstream.ID)
		switch {
		case withReachable[upstream.Service] || !held:
		case reachable[holder.Instance]:
			withReachable[upstream.Service] = true
			delete(unreachable, upstream.Service)
		default:
			unreachable[upstream.Service] = append(unreachable[upstream.Service], unreachableEngine{upstream: upstream, holder: holder})
		}
	}
	return unreachable
}

// chooseUnreachable returns the engine that this instance may take from its holder: one of those whose holder has the most, in
// an order that differs between instances. It is not found if no holder has two.
func (n *Node) chooseUnreachable(engines []unreachableEngine) (chosen unreachableEngine, found bool) {
	counts := make(map[string]int)
	for _, engine := range engines {
		counts[engine.holder.Instance]++
	}
	best := 1
	weight := uint64(0)
	for _, engine := range engines {
		count := counts[engine.holder.Instance]
		own := roster.Weight(engine.upstream.ID, n.self.Name)
		if count < max(best, 2) || count == best && own < weight || n.links.isLost(engine.upstream.ID) || !n.acceptsRequests(engine.upstream) {
			continue
		}
		chosen, found, best, weight = engine, true, count, own
	}
	return chosen, found
}
