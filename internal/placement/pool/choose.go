package pool

import (
	"slices"
	"strings"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// choose.go compares upstreams by when a request would be answered there.

const (
	// awayCost is what another data centre costs: the way there and back, and bytes that are billed.
	awayCost = 20 * time.Millisecond
	// failureCost is what a certain failure costs: the time of a retry. Callers of a request that may not
	// be repeated lose it altogether, so they gain as well from the upstream that fails less.
	failureCost = 800 * time.Millisecond
	// evicted is what the next request for the evicted adapter pays, in reloads.
	evicted = 1
	// fetched is what an adapter that has to come from the weight store costs besides the wait, in loads: the
	// store is shared by all upstreams, and a fetch keeps others waiting, and is billed.
	fetched = 1
	// stray is added for each upstream that is nearer to the adapter's home, in loads: where it is always
	// loaded at the same few upstreams, these have a copy when it is wanted again.
	stray = 0.2
	// preparing is for each request of this instance that already waits for an adapter there, and that the
	// holder's last word may not count yet, in loads: an upstream loads some adapters at once.
	preparing = 0.25
	// inTransit is what is left, on average, of a load that is under way.
	inTransit = 0.5
)

// Choose picks the upstream where the request is expected to be answered first.
func (p *Pool) Choose(now time.Time, query Query) (Choice, error) {
	p.dropSilent(now)
	var best Choice
	found := false
	full := false
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
			full = true
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
	case full:
		return Choice{}, ErrFull
	}
	return Choice{}, ErrNone
}

// isBetter tells whether a choice is better than another. An upstream that is cold is the worse choice, however idle: the
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

// fullFor is how long it counts that an upstream refused a request for want of room at a load.
const fullFor = 10 * time.Second

// isFull tells whether an upstream has as much in flight, in terms of its places, as one of its service had when it
// refused a request for want of room.
func (p *Pool) isFull(now time.Time, u *upstream) bool {
	known := p.pace(u.declared.Service)
	return known.full > 0 && now.Sub(known.fullAt) < fullFor && p.load(now, u).perPlace(u) >= known.full
}

// noteRefusal learns from a refusal for want of room how much an upstream takes, if all that it had was known.
func (p *Pool) noteRefusal(now time.Time, u *upstream, found Load, certain bool) {
	if !certain || found.Running < u.places() {
		return
	}
	known := p.pace(u.declared.Service)
	known.full = found.perPlace(u)
	known.fullAt = now
}

// perPlace is the requests in flight in terms of an upstream's places.
func (l Load) perPlace(u *upstream) float64 { return float64(l.Running) / float64(u.places()) }

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
		loading := p.loadCost(u, query, homes, &choice)
		total = times(u.exploration(now), choice.Expected) + loading.wait + loading.charge
		total += query.lateness(choice.Expected + loading.wait)
		if engine.MemoryTokens > 0 && load.Memory+query.Tokens+query.Output > engine.MemoryTokens {
			total += times(slow, pace.engine.Prefill(load.Memory))
		}
	} else {
		total = times(u.exploration(now), choice.Expected) + times(float64(load.Running)/float64(u.places()), pace.service.Answer(0))
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

// loading is how long a request waits until its adapter is there, and what having it loaded costs others.
type loading struct {
	wait   time.Duration
	charge time.Duration
}

// loadCost is what it takes until the adapter is there.
func (p *Pool) loadCost(u *upstream, query Query, homes homes, choice *Choice) (cost loading) {
	loads := p.loadTimes(u)
	if known, found := u.resident[query.Adapter]; found && known.Version >= query.Version {
		if known.InTransit {
			choice.Loaded = false
			cost.wait = times(inTransit, loads.full)
		}
		return cost
	}
	choice.Loaded = false
	choice.Wait = u.wait
	cost.wait = u.wait + times(preparing*float64(u.preparing), loads.full)
	cost.charge = times(evicted, loads.reload)
	if u.recent.has(query.Adapter, query.Version) {
		cost.wait += loads.reload
	} else {
		cost.wait += loads.full
		cost.charge += times(fetched+stray*float64(homes.nearer(u)), loads.full)
	}
	if _, found := u.resident[traffic.Adapter{Model: query.Adapter.Model}]; !found {
		cost.wait += p.modelLoadTime(query)
	}
	return cost
}

const (
	// lateFrom and lateTo are the times until the first event, in terms of what is left of the objective, from which on
	// a request may be late and from which on it surely is: forecasts are off by some tenths.
	lateFrom = 0.45
	lateTo   = 1.15
)

// lateness is what it costs a caller that the first event comes after some time: its objective, as likely as that makes
// it late.
//
// Made for popular adapters. By time alone a fetch to an idle engine is dearer than the queue of the one that has the
// adapter, until that queue is longer than callers can wait.
func (q Query) lateness(after time.Duration) time.Duration {
	if q.OnTime <= 0 {
		return 0
	}
	part := (float64(after)/float64(q.OnTime) - lateFrom) / (lateTo - lateFrom)
	return times(min(max(part, 0), 1), q.Objective)
}
