package pool

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/forecast"
)

// evidence.go has the instances learn together how long the engines of a service take.

// evidenceFor is how long counts what another instance has seen. One that is gone sends nothing new.
const evidenceFor = 30 * time.Second

// peerEvidence is what another instance has seen of the engines of a service.
type peerEvidence struct {
	at   time.Time
	seen forecast.Evidence
}

// Evidence is what this instance has seen of the engines of each service.
func (p *Pool) Evidence() map[string]forecast.Evidence {
	seen := make(map[string]forecast.Evidence)
	for service, known := range p.paces {
		if own := known.engine.LocalEvidence(); own.Answers > 0 {
			seen[service] = own
		}
	}
	return seen
}

// LearnEvidence takes note of what another instance has seen.
func (p *Pool) LearnEvidence(now time.Time, instance string, seen map[string]forecast.Evidence) {
	p.prepare()
	for service, evidence := range seen {
		known := p.pace(service)
		if known.peers == nil {
			known.peers = make(map[string]peerEvidence)
		}
		known.peers[instance] = peerEvidence{at: now, seen: evidence}
		known.poolEvidence(now)
	}
}

// poolEvidence has the forecasts go by what all instances have seen.
func (p *pace) poolEvidence(now time.Time) {
	var all forecast.Evidence
	for instance, peer := range p.peers {
		if now.Sub(peer.at) > evidenceFor {
			delete(p.peers, instance)
			continue
		}
		all = all.AddScaled(peer.seen, 1)
	}
	p.engine.SetPeerEvidence(all)
}
