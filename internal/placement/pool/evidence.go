package pool

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/forecast"
)

// evidence.go combines the evidence of all instances about the response times of a service's engines.

// evidenceTTL is how long the evidence of another instance counts. An instance that is gone sends no new evidence.
const evidenceTTL = 30 * time.Second

// peerEvidence is the evidence of another instance about the engines of a service.
type peerEvidence struct {
	at   time.Time
	seen forecast.Evidence
}

// Evidence returns the evidence of this instance about the engines of each service.
func (p *Pool) Evidence() map[string]forecast.Evidence {
	seen := make(map[string]forecast.Evidence)
	for service, stats := range p.stats {
		if own := stats.engine.LocalEvidence(); own.Answers > 0 {
			seen[service] = own
		}
	}
	return seen
}

// RecordPeerEvidence records the evidence of another instance.
func (p *Pool) RecordPeerEvidence(now time.Time, instance string, seen map[string]forecast.Evidence) {
	p.prepare()
	for service, evidence := range seen {
		stats := p.statsOf(service)
		if stats.peers == nil {
			stats.peers = make(map[string]peerEvidence)
		}
		stats.peers[instance] = peerEvidence{at: now, seen: evidence}
		stats.mergePeerEvidence(now)
	}
}

// mergePeerEvidence updates the forecasts with the evidence of all other instances.
func (s *serviceStats) mergePeerEvidence(now time.Time) {
	var all forecast.Evidence
	for instance, peer := range s.peers {
		if now.Sub(peer.at) > evidenceTTL {
			delete(s.peers, instance)
			continue
		}
		all = all.AddScaled(peer.seen, 1)
	}
	s.engine.SetPeerEvidence(all)
}
