package serve

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/demand"
)

// demand.go records the demand for adapters, from which the number of their replicas follows.

// TracksDemand reports whether the requests to a service are counted for each adapter.
func (s *SharedState) TracksDemand(service string) bool {
	return s.Demand != nil && (s.ReplicatePopular || s.Pool.StatesPace(service))
}

// demandFor estimates the requests a second for an adapter over the fleet, 0 if they are not counted.
func (s *SharedState) demandFor(now time.Time, key demand.Key) float64 {
	if key.Adapter.Name == "" || !s.TracksDemand(key.Service) {
		return 0
	}
	return s.Demand.Rate(now, key)
}

func (j *job) demandKey() demand.Key {
	return demand.Key{Service: j.service, Adapter: j.call.Generation.Adapter}
}

// recordDemand counts a request that was admitted, whether or not it finds an upstream: requests that are refused for
// want of an adapter slot need replicas as well.
func (j *job) recordDemand(state *SharedState, now time.Time) {
	if key := j.demandKey(); key.Adapter.Name != "" && state.TracksDemand(key.Service) {
		state.Demand.Record(now, key, j.call.Generation.PromptTokens, j.priority)
	}
}

// recordDuration records how long a request that was served has occupied its upstream.
func (a *attempt) recordDuration(state *SharedState, now time.Time, outcome result) {
	key := a.job.demandKey()
	if outcome == resultServed && key.Adapter.Name != "" && state.TracksDemand(key.Service) {
		state.Demand.RecordEnd(key, now.Sub(a.began))
	}
}
