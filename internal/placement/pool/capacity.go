package pool

import "time"

// capacity.go estimates the capacity of a service's upstreams from the requests that they refuse.

// capacityTTL is how long a capacity estimate counts after the refusal that gave it.
const capacityTTL = time.Minute

// headroom is the fraction of an upstream's capacity that is left for requests that are not known yet. No slot is
// left empty for it.
const headroom = 0.2

// isFull reports whether an upstream has nearly as many requests in flight, per slot, as an upstream of its service
// had when it refused a request for lack of capacity. Brittle upstreams get no more than they state to run at once.
func (p *Pool) isFull(now time.Time, u *upstream) bool {
	if brittle := p.Brittleness(now, u.declared.Service); brittle.Brittle {
		return p.isBrittleFull(now, u, brittle)
	}
	stats := p.statsOf(u.declared.Service)
	limit := max((1-headroom)*stats.capacity, 1)
	return stats.isCapacityKnown(now) && p.load(now, u).perSlot(u) >= limit
}

// recordRefusal estimates the capacity of an upstream from a refusal for lack of capacity. It uses the load that
// the upstream stated, or else the known load if that was up to date. A late refusal means that the request timed
// out in the queue, not that the queue was full.
//
// The known load may be some milliseconds old. While several times the capacity arrives at many instances, a good
// part of a queue arrives in that time. An estimate from the load before that would make the upstream count as full
// for seconds.
func (p *Pool) recordRefusal(now time.Time, attempt *Attempt) {
	u := attempt.upstream
	stats := p.statsOf(u.declared.Service)
	immediate := now.Sub(attempt.began) < stats.service.Latency(0)
	isStated := attempt.stated.Running > 0
	found := attempt.found
	if isStated {
		found = attempt.stated
	}
	if !immediate || !isStated && !attempt.isFresh || found.Running < u.slots() {
		return
	}
	capacity := found.perSlot(u)
	if isStated && capacity > stats.capacity && stats.isCapacityKnown(now) {
		return // the stated load may include requests that are being refused
	}
	stats.capacity = capacity
	stats.capacityAt = now
}

// isCapacityKnown reports whether a recent refusal gave an estimate of the capacity.
func (s *serviceStats) isCapacityKnown(now time.Time) bool {
	return s.capacity > 0 && now.Sub(s.capacityAt) < capacityTTL
}

// RecordStatedLoad records how many requests, running or waiting, the upstream states in its response.
func (a *Attempt) RecordStatedLoad(requests int) { a.stated = Load{Running: requests} }

// perSlot is the number of requests in flight per slot of an upstream.
func (l Load) perSlot(u *upstream) float64 { return float64(l.Running) / float64(u.slots()) }
