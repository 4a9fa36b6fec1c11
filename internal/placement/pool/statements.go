package pool

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// statements.go keeps what upstreams state about themselves in their responses to this instance. It holds for one life of
// the upstream, whatever the store says meanwhile: entries expire in an outage of the store, and come back.

// statementTTL is how long a statement is kept for an upstream that is not declared.
const statementTTL = 10 * time.Minute

// statement is what an upstream has stated.
type statement struct {
	// leaving: it takes no new requests, and will end.
	leaving bool
	// backpressureUntil is when this instance may send it requests again.
	backpressureUntil time.Time
	limit             statedLimit
	// limitUnreadable: it has stated a limit that is no number.
	limitUnreadable bool
	at              time.Time
}

// RecordBackpressure records that an upstream refused a request and wants no more from this instance for some time, at most
// Settings.MaxBackpressure. A later statement may extend that time, and nothing shortens it. It reports whether the upstream
// took requests until now.
func (p *Pool) RecordBackpressure(now time.Time, upstream traffic.Upstream, retryAfter time.Duration) (news bool) {
	s := p.statementOf(now, upstream.Life())
	news = !now.Before(s.backpressureUntil)
	if until := now.Add(min(retryAfter, p.Settings.MaxBackpressure)); until.After(s.backpressureUntil) {
		s.backpressureUntil = until
	}
	return news
}

// RecordLeaving records that an upstream is leaving, and reports whether that is news. Nothing but its next life ends that.
func (p *Pool) RecordLeaving(now time.Time, upstream traffic.Upstream) (news bool) {
	s := p.statementOf(now, upstream.Life())
	news = !s.leaving
	s.leaving = true
	return news
}

// IsEndAnnounced reports whether an upstream has declared or stated that it is leaving.
func (p *Pool) IsEndAnnounced(id string) bool {
	u := p.upstreams[id]
	return u != nil && (u.declared.Draining || u.stated != nil && u.stated.leaving)
}

// RetryAfterBackpressure is the retry delay of a caller that is refused because of the backpressure of all upstreams: until
// the first of them takes requests again, after the turns of the callers that were refused before it. It is 0 if any
// upstream that may run the request may be sent requests as far as backpressure is concerned.
func (p *Pool) RetryAfterBackpressure(now time.Time, query Query) time.Duration {
	var ends time.Time
	for _, u := range p.upstreamsOf(query.Service) {
		if !p.mayRun(u, query) {
			continue
		}
		if !u.isUnderBackpressure(now) {
			return 0
		}
		if until := u.stated.backpressureUntil; ends.IsZero() || until.Before(ends) {
			ends = until
		}
	}
	if ends.IsZero() {
		return 0
	}
	stats := p.statsOf(query.Service)
	due := ends
	if due.Before(stats.nextAfterBackpressure) {
		due = stats.nextAfterBackpressure
	}
	if latest := ends.Add(maxBackpressureSpread); due.After(latest) {
		due = latest
	}
	stats.nextAfterBackpressure = due.Add(p.retryInterval(query))
	return max(due.Sub(now), minRetryAfter)
}

// maxBackpressureSpread bounds how much later than the first callers the last ones return.
const maxBackpressureSpread = 400 * time.Millisecond

// isUnderBackpressure reports whether an upstream wants no requests from this instance now.
func (u *upstream) isUnderBackpressure(now time.Time) bool {
	return u.stated != nil && now.Before(u.stated.backpressureUntil)
}

// statementOf returns the statement of a life, and creates it at the first call.
func (p *Pool) statementOf(now time.Time, of traffic.Life) *statement {
	p.prepare()
	s := p.statements[of]
	if s == nil {
		p.dropOldStatements(now)
		s = &statement{}
		p.statements[of] = s
		if u := p.upstreams[of.Upstream]; u != nil && u.declared.Life() == of {
			u.stated = s
		}
	}
	s.at = now
	return s
}

// dropOldStatements removes the old statements of upstreams that are not declared any more.
func (p *Pool) dropOldStatements(now time.Time) {
	for of, s := range p.statements {
		u := p.upstreams[of.Upstream]
		declared := u != nil && u.declared.Life() == of
		if !declared && now.Sub(s.at) > statementTTL {
			delete(p.statements, of)
		}
	}
}
