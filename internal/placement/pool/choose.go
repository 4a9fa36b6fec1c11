package pool

import (
	"slices"
	"strings"
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/forecast"
)

// choose.go chooses the upstream for a request by its expected response time.

const (
	// crossDataCentreCost is the cost of an upstream in another data centre: the round trip, and the bytes that are
	// billed.
	crossDataCentreCost = 20 * time.Millisecond
	// indirectCost is the cost of an upstream to which requests go through another instance.
	indirectCost = 20 * time.Millisecond
	// failureCost is the cost of a certain failure: the time of a retry. A request that may not be repeated is lost
	// on failure, so its caller gains from an upstream that fails less as well.
	failureCost = 800 * time.Millisecond
)

// Choose picks the upstream where the request is expected to be answered first.
func (p *Pool) Choose(now time.Time, query Query) (Choice, error) {
	p.dropExpired(now)
	var best Choice
	found := false
	var full, slotless *Choice
	bestTotal := time.Duration(0)
	p.rotation++
	upstreams := p.upstreamsOf(query.Service)
	homes := p.homes(query)
	paces := p.pacesOf(now, query.Service)
	for i := range upstreams {
		u := upstreams[(i+p.rotation)%len(upstreams)]
		if !p.isCandidate(now, u, query) || p.isConnectionLimitReached(now, u) {
			continue
		}
		if p.isFull(now, u) || p.Settings.BoundMemory && p.isMemoryFull(now, u, query) {
			if running := p.load(now, u).Running; full == nil || running < full.Running {
				full = &Choice{Upstream: u.declared, Running: running}
			}
			continue
		}
		choice, total := p.estimate(now, u, query, homes, paces)
		if query.Slots.excludes(choice) {
			slotless = soonestSlot(slotless, choice)
			continue
		}
		if !found || isBetter(choice, total+paces.margin(choice, total, best, bestTotal), best, bestTotal) {
			best = choice
			bestTotal = total
			found = true
		}
	}
	switch {
	case found:
		return best, nil
	case slotless != nil:
		return *slotless, ErrNoSlot
	case full != nil:
		return *full, ErrFull
	}
	return Choice{}, ErrNoUpstream
}

// isBetter reports whether a choice is better than another. A cold upstream is always the worse choice, however
// idle: its small capacity is for requests that have no other upstream.
func isBetter(choice Choice, total time.Duration, other Choice, otherTotal time.Duration) bool {
	if choice.Cold != other.Cold {
		return other.Cold
	}
	return total < otherTotal
}

// isCandidate reports whether an upstream of the service can take the request.
func (p *Pool) isCandidate(now time.Time, u *upstream, query Query) bool {
	if !p.mayRun(u, query) || query.Software != "" && u.isLifeInDoubt(now) || u.isUnderBackpressure(now) || now.Before(u.retryAt) || u.isUnreachable(now) {
		return false
	}
	if p.isCold(now, u) && now.Before(u.cold.fullUntil) || u.isLimitReached(now) {
		return false
	}
	if query.MaxSilence > 0 && u.isSilent(now, query.MaxSilence) {
		return false
	}
	if len(query.Candidates) > 0 && !slices.Contains(query.Candidates, u.declared.ID) {
		return false
	}
	return !slices.Contains(query.Exclude, u.declared.ID)
}

// reachableFor is how long a response from an upstream proves that this instance can reach it.
const reachableFor = time.Second

// isUnreachable reports whether the holder cannot reach the upstream and this instance has had no recent response
// from it.
//
// It is needed when many upstreams fail at once. Their entries stay in the store for some seconds. Each instance
// would have to find out by itself, while requests wait there for a connection or an adapter until it is too late
// for another upstream. If only the holder's link to the upstream is lost, instances with recent responses from it
// continue to use it.
func (u *upstream) isUnreachable(now time.Time) bool {
	return now.Before(u.unreachableUntil) && now.Sub(u.servedAt) > reachableFor
}

// upstreamsOf lists the upstreams of a service in a fixed order.
func (p *Pool) upstreamsOf(service string) []*upstream {
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

// estimate returns the choice of an upstream and the total cost by which upstreams are compared.
func (p *Pool) estimate(now time.Time, u *upstream, query Query, homes homes, paces paces) (choice Choice, total time.Duration) {
	load := p.load(now, u)
	failureRate := u.failureRate(now)
	pace := paces.of(now, u)
	slowdown := pace * u.slowness(now)
	choice = Choice{Upstream: u.declared, Version: query.Version, Loaded: true, Running: load.Running, Waiting: load.PromptTokens, FailureRate: failureRate, Slowdown: slowdown}
	choice.Cold = p.isCold(now, u)
	choice.Brittle = p.Brittleness(now, u.declared.Service).Brittle
	choice.Limited = u.isLimited(now)
	choice.MightNotFit = p.Settings.BoundMemory && p.mightNotFit(now, u, query, load)
	choice.LoadStale = p.isLoadStale(now, u)
	choice.Expected = scale(slowdown, p.typicalTime(u, query, load))
	choice.ExpectedIdle = scale(slowdown, p.typicalTime(u, query, Load{}))
	choice.weighed = scale(u.explorationFactor(now), choice.Expected) + scale(pace, p.occupancyCost(u, query, load))
	total = choice.weighed
	if p.isGeneration(query) {
		memoryWait := scale(slowdown, p.memoryWait(query, load))
		cost := p.loadCost(now, u, query, homes, memoryWait, &choice)
		total += cost.wait + cost.charge + query.lateness(choice.Expected+cost.wait) + memoryWait
	}
	total += time.Duration(failureRate * float64(failureCost))
	if u.declared.DataCentre != p.Settings.DataCentre {
		total += crossDataCentreCost
	}
	if u.indirect {
		total += indirectCost
	}
	if choice.Limited && !choice.Loaded {
		total += limitedLoadCost
	}
	if query.Alone && load.Running > 0 {
		total += time.Hour
	}
	return choice, total
}

// memoryWait is the wait for the memory of an engine that has no room for the request.
func (p *Pool) memoryWait(query Query, load Load) time.Duration {
	total := p.engines[query.Service].MemoryTokens
	if total <= 0 || load.MemoryTokens+query.Tokens+query.Output <= total {
		return 0
	}
	return p.statsOf(query.Service).engine.PrefillTime(load.MemoryTokens)
}

// occupancyCost is the cost of the slots in use at an upstream: where all are, as much as an idle upstream takes to respond,
// at an engine to an empty prompt.
//
// It is needed where the requests that run do not delay the response to the next one. All upstreams then differ only by
// what was measured last, by some hundredths, and the one that looks best would get all requests of this instance while
// the others are idle.
func (p *Pool) occupancyCost(u *upstream, query Query, load Load) time.Duration {
	stats := p.statsOf(query.Service)
	idle := stats.service.Latency(0)
	if p.isGeneration(query) {
		idle = stats.engine.TimeToFirstEvent(0, forecast.Backlog{})
	}
	return scale(float64(load.Running)/float64(u.slots()), idle)
}
