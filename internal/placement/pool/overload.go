package pool

import "time"

// overload.go decides which requests are refused because a service has more to do than fits, and when their callers
// should come back.

const (
	// mostQueued is the part of a request's objective that may pass in the queue of an engine before a request that
	// would be late is refused. One that would be late in a short queue too, for its own length, is refused in twice that.
	mostQueued = 0.5
	// shortQueue is the part of the objective up to which a queue counts as short, and to which it should have shrunk
	// when a refused caller comes back.
	shortQueue = 0.3
	// leastRetryAfter and mostRetryAfter bound when a refused caller is asked to come back.
	leastRetryAfter = 100 * time.Millisecond
	mostRetryAfter  = 3 * time.Second
)

// Patience is how long from now a request can wait for its first event or answer.
type Patience struct {
	// OnTime until it is late.
	OnTime time.Duration
	// Left until nobody waits for it any more.
	Left time.Duration
	// Objective is how long it could have waited from its beginning and be on time; 0 if it is never late.
	Objective time.Duration
}

// Refuse tells whether a request had better be refused at once than sent where it is expected to be answered first,
// and when its caller should come back.
//
// Made for more requests than fit. Sent to an engine whatever waits there, each request adds to its
// queue, and soon all are answered late, or when their callers are gone, though the engines are busy all
// the while. As long as those who would be late on account of the queue are refused, it stays as long as it may
// be for those who come to be on time, and the engines are as busy. A burst that is over before long is served, late
// in part: nobody comes after it who would be late on its account, and a late answer is better than none. Requests
// that are late by themselves, such as the longest prompts, are served while the queue is short; otherwise they never
// would be.
func (p *Pool) Refuse(
	now time.Time, query Query, choice Choice, patience Patience,
) (retryAfter time.Duration, refused bool) {
	eta := choice.Expected + choice.Wait
	queued := choice.Expected - choice.Idle
	hopeless := eta > patience.Left
	most := times(mostQueued, patience.Objective)
	if choice.Idle > patience.OnTime-most {
		most = patience.Objective
	}
	late := patience.Objective > 0 && eta > patience.OnTime && queued > most
	short := queued <= times(shortQueue, patience.Objective)
	standing := p.pace(query.Service).noteQueue(now, late, short) > patience.Objective
	if !hopeless && !(late && standing) {
		return 0, false
	}
	wait := queued + choice.Wait - times(shortQueue, patience.Objective)
	return p.scheduleRetry(now, query, wait), true
}

// noteQueue takes note of whether a request is late on account of the queue, and tells for how long the queue has been
// standing since one was. A request that finds a short queue shows that the service is not full, but at most the
// upstreams that have some adapter.
func (p *pace) noteQueue(now time.Time, late, short bool) time.Duration {
	switch {
	case short:
		p.lateSince = time.Time{}
	case late && p.lateSince.IsZero():
		p.lateSince = now
	}
	if p.lateSince.IsZero() {
		return 0
	}
	return now.Sub(p.lateSince)
}

// occupies is how long a request keeps an upstream from others: an engine while it prefills the prompt, a plain one for
// its part of the places.
func (p *Pool) occupies(query Query) time.Duration {
	known := p.pace(query.Service)
	if p.isGeneration(query) {
		return known.engine.PrefillTime(query.Tokens)
	}
	places := 0
	for _, u := range p.servingFor(query.Service) {
		places = max(places, u.places())
	}
	return known.service.Latency(0) / time.Duration(max(places, 1))
}

// RetryWhenFull is when a refused caller should come back to a service all of whose upstreams are full.
func (p *Pool) RetryWhenFull(now time.Time, query Query) time.Duration {
	return p.scheduleRetry(now, query, p.occupies(query))
}

// scheduleRetry tells a refused caller when to come back: when there will be room, after those who were refused before
// it have had their turn. The other instances are taken to refuse as many.
func (p *Pool) scheduleRetry(now time.Time, query Query, wait time.Duration) time.Duration {
	known := p.pace(query.Service)
	upstreams := max(p.openIn(query.Service), 1)
	turn := p.occupies(query) * time.Duration(max(p.Settings.Instances, 1)) / time.Duration(upstreams)
	due := now.Add(max(wait, leastRetryAfter))
	if due.Before(known.nextTurn) {
		due = known.nextTurn
	}
	if most := now.Add(mostRetryAfter); due.After(most) {
		due = most
	}
	known.nextTurn = due.Add(turn)
	return due.Sub(now)
}
