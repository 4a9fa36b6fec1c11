package residence

import (
	"slices"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/forecast"
)

// load_times.go measures how long loads take and decides when to poll whether one has finished.

// LoadTimes returns how long an adapter takes to load: full from the weight store, reload where the upstream loaded
// it recently. seen is false until some full loads were measured.
func (p *Planner) LoadTimes() (full, reload time.Duration, seen bool) {
	return p.fullLoads.Expected(), p.reloads.Expected(), p.fullLoads.HasMeasurement()
}

// firstPollDelay returns the delay between a load order and the first poll of its completion.
func (p *Planner) firstPollDelay(adapter traffic.Adapter, r *resident) time.Duration {
	if adapter.Name == "" {
		for _, model := range p.Engine.Models {
			if model.Name == adapter.Model {
				return model.LoadTime
			}
		}
	}
	return p.loadForecast(r).FirstPollDelay()
}

// pollDelay returns the interval between two polls of a load's completion.
func (p *Planner) pollDelay(adapter traffic.Adapter, r *resident) time.Duration {
	if adapter.Name == "" || r.orderedAt.IsZero() {
		return pollInterval
	}
	return p.loadForecast(r).PollInterval()
}

func (p *Planner) loadForecast(r *resident) *forecast.LoadTime {
	if r.reload {
		return &p.reloads
	}
	return &p.fullLoads
}

func (p *Planner) rememberRecent(adapter traffic.Adapter) {
	p.recent = slices.DeleteFunc(p.recent, func(other traffic.Adapter) bool { return other == adapter })
	p.recent = append(p.recent, adapter)
	if len(p.recent) > maxRecent {
		p.recent = p.recent[1:]
	}
}

// recordLoadTime records how long a load took. It skips a load that was not tracked from its order on, and one that
// replaced a version, as that waits for the requests that use the old version.
func (p *Planner) recordLoadTime(now time.Time, adapter traffic.Adapter, r *resident) {
	if adapter.Name != "" && r.state == loading && !r.orderedAt.IsZero() && r.polls > 0 {
		p.loadForecast(r).Observe(now.Sub(r.orderedAt), r.polls == 1)
	}
	r.orderedAt = time.Time{}
}
