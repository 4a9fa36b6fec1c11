// Package demand estimates how many requests a second each adapter gets, over the whole fleet, from the requests of one
// instance. It does no I/O; the caller reads the clock and passes the time in.
package demand

import (
	"math"
	"slices"
	"strings"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

const (
	// halfLife is the half-life of a counted request. An adapter becomes popular within a second or two.
	halfLife = 2 * time.Second
	// steadyHalfLife is the half-life of a request in the slower one of the two counts of an adapter, which varies
	// less. If replicas of an adapter that has long been popular are lost, this count shows at once how many are
	// needed.
	steadyHalfLife = 10 * time.Second
	// steadyFraction is the part of the steady rate that the latest one must have for the steady one to count.
	steadyFraction = 0.5
	// minRequests is the number of counted requests from which on a rate is estimated. Fewer are mostly chance.
	minRequests = 3
	// minObserved is the least time over which requests are averaged, so that some that arrive together do not count as
	// a high rate.
	minObserved = 700 * time.Millisecond
	// maxAdapters bounds the number of tracked adapters.
	maxAdapters = 512
	// minCount is the count below which an adapter is dropped: one request, five half-lives ago.
	minCount = 0.03
	// sweepInterval is how often adapters below minCount are dropped.
	sweepInterval = 5 * time.Second
	// durationWeight is the weight of the newest stream in the mean duration.
	durationWeight = 0.2
	// stoppedGaps and minStoppedAfter are how long after its last request an adapter counts as one that gets no more:
	// a number of mean intervals between its requests, and at least a time. With requests at random, one interval in
	// fifty is longer than four mean ones.
	stoppedGaps     = 4
	minStoppedAfter = 500 * time.Millisecond
	// marginFactor multiplies the distance by which the largest of the estimates of all instances is expected to
	// exceed the mean, in standard deviations. Demand.Certain is below the mean by the product. The instance with the
	// largest estimate decides how many replicas there are. A lower factor orders the replicas sooner, but then more
	// of them than are needed.
	marginFactor = 0.9
)

// Key is an adapter at a service.
type Key struct {
	Service string
	Adapter traffic.Adapter
}

// compare orders keys.
func (k Key) compare(other Key) int {
	if c := strings.Compare(k.Service, other.Service); c != 0 {
		return c
	}
	return strings.Compare(k.Adapter.String(), other.Adapter.String())
}

// Demand is the estimated demand for an adapter over the fleet.
type Demand struct {
	Key Key
	// Rate is the number of requests a second. Certain is a lower estimate, which the actual rate is likely to exceed.
	Rate    float64
	Certain float64
	// Tokens is the mean length of the prompts, and Duration the mean duration of the streams, 0 if none has ended.
	Tokens   int
	Duration time.Duration
	// Priority is the highest priority of the requests.
	Priority int
	// Since is when the adapter became popular.
	Since time.Time
}

// Tracker counts the requests of this instance for each adapter. Set the exported fields before use and whenever they
// change. It is not safe for concurrent use.
type Tracker struct {
	// Instances is the number of live instances.
	Instances int
	// Factor is the number of requests of the fleet for each request of this instance; 0 for Instances.
	Factor float64

	adapters map[Key]*adapter
	sweptAt  time.Time
}

// adapter holds decaying sums over the requests for an adapter.
type adapter struct {
	updatedAt time.Time
	latest    count
	steady    count
	// tokens is the sum of the prompts of the latest requests.
	tokens float64
	// expectedUntil is until when the next request is expected.
	expectedUntil time.Time
	duration      time.Duration
	priority      int
	// popularSince is when the number of counted requests last reached minRequests; zero if it is lower.
	popularSince time.Time
}

// count is a decaying number of requests, and the time in which they arrived, in seconds, which decays alike.
type count struct {
	requests float64
	seconds  float64
}

// decay applies the decay of the given number of seconds and returns the factor by which the count has decreased.
func (c *count) decay(passed float64, halfLife time.Duration) (factor float64) {
	factor = math.Exp2(-passed / halfLife.Seconds())
	c.requests *= factor
	c.seconds = c.seconds*factor + (1-factor)*halfLife.Seconds()/math.Ln2
	return factor
}

// rate returns the requests a second.
func (c count) rate() float64 { return c.requests / max(c.seconds, minObserved.Seconds()) }

// certain returns a rate that is lower by a margin in standard deviations. variance is that of the count relative to
// it: a sum of n that decays has a variance of n/2 once it has been decaying for long, and of n at first.
func (c count) certain(margin, variance float64) float64 {
	if c.requests <= 0 {
		return 0
	}
	return max(1-margin*math.Sqrt(variance/c.requests), 0) * c.rate()
}

// Record counts a request with a prompt of the given length.
func (t *Tracker) Record(now time.Time, key Key, tokens, priority int) {
	a := t.adapters[key]
	if a == nil {
		a = t.add(now, key, priority)
	}
	a.decay(now)
	a.priority = min(a.priority, priority)
	a.latest.requests++
	a.steady.requests++
	a.tokens += float64(tokens)
	a.expectedUntil = now.Add(max(time.Duration(stoppedGaps/a.latest.rate()*float64(time.Second)), minStoppedAfter))
	if a.popularSince.IsZero() && a.latest.requests >= minRequests {
		a.popularSince = now
	}
}

// RecordEnd records the duration of a stream that has ended, from its dispatch.
func (t *Tracker) RecordEnd(key Key, duration time.Duration) {
	a := t.adapters[key]
	switch {
	case a == nil:
	case a.duration == 0:
		a.duration = duration
	default:
		a.duration += time.Duration(durationWeight * float64(duration-a.duration))
	}
}

// Rate returns the number of requests a second for an adapter over the fleet, 0 if it has too few.
func (t *Tracker) Rate(now time.Time, key Key) float64 {
	a := t.adapters[key]
	if a == nil || !a.isPopular(now) {
		return 0
	}
	return a.latest.rate() * t.factor()
}

// Popular lists the demand for the adapters that have enough requests, the newest demand first.
func (t *Tracker) Popular(now time.Time) (list []Demand) {
	t.sweep(now)
	for key, a := range t.adapters {
		if a.isPopular(now) {
			list = append(list, t.demand(key, a))
		}
	}
	slices.SortFunc(list, func(a, b Demand) int {
		if c := b.Since.Compare(a.Since); c != 0 {
			return c
		}
		return a.Key.compare(b.Key)
	})
	return list
}

// Len returns the number of tracked adapters.
func (t *Tracker) Len() int { return len(t.adapters) }

// ---------------------------------------------------------------------------------------------

func (t *Tracker) demand(key Key, a *adapter) Demand {
	margin := t.margin()
	certain := a.latest.certain(margin, 0.5) // also at first, so that a new popular adapter gets its replicas sooner
	if a.latest.rate() >= steadyFraction*a.steady.rate() {
		age := a.steady.seconds * math.Ln2 / steadyHalfLife.Seconds()
		certain = max(certain, a.steady.certain(margin, 1-age/2))
	}
	return Demand{
		Key: key, Rate: a.latest.rate() * t.factor(), Certain: certain * t.factor(),
		Tokens: int(a.tokens / a.latest.requests), Duration: a.duration, Priority: a.priority, Since: a.popularSince,
	}
}

// factor is the number of requests of the fleet for each request of this instance.
func (t *Tracker) factor() float64 {
	if t.Factor > 0 {
		return t.Factor
	}
	return float64(max(t.Instances, 1))
}

// margin is the distance of Demand.Certain from the mean in standard deviations. The largest of n values is expected to
// be about sqrt(2 ln n) of them above the mean.
func (t *Tracker) margin() float64 {
	return marginFactor * math.Sqrt(2*math.Log(float64(max(t.Instances, 1))))
}

// add begins to track an adapter, in place of the least requested one if there are too many.
func (t *Tracker) add(now time.Time, key Key, priority int) *adapter {
	if t.adapters == nil {
		t.adapters = make(map[Key]*adapter)
	}
	t.sweep(now)
	if len(t.adapters) >= maxAdapters {
		t.dropLeast(now)
	}
	a := &adapter{updatedAt: now, priority: priority}
	t.adapters[key] = a
	return a
}

// sweep drops the adapters whose requests were long ago.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for key, a := range t.adapters {
		a.decay(now)
		if a.latest.requests < minCount {
			delete(t.adapters, key)
		}
	}
}

func (t *Tracker) dropLeast(now time.Time) {
	var least Key
	found := false
	for key, a := range t.adapters {
		a.decay(now)
		if !found || a.latest.requests < t.adapters[least].latest.requests {
			least = key
			found = true
		}
	}
	delete(t.adapters, least)
}

// decay brings the sums to the given time.
func (a *adapter) decay(now time.Time) {
	passed := now.Sub(a.updatedAt).Seconds()
	if passed <= 0 {
		return
	}
	a.tokens *= a.latest.decay(passed, halfLife)
	a.steady.decay(passed, steadyHalfLife)
	a.updatedAt = now
	if a.latest.requests < minRequests {
		a.popularSince = time.Time{}
	}
}

// isPopular reports whether enough requests are counted and further ones are likely.
func (a *adapter) isPopular(now time.Time) bool {
	a.decay(now)
	return a.latest.requests >= minRequests && now.Before(a.expectedUntil)
}
