package residence

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// capacity.go counts adapter slots and memory, and selects the adapter to evict.

func (p *Planner) loadsInProgress() (count int) {
	for adapter, r := range p.residents {
		if adapter.Name != "" && (r.state == loading || r.loadingVersion > 0) {
			count++
		}
	}
	return count
}

func (p *Planner) adapterCount() (count int) {
	for adapter := range p.residents {
		if adapter.Name != "" {
			count++
		}
	}
	return count
}

// fits reports whether the upstream's memory has room for one more adapter.
func (p *Planner) fits(adapter traffic.Adapter) bool {
	if p.Engine.WeightsMB <= 0 {
		return true
	}
	total := p.size(adapter)
	for present := range p.residents {
		total += p.size(present)
	}
	return total <= p.Engine.WeightsMB
}

func (p *Planner) size(adapter traffic.Adapter) float64 {
	for _, model := range p.Engine.Models {
		if model.Name != adapter.Model {
			continue
		}
		if adapter.Name == "" {
			return model.SizeMB
		}
		return model.AdapterMB
	}
	return 0
}

// victim returns the least recently used idle adapter, under contention among those with the lowest demand.
func (p *Planner) victim(now time.Time) (victim traffic.Adapter, found bool) {
	for adapter, r := range p.residents {
		if adapter.Name == "" || !p.isIdle(now, adapter, r) {
			continue
		}
		if !found || p.isBetterVictim(now, adapter, victim) {
			victim = adapter
			found = true
		}
	}
	return victim, found
}

// isBetterVictim reports whether an idle adapter is evicted rather than another one.
func (p *Planner) isBetterVictim(now time.Time, adapter, other traffic.Adapter) bool {
	if p.Contention {
		if a, b := p.demandMagnitude(now, adapter), p.demandMagnitude(now, other); a != b {
			return a < b
		}
	}
	return p.residents[adapter].usedAt.Before(p.residents[other].usedAt)
}

func (p *Planner) isIdle(now time.Time, adapter traffic.Adapter, r *resident) bool {
	if r.state != loaded || r.loadingVersion != 0 || p.inUse[adapter] || now.Before(r.reservedUntil) {
		return false
	}
	_, awaited := p.waiters[adapter]
	return !awaited
}
