package pool

import (
	"slices"
	"strings"
	"time"
)

// choose.go compares upstreams by when a request would be answered there.

const (
	// awayCost is what another data centre costs: the way there and back, and bytes that are billed.
	awayCost = 20 * time.Millisecond
	// failureCost is what a certain failure costs: the time of a retry. Callers of a request that may not
	// be repeated lose it altogether, so they gain as well from the upstream that fails less.
	failureCost = 800 * time.Millisecond
)

// Choose picks the upstream where the request is expected to be answered first.
func (p *Pool) Choose(now time.Time, query Query) (Choice, error) {
	p.dropSilent(now)
	var best Choice
	found := false
	var full *Choice
	bestTotal := time.Duration(0)
	p.turn++
	upstreams := p.servingFor(query.Service)
	homes := p.homes(query)
	for i := range upstreams {
		u := upstreams[(i+p.turn)%len(upstreams)]
		if !p.isCandidate(now, u, query) || p.isConnectedOut(u) {
			continue
		}
		if p.isFull(now, u) {
			if running := p.load(now, u).Running; full == nil || running < full.Running {
				full = &Choice{Upstream: u.declared, Running: running}
			}
			continue
		}
		choice, total := p.weigh(now, u, query, homes)
		if !found || isBetter(choice, total, best, bestTotal) {
			best = choice
			bestTotal = total
			found = true
		}
	}
	switch {
	case found:
		return best, nil
	case full != nil:
		return *full, ErrFull
	}
	return Choice{}, ErrNone
}

// isBetter reports whether a choice is better than another. An upstream that is cold is the worse choice, however idle: the
// little that it bears is for those who have no other.
func isBetter(choice Choice, total time.Duration, other Choice, otherTotal time.Duration) bool {
	if choice.Cold != other.Cold {
		return other.Cold
	}
	return total < otherTotal
}

// isCandidate tells whether an upstream of the service takes the request.
func (p *Pool) isCandidate(now time.Time, u *upstream, query Query) bool {
	if !p.IsOpen(u.declared) || now.Before(u.bannedUntil) || u.isAway(now) {
		return false
	}
	if p.isCold(now, u) && now.Before(u.cold.fullUntil) {
		return false
	}
	if len(query.Among) > 0 && !slices.Contains(query.Among, u.declared.ID) {
		return false
	}
	return !slices.Contains(query.Exclude, u.declared.ID)
}

// answersFor is how long an answer from an upstream proves that it can be reached from here.
const answersFor = time.Second

// isAway tells whether the holder does not reach the upstream, and this instance does not know better.
//
// Made for many upstreams that fall silent at once. Their entries stay in the store for some seconds, and each
// instance would find out by itself, at the cost of requests that wait for a connection or an adapter there until
// it is too late for another upstream. Where only the holder's way there is lost, those who have just had answers
// go on.
func (u *upstream) isAway(now time.Time) bool {
	return now.Before(u.awayUntil) && now.Sub(u.servedAt) > answersFor
}

// servingFor lists the upstreams of a service in a fixed order.
func (p *Pool) servingFor(service string) []*upstream {
	if p.services == nil {
		p.services = make(map[string][]*upstream)
		for _, u := range p.upstreams {
			p.services[u.declared.Service] = append(p.services[u.declared.Service], u)
		}
		for _, list := range p.services {
			slices.SortFunc(list, func(a, b *upstream) int { return strings.Compare(a.declared.ID, b.declared.ID) })
		}
	}
	return p.services[service]
}

// isConnectedOut tells whether this instance uses its part of an upstream's connections up. One more is
// reset by the upstream, and a request that may not be repeated is lost with it.
func (p *Pool) isConnectedOut(u *upstream) bool {
	most := p.connections[u.declared.Service]
	return most > 0 && len(u.sends) >= max(most/max(p.Settings.Instances, 1), 1)
}

// weigh gives the choice of an upstream and what it is compared by.
func (p *Pool) weigh(now time.Time, u *upstream, query Query, homes homes) (choice Choice, total time.Duration) {
	load := p.load(now, u)
	failing := u.failing(now)
	slow := u.slowness(now)
	choice = Choice{Upstream: u.declared, Loaded: true, Running: load.Running, Waiting: load.Prompt, Failing: failing, Slow: slow}
	choice.Cold = p.isCold(now, u)
	engine, isEngine := p.engines[u.declared.Service]
	choice.Uncertain = p.isUncertain(now, u)
	choice.Expected = times(slow, p.usual(u, query, load))
	choice.Idle = times(slow, p.usual(u, query, Load{}))
	pace := p.pace(query.Service)
	if isEngine && query.Adapter.Model != "" {
		cost := p.loadCost(u, query, homes, &choice)
		total = times(u.exploration(now), choice.Expected) + cost.wait + cost.charge
		total += query.lateness(choice.Expected + cost.wait)
		if engine.MemoryTokens > 0 && load.Memory+query.Tokens+query.Output > engine.MemoryTokens {
			total += times(slow, pace.engine.PrefillTime(load.Memory))
		}
	} else {
		total = times(u.exploration(now), choice.Expected) + times(float64(load.Running)/float64(u.places()), pace.service.Latency(0))
	}
	total += time.Duration(failing * float64(failureCost))
	if u.declared.DataCentre != p.Settings.DataCentre {
		total += awayCost
	}
	if query.Alone && load.Running > 0 {
		total += time.Hour
	}
	return choice, total
}
