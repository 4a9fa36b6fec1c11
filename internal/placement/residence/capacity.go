package residence

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// capacity.go counts slots and memory, and selects the adapter to evict.

func (p *Planner) loadsInProgress() (count int) {
	for adapter, s := range p.slots {
		if adapter.Name != "" && (s.state == loading || s.loadingVersion > 0) {
			count++
		}
	}
	return count
}

func (p *Planner) adapterCount() (count int) {
	for adapter := range p.slots {
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
	for present := range p.slots {
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

// victim returns the least recently used idle adapter.
func (p *Planner) victim(now time.Time) (victim traffic.Adapter, found bool) {
	for adapter, s := range p.slots {
		if adapter.Name == "" || !p.isIdle(now, adapter, s) {
			continue
		}
		if !found || s.usedAt.Before(p.slots[victim].usedAt) {
			victim = adapter
			found = true
		}
	}
	return victim, found
}

func (p *Planner) isIdle(now time.Time, adapter traffic.Adapter, s *slot) bool {
	if s.state != loaded || s.loadingVersion != 0 || p.inUse[adapter] || now.Before(s.reservedUntil) {
		return false
	}
	_, awaited := p.waiters[adapter]
	return !awaited
}
