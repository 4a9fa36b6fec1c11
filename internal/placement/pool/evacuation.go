package pool

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// evacuation.go keeps requests out of data centres that operators empty.

// SetEvacuated begins or ends the evacuation of a data centre. A name without upstreams is kept for those to come.
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

// IsOpen reports whether an upstream takes new requests: it does not drain, and its data centre is not evacuated.
func (p *Pool) IsOpen(upstream traffic.Upstream) bool {
	return !upstream.Draining && !p.evacuated[upstream.DataCentre]
}

// openIn counts the upstreams of a service that take new requests.
func (p *Pool) openIn(service string) (count int) {
	for _, u := range p.servingFor(service) {
		if p.IsOpen(u.declared) {
			count++
		}
	}
	return count
}
