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
	// evictCost is what the next request for the evicted adapter pays.
	evictCost = 40 * time.Millisecond
	// fetchCost is what an adapter that has to come from the weight store costs besides the wait: the
	// store is shared by all upstreams, and each fetch is billed at a third of a generation's worth.
	fetchCost = 250 * time.Millisecond
	// strayCost is added for each upstream that is nearer to the adapter's home: where it is always
	// loaded at the same few upstreams, these have a copy when it is wanted again.
	strayCost = 50 * time.Millisecond
	// preparingCost is for each request of this instance that already waits for an adapter there, and that
	// the holder's last word may not count yet.
	preparingCost = 60 * time.Millisecond
	// transitCost is what is left, on average, of a load that is under way.
	transitCost = 150 * time.Millisecond
	// stepTime is what one more running request adds to the first event's time: its share of each step
	// that the prompt is read in.
	stepTime = 2 * time.Millisecond
	// engineBase is what a generation takes at the least until its first event.
	engineBase = 25 * time.Millisecond
	// memoryCost is added where the running requests would not fit: the newest of them is read anew.
	memoryCost = 700 * time.Millisecond
)

// Choose picks the upstream where the request is expected to be answered first.
func (p *Pool) Choose(now time.Time, query Query) (Choice, error) {
	p.dropSilent(now)
	var best Choice
	found := false
	bestTotal := time.Duration(0)
	p.turn++
	upstreams := p.servingFor(query.Service)
	homes := p.homes(query)
	for i := range upstreams {
		u := upstreams[(i+p.turn)%len(upstreams)]
		if !u.isCandidate(now, query) || p.isConnectedOut(u) {
			continue
		}
		choice, total := p.weigh(now, u, query, homes)
		if !found || total < bestTotal {
			best = choice
			bestTotal = total
			found = true
		}
	}
	if !found {
		return Choice{}, ErrNone
	}
	return best, nil
}

// isCandidate tells whether an upstream of the service takes the request.
func (u *upstream) isCandidate(now time.Time, query Query) bool {
	if u.declared.Draining || now.Before(u.bannedUntil) || u.isAway(now) {
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
	engine, isEngine := p.engines[u.declared.Service]
	choice.Uncertain = isEngine && p.isUncertain(now, u)
	if isEngine && query.Adapter.Model != "" {
		choice.Expected = p.firstEvent(load, slow, query)
		total = choice.Expected + p.loadCost(u, query, homes, &choice)
		if engine.MemoryTokens > 0 && load.Memory+query.Tokens+query.Output > engine.MemoryTokens {
			total += memoryCost
		}
	} else {
		places := max(u.declared.Places, 1)
		queued := float64(max(load.Running+1-places, 0)) / float64(places)
		choice.Expected = time.Duration(float64(p.Settings.ServiceTime) * slow * (1 + queued))
		total = choice.Expected + time.Duration(float64(load.Running)/float64(places)*float64(p.Settings.ServiceTime))
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

// firstEvent is the time until the first event: the prompts that are read before, its own, and the steps
// of what runs beside it.
func (p *Pool) firstEvent(load Load, slow float64, query Query) time.Duration {
	reading := time.Duration(float64(load.Prompt+query.Tokens) / p.Settings.PromptRate * float64(time.Second))
	return time.Duration(slow * float64(engineBase+reading+time.Duration(load.Running)*stepTime))
}

// loadCost is what it takes until the adapter is there, and what that costs others.
func (p *Pool) loadCost(u *upstream, query Query, homes homes, choice *Choice) time.Duration {
	if known, found := u.resident[query.Adapter]; found && known.Version >= query.Version {
		if !known.InTransit {
			return 0
		}
		choice.Loaded = false
		return transitCost
	}
	choice.Loaded = false
	cost := p.Settings.ReloadTime
	if !u.recent.has(query.Adapter, query.Version) {
		cost = p.Settings.LoadTime + fetchCost + time.Duration(homes.nearer(u))*strayCost
	}
	if _, found := u.resident[traffic.Adapter{Model: query.Adapter.Model}]; !found {
		cost += time.Second
	}
	choice.Wait = u.wait
	return cost + evictCost + u.wait + time.Duration(u.preparing)*preparingCost
}
