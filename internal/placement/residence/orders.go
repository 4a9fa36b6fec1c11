package residence

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// orders.go finds the order that is to be given next.

// load gives the order that the wants ask for: to load, or to make room first.
func (p *Planner) load(now time.Time) (order Order, found bool) {
	if model, missing := p.missingModel(now); missing {
		return Order{Adapter: model}, true
	}
	if p.isReplacing() {
		return Order{}, false // the upstream refuses all else until that is done
	}
	if adapter, version, stale := p.staleVersion(now); stale {
		return Order{Adapter: adapter, Version: version}, true
	}
	for _, adapter := range p.wantedFirst(now) {
		known := p.places[adapter]
		if known != nil || adapter.Name == "" {
			continue
		}
		if p.inTransit() >= mostInTransit {
			return Order{}, false
		}
		if p.settled && p.adapters() < p.Engine.AdapterPlaces && p.fits(adapter) {
			return Order{Adapter: adapter, Version: p.newest[adapter]}, true
		}
		if victim, idle := p.victim(now); idle {
			p.granted(now)
			return Order{Unload: true, Adapter: victim}, true
		}
		return Order{}, false
	}
	return Order{}, false
}

// missingModel finds the base model to load where none is there: the wanted one, or the first.
func (p *Planner) missingModel(now time.Time) (traffic.Adapter, bool) {
	for adapter := range p.places {
		if adapter.Name == "" {
			return traffic.Adapter{}, false
		}
	}
	for _, adapter := range p.wantedFirst(now) {
		return traffic.Adapter{Model: adapter.Model}, true
	}
	if len(p.Engine.Models) == 0 {
		return traffic.Adapter{}, false
	}
	return traffic.Adapter{Model: p.Engine.Models[0].Name}, true
}

// isReplacing tells whether a version is being replaced, or a model loaded.
func (p *Planner) isReplacing() bool {
	for adapter, known := range p.places {
		if known.ordered > 0 && (known.state == loaded || adapter.Name == "") {
			return true
		}
	}
	return false
}

// staleVersion finds a loaded adapter of which a newer version was declared, if it is in use or wanted.
func (p *Planner) staleVersion(now time.Time) (adapter traffic.Adapter, version int64, found bool) {
	for adapter, known := range p.places {
		if known.state != loaded || known.ordered != 0 || known.version >= p.newest[adapter] {
			continue
		}
		if p.wants[adapter] != nil || now.Sub(known.used) < replaceUsedWithin {
			return adapter, p.newest[adapter], true
		}
	}
	return adapter, 0, false
}
