package pool

import "time"

// full.go learns how much the upstreams of a service take, from the requests that they refuse.

// fullFor is how long it counts that an upstream refused a request for want of room at a load.
const fullFor = time.Minute

// headroom is the part of what an upstream takes that is left to requests that are not known of yet. No place is left
// empty for it.
const headroom = 0.2

// isFull reports whether an upstream has nearly as much in flight, in terms of its places, as one of its service had when
// it refused a request for want of room.
func (p *Pool) isFull(now time.Time, u *upstream) bool {
	known := p.pace(u.declared.Service)
	most := max((1-headroom)*known.full, 1)
	return known.isFullKnown(now) && p.load(now, u).perPlace(u) >= most
}

// noteRefusal learns from a refusal for want of room how much an upstream takes, by what the upstream stated of its load
// or else if all that it had in flight was known. A late refusal means that the request timed out in the queue, not that
// the queue was full.
//
// What was known may be some milliseconds old. While several times what fits arrives at many instances, a good part of a
// queue comes in that time, and an upstream would count as full for seconds by what it had before.
func (p *Pool) noteRefusal(now time.Time, send *Send) {
	u := send.upstream
	known := p.pace(u.declared.Service)
	atOnce := now.Sub(send.began) < known.service.Latency(0)
	isStated := send.stated.Running > 0
	found := send.found
	if isStated {
		found = send.stated
	}
	if !atOnce || !isStated && !send.certain || found.Running < u.places() {
		return
	}
	full := found.perPlace(u)
	if isStated && full > known.full && known.isFullKnown(now) {
		return // upstreams may count requests that they are just refusing
	}
	known.full = full
	known.fullAt = now
}

// isFullKnown reports whether a request was refused lately for want of room.
func (p *pace) isFullKnown(now time.Time) bool { return p.full > 0 && now.Sub(p.fullAt) < fullFor }

// State takes note of how many requests, running or waiting, the upstream states in its answer.
func (s *Send) State(requests int) { s.stated = Load{Running: requests} }

// perPlace is the requests in flight in terms of an upstream's places.
func (l Load) perPlace(u *upstream) float64 { return float64(l.Running) / float64(u.places()) }
