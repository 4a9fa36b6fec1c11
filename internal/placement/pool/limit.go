package pool

import (
	"math/rand/v2"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// limit.go keeps upstreams to the number of requests in a second that they state to take from all instances together. The
// holder of an upstream admits the requests of all instances, as at one that is cold or brittle. What an upstream states
// comes with its responses: the instances that get them pass it on to the holder, and the holder to all others.

const (
	// limitBurst is how many requests a limited upstream gets at once.
	limitBurst = 2
	// minLimitedRate is the least rate in a second that an upstream gets, whatever it states. One that gets no requests answers
	// none, and nobody would learn that its limit has ended.
	minLimitedRate = 0.5
	// limitTTL is how long a statement counts. Every response repeats or ends it, but there may be none for some time.
	limitTTL = 10 * time.Second
	// limitedLoadCost is the cost of loading an adapter at a limited upstream, which will serve few requests for it.
	limitedLoadCost = time.Second
	// refusalSpacing is how much later each further instance that was refused should come back, and maxRefusalSpread bounds
	// that. Without it, all instances of a large fleet would ask the holder for each request that it admits.
	refusalSpacing   = 20 * time.Millisecond
	maxRefusalSpread = time.Second
)

// LimitStatement is what the last response of an upstream's life says of its limit, at any instance. Of two statements the
// younger one counts.
type LimitStatement struct {
	Life traffic.Life
	// Limited: it takes PerSecond requests from all instances together. If not, it has ended its limit.
	Limited   bool
	PerSecond float64
	// Age is the time since the response.
	Age time.Duration
}

// statedLimit is such a statement, and when it was made.
type statedLimit struct {
	limited   bool
	perSecond float64
	at        time.Time
}

// limitedUpstream is what an instance knows of the requests that a limited upstream gets.
type limitedUpstream struct {
	// budget is the number of requests that the upstream may get now, as of refilled. At its holder they are those of all
	// instances; elsewhere they are this instance's share, for the time without a holder.
	budget   float64
	refilled time.Time
	// refusals counts the requests that were refused since the last one was admitted.
	refusals int
	// fullUntil is when its holder is expected to admit another request, by the last refusal.
	fullUntil time.Time
}

// RecordLimit records the limit that a response states, and reports whether it is news.
func (p *Pool) RecordLimit(now time.Time, upstream traffic.Upstream, perSecond float64) (news bool) {
	s := p.statementOf(now, upstream.Life())
	news = !s.limit.isActive(now) || s.limit.perSecond != perSecond
	s.limit = statedLimit{limited: true, perSecond: perSecond, at: now}
	return news
}

// RecordNoLimit records that the response to an attempt states no limit, and reports whether that is news. If the attempt
// began before the last statement, the response may be older.
func (p *Pool) RecordNoLimit(now time.Time, upstream traffic.Upstream, began time.Time) (news bool) {
	s := p.statements[upstream.Life()]
	if s == nil || !s.limit.isActive(now) || began.Before(s.limit.at) {
		return false
	}
	s.limit = statedLimit{at: now}
	return true
}

// RecordUnreadableLimit reports whether the first response of an upstream's life has arrived whose limit is no number.
func (p *Pool) RecordUnreadableLimit(now time.Time, upstream traffic.Upstream) (news bool) {
	s := p.statementOf(now, upstream.Life())
	news = !s.limitUnreadable
	s.limitUnreadable = true
	return news
}

// MergeLimits records what other instances know of the limits of upstreams.
func (p *Pool) MergeLimits(now time.Time, statements []LimitStatement) {
	for _, stated := range statements {
		at := now.Add(-stated.Age)
		s := p.statements[stated.Life]
		if s == nil && !stated.Limited || s != nil && !at.After(s.limit.at) {
			continue
		}
		s = p.statementOf(now, stated.Life)
		s.limit = statedLimit{limited: stated.Limited, perSecond: stated.PerSecond, at: at}
	}
}

// Limits lists what is known of the limits of the selected upstreams.
func (p *Pool) Limits(now time.Time, selected func(upstream string) bool) (statements []LimitStatement) {
	for life, s := range p.statements {
		if age := now.Sub(s.limit.at); !s.limit.at.IsZero() && age < limitTTL && selected(life.Upstream) {
			statements = append(statements, LimitStatement{Life: life, Limited: s.limit.limited, PerSecond: s.limit.perSecond, Age: age})
		}
	}
	return statements
}

// IsLimited reports whether an upstream states a limit, so that requests to it have to be admitted.
func (p *Pool) IsLimited(now time.Time, upstream traffic.Upstream) bool {
	s := p.statements[upstream.Life()]
	return s != nil && s.limit.isActive(now)
}

// AdmitLimited admits a request at an upstream that this instance holds if the upstream is not limited or may get one more.
// Otherwise it returns the time until it will admit one.
func (p *Pool) AdmitLimited(now time.Time, id string) (retryAfter time.Duration, admitted bool) {
	u := p.upstreams[id]
	if u == nil || !u.isLimited(now) {
		return 0, true
	}
	return u.limited.admit(now, u.stated.limit.rate())
}

// AdmitLimitedShare admits a request at a limited upstream that has no holder, within the share of this instance.
func (p *Pool) AdmitLimitedShare(now time.Time, id string) (admitted bool) {
	u := p.upstreams[id]
	if u == nil || !u.isLimited(now) {
		return true
	}
	if now.Sub(u.limited.refilled) > limitTTL {
		// The holder may have admitted requests until now, and the instances must not begin all at once.
		u.limited = limitedUpstream{refilled: now, budget: -rand.Float64()}
	}
	share := u.stated.limit.perSecond / float64(max(p.Settings.Instances, 1))
	if share <= 0 {
		return false
	}
	_, admitted = u.limited.admit(now, share)
	return admitted
}

// RecordLimitRefusal records that the holder of a limited upstream admits no request until retryAfter has passed.
func (p *Pool) RecordLimitRefusal(now time.Time, id string, retryAfter time.Duration) {
	if u := p.upstreams[id]; u != nil {
		u.limited.fullUntil = now.Add(retryAfter)
	}
}

// RetryAfterLimit is the retry delay of a caller that is refused because of the limits of all upstreams: until one of them
// may get a request of this instance, after the turns of the callers that were refused before it. It is 0 if any upstream that
// may run the request is not limited.
func (p *Pool) RetryAfterLimit(now time.Time, query Query) time.Duration {
	rate := 0.0
	var first time.Time
	for _, u := range p.upstreamsOf(query.Service) {
		if !p.mayRun(u, query) {
			continue
		}
		if !u.isLimited(now) {
			return 0
		}
		rate += u.stated.limit.rate()
		if until := u.limited.fullUntil; first.IsZero() || until.Before(first) {
			first = until
		}
	}
	if rate == 0 {
		return 0
	}
	stats := p.statsOf(query.Service)
	interval := time.Duration(float64(max(p.Settings.LiveInstances, 1)) / rate * float64(time.Second))
	due := now.Add(minRetryAfter)
	for _, later := range []time.Time{first, stats.nextAfterLimit} {
		if due.Before(later) {
			due = later
		}
	}
	if latest := now.Add(maxRetryAfter); due.After(latest) {
		due = latest
	}
	stats.nextAfterLimit = due.Add(interval)
	return due.Sub(now)
}

// ---------------------------------------------------------------------------------------------

func (s statedLimit) isActive(now time.Time) bool { return s.limited && now.Sub(s.at) < limitTTL }

func (s statedLimit) rate() float64 { return max(s.perSecond, minLimitedRate) }

func (u *upstream) isLimited(now time.Time) bool {
	return u.stated != nil && u.stated.limit.isActive(now)
}

// isLimitReached reports whether the holder of an upstream admits no request now, as far as this instance knows.
func (u *upstream) isLimitReached(now time.Time) bool {
	return u.isLimited(now) && now.Before(u.limited.fullUntil)
}

func (l *limitedUpstream) admit(now time.Time, rate float64) (retryAfter time.Duration, admitted bool) {
	l.budget = min(l.budget+rate*now.Sub(l.refilled).Seconds(), limitBurst)
	l.refilled = now
	if l.budget < 1 {
		due := time.Duration((1 - l.budget) / rate * float64(time.Second))
		spread := min(time.Duration(l.refusals)*refusalSpacing, maxRefusalSpread)
		l.refusals++
		return due + spread, false
	}
	l.budget--
	l.refusals = 0
	return 0, true
}
