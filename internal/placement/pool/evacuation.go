package pool

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// evacuation.go excludes data centres that operators evacuate.

// SetEvacuated begins or ends the evacuation of a data centre. A name without upstreams applies to upstreams that
// are declared later.
func (p *Pool) SetEvacuated(now time.Time, dataCentre string, evacuated bool) {
	p.prepare()
	if evacuated {
		p.evacuated[dataCentre] = true
		return
	}
	if p.evacuated[dataCentre] {
		p.assumeCold(now, dataCentre)
	}
	delete(p.evacuated, dataCentre)
}

// AcceptsRequests reports whether an upstream takes new requests: it is not draining by its entry or leaving by its own
// statement, and its data centre is not evacuated.
func (p *Pool) AcceptsRequests(upstream traffic.Upstream) bool {
	s := p.statements[upstream.Life()]
	return !upstream.Draining && (s == nil || !s.leaving) && !p.evacuated[upstream.DataCentre]
}

// accepts is the same for an upstream that is declared, without a look-up of its statement: it is asked for each upstream
// at each choice.
func (p *Pool) accepts(u *upstream) bool {
	return !u.declared.Draining && (u.stated == nil || !u.stated.leaving) && !p.evacuated[u.declared.DataCentre]
}

// mayRun reports whether an upstream takes new requests and has the software that a request needs.
func (p *Pool) mayRun(u *upstream, query Query) bool {
	return p.accepts(u) && (query.Software == "" || u.declared.Software == query.Software)
}

// countRunnable counts the upstreams that may run a request.
func (p *Pool) countRunnable(query Query) (count int) {
	for _, u := range p.upstreamsOf(query.Service) {
		if p.mayRun(u, query) {
			count++
		}
	}
	return count
}
