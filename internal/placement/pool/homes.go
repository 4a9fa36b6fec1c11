package pool

import "github.com/cespare/xxhash/v2"

// homes.go ranks the upstreams for each adapter by rendezvous hashing. All instances get the same ranking without
// communication, so that an adapter is mostly loaded where it was before.

// rankedHomes bounds the ranking: after the first few upstreams the rank makes no difference.
const rankedHomes = 4

// homes are the upstreams that rank highest for an adapter, highest first.
type homes [rankedHomes]home

type home struct {
	upstream *upstream
	weight   uint64
}

// homes returns the upstreams that rank highest for the adapter of a query. Each choice in a fleet of hundreds of
// upstreams calls it, hence it computes one hash for each upstream and builds no list of all of them.
func (p *Pool) homes(query Query) (highest homes) {
	if query.Adapter.Name == "" {
		return highest
	}
	var adapter xxhash.Digest
	adapter.Reset()
	_, _ = adapter.WriteString(query.Adapter.String()) // never fails
	_, _ = adapter.WriteString("\x00")
	paced := p.StatesPace(query.Service)
	for _, u := range p.upstreamsOf(query.Service) {
		if !p.mayRun(u, query) {
			continue
		}
		weight := adapter
		_, _ = weight.WriteString(u.declared.ID)
		rank := weight.Sum64()
		if paced {
			rank = homeWeight(u, rank)
		}
		highest.insert(home{upstream: u, weight: rank})
	}
	return highest
}

// insert adds an upstream if it ranks high enough, and keeps the order.
func (h *homes) insert(next home) {
	for i := range h {
		if h[i].upstream == nil || next.weight > h[i].weight {
			h[i], next = next, h[i]
		}
		if next.upstream == nil {
			return
		}
	}
}

// rank is the number of upstreams that rank higher than a given one, at most rankedHomes.
func (h homes) rank(u *upstream) int {
	for i := range h {
		if h[i].upstream == u {
			return i
		}
	}
	return rankedHomes
}
