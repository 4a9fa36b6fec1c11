package pool

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/forecast"
)

// pace.go keeps how long the upstreams of each service take, as learnt from their answers.

// guessModel is what loading a base model takes where the configuration does not tell.
const guessModel = time.Second

// pace is how long the upstreams of one service take.
type pace struct {
	engine  forecast.Engine
	service forecast.Service
	// peers is what the other instances have seen of the engines.
	peers map[string]peerEvidence
	// loads is what a holder told last of any of the upstreams, for those of which nothing was told.
	loads loadTimes
	// full is what an upstream had in flight, in terms of its places, when it last refused a request for want of room, at
	// fullAt.
	full   float64
	fullAt time.Time
	// nextTurn is when the next refused caller may come back.
	nextTurn time.Time
	// lateSince is since when the queue has been standing: a request was late on its account, and none has found a
	// short queue since. Zero if it is not.
	lateSince time.Time
	// paused is the share of streams that paused for too long, among the latest; inTurn: prompts take turns.
	paused float64
	inTurn bool
}

const (
	// pauseLearning is the weight of the newest stream in the share that paused for too long.
	pauseLearning = 0.04
	// turnsAbove is the share from which on prompts take turns at each engine, and turnsBelow the one up to which they
	// do not any more. Engines whose streams do not suffer from long prompts prefill more of them without turns.
	turnsAbove = 0.08
	turnsBelow = 0.02
)

// notePause takes note of a stream that has ended.
func (p *pace) notePause(late bool) {
	sample := 0.0
	if late {
		sample = 1
	}
	p.paused += pauseLearning * (sample - p.paused)
	switch {
	case p.paused > turnsAbove:
		p.inTurn = true
	case p.paused < turnsBelow:
		p.inTurn = false
	}
}

// InTurn tells whether prompts are to take turns at the engines of a service.
func (p *Pool) InTurn(service string) bool {
	p.prepare()
	return p.pace(service).inTurn
}

// loadTimes is how long an adapter takes to load, from the weight store and where the upstream had it lately.
type loadTimes struct {
	full   time.Duration
	reload time.Duration
}

// pace gives the figures of a service.
func (p *Pool) pace(service string) *pace {
	known := p.paces[service]
	if known == nil {
		known = &pace{loads: loadTimes{full: forecast.InitialLoadTime, reload: forecast.InitialReloadTime}}
		p.paces[service] = known
	}
	return known
}

// isGeneration tells whether an engine answers the request.
func (p *Pool) isGeneration(query Query) bool {
	_, isEngine := p.engines[query.Service]
	return isEngine && query.Adapter.Model != ""
}

// usual is the time until the first event or the answer at an upstream of usual speed.
func (p *Pool) usual(u *upstream, query Query, load Load) time.Duration {
	known := p.pace(query.Service)
	if p.isGeneration(query) {
		return known.engine.TimeToFirstEvent(query.Tokens, backlog(load))
	}
	return known.service.Latency(u.queued(load))
}

// observe takes note of how long a send took until its first event or answer.
func (p *Pool) observe(send *Send, took time.Duration) {
	known := p.pace(send.query.Service)
	if p.isGeneration(send.query) {
		known.engine.Observe(send.query.Tokens, backlog(send.found), took)
		return
	}
	known.service.Observe(send.upstream.queued(send.found), took)
}

func backlog(load Load) forecast.Backlog {
	return forecast.Backlog{Prefill: load.Prompt + load.Awaiting, Running: load.Running}
}

// places is how many calls an upstream serves at once.
func (u *upstream) places() int { return max(u.declared.Places, 1) }

// queued is the calls that wait for a place before one more, in terms of the upstream's places.
func (u *upstream) queued(load Load) float64 {
	return float64(max(load.Running+1-u.places(), 0)) / float64(u.places())
}

// loadTimes is how long loads take at an upstream.
func (p *Pool) loadTimes(u *upstream) loadTimes {
	if u.loads != (loadTimes{}) {
		return u.loads
	}
	return p.pace(u.declared.Service).loads
}

// LoadTimes is how long an adapter takes to load at the upstreams of a service, from the weight store and where it
// was loaded lately.
func (p *Pool) LoadTimes(service string) (full, reload time.Duration) {
	p.prepare()
	loads := p.pace(service).loads
	return loads.full, loads.reload
}

// modelLoadTime is what loading the base model of a request takes.
func (p *Pool) modelLoadTime(query Query) time.Duration {
	for _, model := range p.engines[query.Service].Models {
		if model.Name == query.Adapter.Model && model.LoadTime > 0 {
			return model.LoadTime
		}
	}
	return guessModel
}

func times(factor float64, duration time.Duration) time.Duration {
	return time.Duration(factor * float64(duration))
}
