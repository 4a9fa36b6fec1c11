package node

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// unheard_holders.go makes this instance the holder of an engine if it hears no holder of the engines of a service. Its
// callers, the store and the engines may reach it although the other instances do not, and without a holder that it can
// ask it gets no adapter loaded and refuses nearly every request.
//
// Only a holder of several engines of the service loses one, so that instances which are all cut off from each other end
// with at least one each, as far as there are enough, and take none from each other in turn.

// unheardFor is how long no holder of a service must have been heard. A lost gossip link is open again by then.
const unheardFor = 2 * time.Second

// takeUnheard claims an engine of each service none of whose holders this instance has heard for some time. Where fencing
// tokens are not checked, it may not: the holders can still send orders.
func (n *Node) takeUnheard(ctx context.Context, now time.Time) {
	since := n.heldUpstreams.unheardSince
	unheard := n.unheardEngines(now)
	for service := range since {
		if len(unheard[service]) == 0 {
			delete(since, service)
		}
	}
	for service, engines := range unheard {
		if _, found := since[service]; !found {
			since[service] = now
		}
		if now.Sub(since[service]) < unheardFor {
			continue
		}
		if engine, found := n.chooseUnheard(engines); found {
			since[service] = now
			n.Log.Warn().Str("Upstream", engine.upstream.ID).Str("Service", service).Str("Holder", engine.holder.Instance).Msg("HoldersUnheard")
			n.claim(ctx, engine.upstream, engine.holder.Fence)
		}
	}
}

// unheardEngine is an engine whose holder this instance does not hear.
type unheardEngine struct {
	upstream traffic.Upstream
	holder   roster.Holder
}

// unheardEngines lists the engines of each service none of whose holders this instance hears, or is.
func (n *Node) unheardEngines(now time.Time) (unheard map[string][]unheardEngine) {
	table := n.Table()
	if table == nil || !n.mayReplaceEarly() || n.stopping.Load() {
		return nil
	}
	holders := n.view.liveHolders()
	heard := make(map[string]bool)
	silent := false
	for _, instance := range holders {
		if _, known := heard[instance]; !known {
			heard[instance] = instance == n.self.Name || n.overlay.isAlive(now, instance)
			silent = silent || !heard[instance]
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
	withHeard := make(map[string]bool)
	unheard = make(map[string][]unheardEngine)
	n.view.mutex.Lock()
	defer n.view.mutex.Unlock()
	for _, upstream := range engines {
		holder, held := n.view.roster.Holder(upstream.ID)
		switch {
		case withHeard[upstream.Service] || !held:
		case heard[holder.Instance]:
			withHeard[upstream.Service] = true
			delete(unheard, upstream.Service)
		default:
			unheard[upstream.Service] = append(unheard[upstream.Service], unheardEngine{upstream: upstream, holder: holder})
		}
	}
	return unheard
}

// chooseUnheard returns the engine that this instance may take from its holder: one of those whose holder has the most, in
// an order that differs between instances. It is not found if no holder has two.
func (n *Node) chooseUnheard(engines []unheardEngine) (chosen unheardEngine, found bool) {
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
