package residence

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// orders.go selects the next order for the upstream.

// nextLoad returns the next order that serves the waiting requests: a load, or an unload that frees an adapter slot
// for it.
func (p *Planner) nextLoad(now time.Time) (order Order, found bool) {
	if model, missing := p.missingModel(now); missing {
		return Order{Adapter: model}, true
	}
	if p.isReplacing() {
		return Order{}, false // the upstream refuses all other orders until the replacement has finished
	}
	if adapter, version, stale := p.staleVersion(now); stale {
		return Order{Adapter: adapter, Version: version}, true
	}
	for _, adapter := range p.grantOrder(now) {
		r := p.residents[adapter]
		if r != nil || adapter.Name == "" {
			continue
		}
		if p.loadsInProgress() >= maxConcurrentLoads {
			return Order{}, false
		}
		if p.confirmed && p.adapterCount() < p.Engine.AdapterSlots && p.fits(adapter) {
			return Order{Adapter: adapter, Version: p.newest[adapter]}, true
		}
		if victim, idle := p.victim(now); idle {
			p.updatePace(now)
			return Order{Unload: true, Adapter: victim}, true
		}
		return Order{}, false
	}
	return Order{}, false
}

// missingModel returns the base model to load if none is loaded: the one that requests wait for, or else the first.
func (p *Planner) missingModel(now time.Time) (traffic.Adapter, bool) {
	for adapter := range p.residents {
		if adapter.Name == "" {
			return traffic.Adapter{}, false
		}
	}
	for _, adapter := range p.adaptersByUrgency(now) {
		return traffic.Adapter{Model: adapter.Model}, true
	}
	if len(p.Engine.Models) == 0 {
		return traffic.Adapter{}, false
	}
	return traffic.Adapter{Model: p.Engine.Models[0].Name}, true
}

// isReplacing reports whether a version is being replaced or a base model is being loaded.
func (p *Planner) isReplacing() bool {
	for adapter, r := range p.residents {
		if r.loadingVersion > 0 && (r.state == loaded || adapter.Name == "") {
			return true
		}
	}
	return false
}

// staleVersion returns a loaded adapter that has a newer declared version, if requests wait for it or used it within
// replaceIfUsedWithin.
func (p *Planner) staleVersion(now time.Time) (adapter traffic.Adapter, version int64, found bool) {
	for adapter, r := range p.residents {
		if r.state != loaded || r.loadingVersion != 0 || r.version >= p.newest[adapter] {
			continue
		}
		if p.waiters[adapter] != nil || now.Sub(r.usedAt) < replaceIfUsedWithin {
			return adapter, p.newest[adapter], true
		}
	}
	return adapter, 0, false
}
