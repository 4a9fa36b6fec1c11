package residence

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// room.go tells what there is room for, and what can go.

func (p *Planner) inTransit() (count int) {
	for adapter, known := range p.places {
		if adapter.Name != "" && (known.state == loading || known.ordered > 0) {
			count++
		}
	}
	return count
}

func (p *Planner) adapters() (count int) {
	for adapter := range p.places {
		if adapter.Name != "" {
			count++
		}
	}
	return count
}

// fits tells whether the upstream's memory has room for one more adapter.
func (p *Planner) fits(adapter traffic.Adapter) bool {
	if p.Engine.WeightsMB <= 0 {
		return true
	}
	total := p.size(adapter)
	for present := range p.places {
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

// victim is the idle adapter that was used longest ago.
func (p *Planner) victim(now time.Time) (victim traffic.Adapter, found bool) {
	for adapter, known := range p.places {
		if adapter.Name == "" || !p.isIdle(now, adapter, known) {
			continue
		}
		if !found || known.used.Before(p.places[victim].used) {
			victim = adapter
			found = true
		}
	}
	return victim, found
}

func (p *Planner) isIdle(now time.Time, adapter traffic.Adapter, known *place) bool {
	if known.state != loaded || known.ordered != 0 || p.inUse[adapter] || now.Before(known.reservedUntil) {
		return false
	}
	_, wanted := p.wants[adapter]
	return !wanted
}
