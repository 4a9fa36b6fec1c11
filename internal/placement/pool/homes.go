package pool

import (
	"github.com/cespare/xxhash/v2"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// homes.go ranks the upstreams for each adapter by rendezvous hashing. All instances get the same ranking without
// communication, so that an adapter is mostly loaded where it was before.

// rankedHomes bounds the ranking: after the first few upstreams the rank makes no difference.
const rankedHomes = 4

// homes are the upstreams that rank highest for an adapter, highest first.
type homes struct {
	highest [rankedHomes]home
	// replicas are the homes of a popular adapter that needs more replicas than that, nil for another one.
	replicas *replicaHomes
}

type home struct {
	upstream *upstream
	weight   uint64
}

// homes returns the upstreams that rank highest for the adapter of a query. Each choice in a fleet of hundreds of
// upstreams calls it, hence it computes one hash for each upstream and builds no list of all of them.
func (p *Pool) homes(query Query) (ranking homes) {
	if query.Adapter.Name == "" {
		return ranking
	}
	if ranking.replicas = p.replicaHomesOf(query); ranking.replicas != nil {
		return ranking
	}
	adapter := homeHash(query.Adapter)
	paced := p.StatesPace(query.Service)
	for _, u := range p.upstreamsOf(query.Service) {
		if !p.mayRun(u, query) {
			continue
		}
		ranking.insert(home{upstream: u, weight: homeWeight(&adapter, u, paced)})
	}
	return ranking
}

// homeHash begins the hash of an adapter and an upstream.
func homeHash(adapter traffic.Adapter) (hash xxhash.Digest) {
	hash.Reset()
	_, _ = hash.WriteString(adapter.String()) // never fails
	_, _ = hash.WriteString("\x00")
	return hash
}

// homeWeight is the weight by which an upstream is ranked for the adapter of a hash. paced: the upstreams of the
// service state their pace.
func homeWeight(adapter *xxhash.Digest, u *upstream, paced bool) uint64 {
	weight := *adapter
	_, _ = weight.WriteString(u.declared.ID)
	if !paced {
		return weight.Sum64()
	}
	return u.pacedWeight(weight.Sum64())
}

// insert adds an upstream if it ranks high enough, and keeps the order.
func (h *homes) insert(next home) {
	for i := range h.highest {
		if h.highest[i].upstream == nil || next.weight > h.highest[i].weight {
			h.highest[i], next = next, h.highest[i]
		}
		if next.upstream == nil {
			return
		}
	}
}

// rank is the number of upstreams that rank higher than a given one, at most rankedHomes. The homes of the replicas
// that a popular adapter needs all rank first.
func (h homes) rank(u *upstream) int {
	if h.replicas != nil {
		return h.replicas.rank(u)
	}
	for i := range h.highest {
		if h.highest[i].upstream == u {
			return i
		}
	}
	return rankedHomes
}
