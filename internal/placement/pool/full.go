package pool

import "time"

// full.go learns how much the upstreams of a service take, from the requests that they refuse.

// fullFor is how long it counts that an upstream refused a request for want of room at a load.
const fullFor = 10 * time.Second

// isFull reports whether an upstream has as much in flight, in terms of its places, as one of its service had when it
// refused a request for want of room.
func (p *Pool) isFull(now time.Time, u *upstream) bool {
	known := p.pace(u.declared.Service)
	return known.full > 0 && now.Sub(known.fullAt) < fullFor && p.load(now, u).perPlace(u) >= known.full
}

// noteRefusal learns from a refusal for want of room how much an upstream takes, if all that it had in flight was known.
// A late refusal means that the request timed out in the queue, not that the queue was full.
func (p *Pool) noteRefusal(now time.Time, send *Send) {
	u := send.upstream
	known := p.pace(u.declared.Service)
	atOnce := now.Sub(send.began) < known.service.Answer(0)
	if !send.certain || !atOnce || send.found.Running < u.places() {
		return
	}
	known.full = send.found.perPlace(u)
	known.fullAt = now
}

// perPlace is the requests in flight in terms of an upstream's places.
func (l Load) perPlace(u *upstream) float64 { return float64(l.Running) / float64(u.places()) }
