package broker

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// broker.go ranks the permit requests and grants permits.

// tokensPerWaitSecond is the waiting demand that counts as much as one second of waiting: about one or two typical
// requests. In measurements, values from 50 to 800 differed by less than two random seeds did.
const tokensPerWaitSecond = 400

// requestTTL is how long a permit request is valid unless repeated. Holders repeat their requests every second.
const requestTTL = 3 * time.Second

// bucketCapacity is how many unused permits accumulate: the weight store serves two loads at once at full speed.
const bucketCapacity = 2

// recentHalfLife is the half-life of a workspace's count of recent loads.
const recentHalfLife = 10 * time.Second

// Broker grants permits from a token bucket, with a limit on loads in flight. Set Settings before use. It is not
// safe for concurrent use.
//
// When popularity shifts or engines are cold, far more loads are requested than the weight store can serve. Run all
// at once, they would slow each other down, and none of the waiting callers would get its adapter in time.
type Broker struct {
	Settings Settings

	requests    map[Load]permitRequest
	inFlight    map[Load]time.Time
	available   float64
	refilledAt  time.Time
	recentLoads map[string]decayingCount
}

// permitRequest is a holder's pending permit request. since is the arrival time of the request that has waited longest,
// givesUpAt the time at which the last of the waiting requests gives up, and receivedAt when the holder last sent or
// repeated it.
type permitRequest struct {
	PermitRequested
	since      time.Time
	givesUpAt  time.Time
	receivedAt time.Time
}

// decayingCount is a count with exponential decay, with half-life recentHalfLife.
type decayingCount struct {
	value     float64
	updatedAt time.Time
}

func (d decayingCount) valueAt(now time.Time) float64 {
	return d.value * math.Exp2(-now.Sub(d.updatedAt).Seconds()/recentHalfLife.Seconds())
}

// Handle processes one event that happened at now and returns the answers that are due.
func (b *Broker) Handle(now time.Time, event Event) (actions []Action) {
	b.ensureInitialised(now)
	b.refill(now)
	switch e := event.(type) {
	case PermitRequested:
		b.requests[e.Load] = permitRequest{PermitRequested: e, since: now.Add(-e.Waited), givesUpAt: now.Add(e.Patience), receivedAt: now}
	case Withdrawn:
		b.withdraw(e)
	case LoadEnded:
		delete(b.requests, e.Load)
		delete(b.inFlight, e.Load)
	case Tick:
	}
	b.expire(now)
	if len(b.requests) == 0 {
		return nil
	}
	return b.answer(now)
}

func (b *Broker) ensureInitialised(now time.Time) {
	if b.requests != nil {
		return
	}
	b.requests = make(map[Load]permitRequest)
	b.inFlight = make(map[Load]time.Time)
	b.recentLoads = make(map[string]decayingCount)
	b.refilledAt = now
	b.available = bucketCapacity
}

func (b *Broker) refill(now time.Time) {
	b.available = min(bucketCapacity, b.available+b.Settings.Rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// withdraw removes the permit request. An unused permit returns to the bucket, as its load did not reach the weight
// store.
func (b *Broker) withdraw(e Withdrawn) {
	delete(b.requests, e.Load)
	if _, granted := b.inFlight[e.Load]; granted {
		delete(b.inFlight, e.Load)
		b.available = min(bucketCapacity, b.available+1)
	}
}

// expire drops permit requests that were not repeated, and permits whose end was not reported within Settings.InFlightTimeout.
// Their holder may have failed, and its share of the eight loads in flight would be lost permanently.
func (b *Broker) expire(now time.Time) {
	for load, request := range b.requests {
		if now.Sub(request.receivedAt) > requestTTL {
			delete(b.requests, load)
		}
	}
	for load, expiresAt := range b.inFlight {
		if !now.Before(expiresAt) {
			delete(b.inFlight, load)
		}
	}
}

// answer grants the highest-ranked permit requests while the budget lasts, and refuses those whose turn comes after the
// last of their waiting requests has given up.
func (b *Broker) answer(now time.Time) (actions []Action) {
	ahead := 0
	for _, request := range b.ranked(now) {
		if b.available >= 1 && len(b.inFlight) < b.Settings.InFlight {
			b.grant(now, request.permitRequest)
			actions = append(actions, Permit{Load: request.Load, UseWithin: b.Settings.UseWithin})
			continue
		}
		ahead++
		turn := time.Duration((float64(ahead) - b.available) / b.Settings.Rate * float64(time.Second))
		if now.Add(turn).After(request.givesUpAt) {
			delete(b.requests, request.Load)
			actions = append(actions, Refuse{Load: request.Load, RetryAfter: turn})
		}
	}
	return actions
}

func (b *Broker) grant(now time.Time, request permitRequest) {
	delete(b.requests, request.Load)
	b.available--
	b.inFlight[request.Load] = now.Add(b.Settings.InFlightTimeout)
	b.recentLoads[request.Workspace] = decayingCount{value: b.recentLoads[request.Workspace].valueAt(now) + 1, updatedAt: now}
}

// scoredRequest is a permit request with its score.
type scoredRequest struct {
	permitRequest
	score float64
}

// ranked lists the permit requests by descending score. The score grows with the wait and the waiting demand, and
// falls with the workspace's recent loads. Ties are broken by name, so that decisions are deterministic.
func (b *Broker) ranked(now time.Time) []scoredRequest {
	list := make([]scoredRequest, 0, len(b.requests))
	for _, request := range b.requests {
		list = append(list, scoredRequest{permitRequest: request, score: b.score(now, request)})
	}
	slices.SortFunc(list, func(x, y scoredRequest) int {
		return cmp.Or(
			cmp.Compare(y.score, x.score),
			cmp.Compare(x.Load.Upstream, y.Load.Upstream),
			cmp.Compare(x.Load.Model.Adapter, y.Load.Model.Adapter),
			cmp.Compare(x.Load.Model.Version, y.Load.Model.Version),
		)
	})
	return list
}

func (b *Broker) score(now time.Time, request permitRequest) float64 {
	waited := now.Sub(request.since).Seconds()
	return (waited + request.Demand/tokensPerWaitSecond) / (1 + b.recentLoads[request.Workspace].valueAt(now))
}
