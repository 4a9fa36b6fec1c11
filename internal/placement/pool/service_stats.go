package pool

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/forecast"
)

// service_stats.go keeps what was measured of the upstreams of each service, such as response times.

// defaultModelLoadTime is the load time of a base model where the configuration does not state it.
const defaultModelLoadTime = time.Second

// serviceStats are the measurements of one service's upstreams.
type serviceStats struct {
	engine  forecast.Engine
	service forecast.Service
	// peers is the evidence of the other instances about the engines.
	peers map[string]peerEvidence
	// loads is the last load times that a holder reported for any of the upstreams. They apply to upstreams without
	// a report.
	loads loadTimes
	// capacity is the load per slot of an upstream when it last refused a request for lack of capacity, at
	// capacityAt.
	capacity   float64
	capacityAt time.Time
	// brittle is what the last response to this instance stated, and peerBrittle what another instance stated last.
	brittle     statedBrittleness
	peerBrittle statedBrittleness
	// nextRetry is when the next refused caller may retry.
	nextRetry time.Time
	// nextAfterBackpressure is the same for callers that are refused because of the backpressure of all upstreams.
	nextAfterBackpressure time.Time
	// nextAfterLimit is the same for callers that are refused because of the limits of all upstreams.
	nextAfterLimit time.Time
	// standingSince is the start of a standing queue: a request was late because of the queue, and none has found a
	// short queue since. Zero if the queue is not standing.
	standingSince time.Time
	// pauseRate is the fraction of the latest streams that paused for too long. inTurn: prompts take prefill turns.
	pauseRate float64
	inTurn    bool
	pace      servicePace
}

const (
	// pauseSampleWeight is the weight of the newest stream in pauseRate.
	pauseSampleWeight = 0.04
	// turnsAbove is the pause rate from which on prompts take turns at each engine, and turnsBelow the one below
	// which they stop. Engines whose streams do not suffer from long prompts prefill more of them without turns.
	turnsAbove = 0.08
	turnsBelow = 0.02
)

// recordPause records whether a stream that has ended paused for too long.
func (s *serviceStats) recordPause(late bool) {
	sample := 0.0
	if late {
		sample = 1
	}
	s.pauseRate += pauseSampleWeight * (sample - s.pauseRate)
	switch {
	case s.pauseRate > turnsAbove:
		s.inTurn = true
	case s.pauseRate < turnsBelow:
		s.inTurn = false
	}
}

// PromptsTakeTurns reports whether prompts take prefill turns at the engines of a service.
func (p *Pool) PromptsTakeTurns(service string) bool {
	p.prepare()
	return p.statsOf(service).inTurn
}

// loadTimes are how long an adapter takes to load: from the weight store, and where the upstream had it recently.
type loadTimes struct {
	full   time.Duration
	reload time.Duration
}

// statsOf returns the stats of a service, and creates them on the first call.
func (p *Pool) statsOf(service string) *serviceStats {
	stats := p.stats[service]
	if stats == nil {
		stats = &serviceStats{loads: loadTimes{full: forecast.InitialLoadTime, reload: forecast.InitialReloadTime}}
		p.stats[service] = stats
	}
	return stats
}

// isGeneration reports whether an engine answers the request.
func (p *Pool) isGeneration(query Query) bool {
	_, isEngine := p.engines[query.Service]
	return isEngine && query.Adapter.Model != ""
}

// typicalTime is the time until the first event or the response at an upstream of typical speed.
func (p *Pool) typicalTime(u *upstream, query Query, load Load) time.Duration {
	stats := p.statsOf(query.Service)
	if p.isGeneration(query) {
		return stats.engine.TimeToFirstEvent(query.Tokens, backlog(load))
	}
	return stats.service.Latency(u.queued(load))
}

// observe records how long a request took until its first event or response at an upstream of a given pace.
func (p *Pool) observe(attempt *Attempt, took time.Duration, pace float64) {
	took = scale(1/pace, took)
	stats := p.statsOf(attempt.query.Service)
	if p.isGeneration(attempt.query) {
		stats.engine.Observe(attempt.query.Tokens, backlog(attempt.found), took)
		return
	}
	stats.service.Observe(attempt.upstream.queued(attempt.found), took)
}

func backlog(load Load) forecast.Backlog {
	return forecast.Backlog{Prefill: load.PromptTokens + load.AwaitingTokens, Running: load.Running}
}

// slots is how many calls an upstream serves concurrently.
func (u *upstream) slots() int { return max(u.declared.BatchSlots, 1) }

// queued is how many calls have to end before one more gets a slot, per slot of the upstream.
func (u *upstream) queued(load Load) float64 {
	return float64(max(load.Running+1-u.slots(), 0)) / float64(u.slots())
}

// loadTimes is how long loads take at an upstream.
func (p *Pool) loadTimes(u *upstream) loadTimes {
	if u.loads != (loadTimes{}) {
		return u.loads
	}
	return p.statsOf(u.declared.Service).loads
}

// LoadTimes are how long an adapter takes to load at the upstreams of a service: from the weight store, and where
// it was loaded recently.
func (p *Pool) LoadTimes(service string) (full, reload time.Duration) {
	p.prepare()
	loads := p.statsOf(service).loads
	return loads.full, loads.reload
}

// modelLoadTime is the load time of the base model of a request.
func (p *Pool) modelLoadTime(query Query) time.Duration {
	for _, model := range p.engines[query.Service].Models {
		if model.Name == query.Adapter.Model && model.LoadTime > 0 {
			return model.LoadTime
		}
	}
	return defaultModelLoadTime
}

func scale(factor float64, duration time.Duration) time.Duration {
	return time.Duration(factor * float64(duration))
}
