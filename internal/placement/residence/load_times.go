package residence

import (
	"slices"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/forecast"
)

// load_times.go learns how long loads take, and decides when to check whether one is done.

// LoadTimes tells how long an adapter takes to load, from the weight store and where it was loaded lately, once
// some loads were seen.
func (p *Planner) LoadTimes() (full, reload time.Duration, seen bool) {
	return p.fullLoads.Expected(), p.reloads.Expected(), p.fullLoads.HasMeasurement()
}

// firstCheck is how long after its order a load is first checked.
func (p *Planner) firstCheck(adapter traffic.Adapter, known *place) time.Duration {
	if adapter.Name == "" {
		for _, model := range p.Engine.Models {
			if model.Name == adapter.Model {
				return model.LoadTime
			}
		}
	}
	return p.loads(known).FirstPollDelay()
}

// checkPause is the pause between two checks of a load.
func (p *Planner) checkPause(adapter traffic.Adapter, known *place) time.Duration {
	if adapter.Name == "" || known.orderedAt.IsZero() {
		return checkAgain
	}
	return p.loads(known).PollInterval()
}

func (p *Planner) loads(known *place) *forecast.LoadTime {
	if known.reload {
		return &p.reloads
	}
	return &p.fullLoads
}

func (p *Planner) remember(adapter traffic.Adapter) {
	p.recent = slices.DeleteFunc(p.recent, func(known traffic.Adapter) bool { return known == adapter })
	p.recent = append(p.recent, adapter)
	if len(p.recent) > lately {
		p.recent = p.recent[1:]
	}
}

// learnLoad takes note of how long a load took. One that was not seen from its order on tells nothing, nor does one
// that replaced a version, which waits for the requests that use it.
func (p *Planner) learnLoad(now time.Time, adapter traffic.Adapter, known *place) {
	if adapter.Name != "" && known.state == loading && !known.orderedAt.IsZero() && known.checks > 0 {
		p.loads(known).Observe(now.Sub(known.orderedAt), known.checks == 1)
	}
	known.orderedAt = time.Time{}
}
