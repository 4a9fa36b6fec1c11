package pool

import "github.com/cespare/xxhash/v2"

// homes.go ranks upstreams by how near they are to an adapter's home. All instances rank them alike without a
// word between them, by rendezvous hashing, so that an adapter is mostly loaded where it was before.

// homesKept bounds the rank: past some upstreams one is as good as another.
const homesKept = 4

// homes are the upstreams that are nearest to an adapter's home, nearest first.
type homes [homesKept]home

type home struct {
	upstream *upstream
	weight   uint64
}

// homes finds the upstreams that are nearest to the home of a query's adapter. Each choice in a fleet of hundreds
// of upstreams does so, hence one hash for each of them and no list of them all.
func (p *Pool) homes(query Query) (nearest homes) {
	if query.Adapter.Name == "" {
		return nearest
	}
	var adapter xxhash.Digest
	adapter.Reset()
	_, _ = adapter.WriteString(query.Adapter.String()) // never fails
	_, _ = adapter.WriteString("\x00")
	for _, u := range p.servingFor(query.Service) {
		if !p.IsOpen(u.declared) {
			continue
		}
		weight := adapter
		_, _ = weight.WriteString(u.declared.ID)
		nearest.insert(home{upstream: u, weight: weight.Sum64()})
	}
	return nearest
}

// insert keeps the nearest in order.
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

// nearer is how many upstreams are nearer than a given one, at most homesKept.
func (h homes) nearer(u *upstream) int {
	for i := range h {
		if h[i].upstream == u {
			return i
		}
	}
	return homesKept
}
