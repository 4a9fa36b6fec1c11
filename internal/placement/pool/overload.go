package pool

import "time"

// overload.go decides which requests are refused when a service is overloaded, and when their callers should retry.

const (
	// maxQueueFraction is the fraction of a request's objective that may pass in the queue of an engine before a
	// request that would be late is refused. A request that would be late in a short queue too, because of its own
	// length, is refused at twice that.
	maxQueueFraction = 0.5
	// shortQueueFraction is the fraction of the objective up to which a queue counts as short, and to which it
	// should have shrunk when a refused caller retries.
	shortQueueFraction = 0.3
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused caller.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// TimeBudget is how long from now a request can wait for its first event or response.
type TimeBudget struct {
	// OnTime is the time until it is late.
	OnTime time.Duration
	// Remaining is the time until nobody waits for it any more.
	Remaining time.Duration
	// Objective is how long it could have waited from its start and still be on time; 0 if it is never late.
	Objective time.Duration
}

// Refuse reports whether a request should be refused at once instead of sent to the chosen upstream, and when its
// caller should retry.
//
// This is load shedding. If each request is sent to an engine whatever waits there, the queues grow, and soon all
// requests are answered late, or after their callers are gone, although the engines are busy all the time. If
// requests that would be late because of the queue are refused, the queue stays as long as it may be for new
// requests to be on time, and the engines stay just as busy. A short burst is served, in part late: no later
// request would be late because of it, and a late answer is better than none. Requests that are late by themselves,
// such as the longest prompts, are served while the queue is short; otherwise they would never be served.
func (p *Pool) Refuse(
	now time.Time, query Query, choice Choice, budget TimeBudget,
) (retryAfter time.Duration, refused bool) {
	eta := choice.Expected + choice.SlotWait
	queued := choice.Expected - choice.ExpectedIdle
	pastDeadline := eta > budget.Remaining
	if query.Software != "" && !pastDeadline {
		return 0, false // its caller has a part of the stream, and its queue is that of a few upstreams
	}
	late := budget.Objective > 0 && eta > budget.OnTime && queued > maxQueue(choice, budget)
	short := queued <= scale(shortQueueFraction, budget.Objective)
	standing := p.statsOf(query.Service).recordQueue(now, late, short) > budget.Objective
	if !pastDeadline && !(late && standing) {
		return 0, false
	}
	wait := queued + choice.SlotWait - scale(shortQueueFraction, budget.Objective)
	return p.scheduleRetry(now, query, wait), true
}

// recordQueue records whether a request is late because of the queue, and returns how long the queue has been
// standing: the time since the first late request after which none has found a short queue. A request that finds a
// short queue shows that the service as a whole is not full; at most the upstreams that have one particular adapter
// are.
func (s *serviceStats) recordQueue(now time.Time, late, short bool) time.Duration {
	switch {
	case short:
		s.standingSince = time.Time{}
	case late && s.standingSince.IsZero():
		s.standingSince = now
	}
	if s.standingSince.IsZero() {
		return 0
	}
	return now.Sub(s.standingSince)
}

// occupiedTime is how long a request keeps an upstream from other requests: an engine during the prefill of the
// prompt, a plain upstream for its share of the slots.
func (p *Pool) occupiedTime(query Query) time.Duration {
	stats := p.statsOf(query.Service)
	if p.isGeneration(query) {
		return stats.engine.PrefillTime(query.Tokens)
	}
	slots := 0
	for _, u := range p.upstreamsOf(query.Service) {
		slots = max(slots, u.slots())
	}
	return stats.service.Latency(0) / time.Duration(max(slots, 1))
}

// RetryWhenFull is the retry delay of a caller that is refused because all upstreams of a service are full.
func (p *Pool) RetryWhenFull(now time.Time, query Query) time.Duration {
	return p.scheduleRetry(now, query, p.occupiedTime(query))
}

// scheduleRetry returns the retry delay of a refused caller: until there will be capacity, after the turns of those
// that were refused before it. It assumes that the other instances refuse as many.
func (p *Pool) scheduleRetry(now time.Time, query Query, wait time.Duration) time.Duration {
	stats := p.statsOf(query.Service)
	interval := p.retryInterval(query)
	due := now.Add(max(wait, minRetryAfter))
	if due.Before(stats.nextRetry) {
		due = stats.nextRetry
	}
	if latest := now.Add(maxRetryAfter); due.After(latest) {
		due = latest
	}
	stats.nextRetry = due.Add(interval)
	return due.Sub(now)
}

// retryInterval is the time between the turns of two refused callers of this instance.
func (p *Pool) retryInterval(query Query) time.Duration {
	upstreams := max(p.countRunnable(query), 1)
	return p.occupiedTime(query) * time.Duration(max(p.Settings.Instances, 1)) / time.Duration(upstreams)
}
