package pool

import "time"

// seldom.go leaves the last room of upstreams that are nearly full to routes on which few requests come.

const (
	// roomForSeldom is the part of what an upstream takes that is left to requests on seldom routes.
	roomForSeldom = 0.2
	// seldomShare is the part of a service's requests up to which the requests on one route count as seldom.
	seldomShare = 0.05
	// demandWindow is for how long requests count towards that, at least, and at most for twice that.
	demandWindow = 10 * time.Second
)

// demand counts the requests for one service by their routes, in the current window and the one before.
type demand struct {
	began           time.Time
	current, before map[string]int
	asked, earlier  int
}

// Asked takes note of a request that has come for a service.
func (p *Pool) Asked(now time.Time, service, route string) {
	p.prepare()
	d := &p.pace(service).demand
	if now.Sub(d.began) >= demandWindow {
		d.before, d.earlier = d.current, d.asked
		if now.Sub(d.began) >= 2*demandWindow {
			d.before, d.earlier = nil, 0
		}
		d.current, d.asked = make(map[string]int), 0
		d.began = now
	}
	d.current[route]++
	d.asked++
}

// isSeldom reports whether few of a service's requests come on a route.
//
// Made for a service that gets several times what it can do. Which requests find room is chance, and a route with a few
// requests, such as one that was just added, may look as if it was not there at all. Those few take next to nothing from
// the others.
func (d *demand) isSeldom(route string) bool {
	count := d.current[route] + d.before[route]
	return count > 0 && float64(count-1) <= seldomShare*float64(d.asked+d.earlier)
}
