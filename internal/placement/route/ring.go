package route

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// ring.go assigns each adapter version a home among the upstreams of a base model, the same at every instance. It uses
// consistent hashing with many points per upstream. Plain rendezvous hashing was considered: its cost grows with the
// number of upstreams, while the search on the ring grows with its logarithm.

// pointsPerUpstream is the number of points of one upstream. With 64 points the shares of the upstreams differ by
// about an eighth, which spilling evens out.
const pointsPerUpstream = 64

type point struct {
	hash     uint64
	upstream *upstream
}

type ring []point

func newRing(upstreams []*upstream) ring {
	points := make(ring, 0, len(upstreams)*pointsPerUpstream)
	for _, u := range upstreams {
		for i := range pointsPerUpstream {
			key := u.name() + "#" + strconv.Itoa(i)
			points = append(points, point{hash: xxhash.Sum64String(key), upstream: u})
		}
	}
	sort.Slice(points, func(i, j int) bool {
		if points[i].hash != points[j].hash {
			return points[i].hash < points[j].hash
		}
		return points[i].upstream.name() < points[j].upstream.name()
	})
	return points
}

// start returns the index of the first point for the version.
func (r ring) start(ref model.Reference) int {
	hash := xxhash.Sum64String(ref.Adapter)
	hash ^= xxhash.Sum64String(ref.Version) * 0x9e3779b97f4a7c15
	i := sort.Search(len(r), func(i int) bool { return r[i].hash >= hash })
	if i == len(r) {
		return 0
	}
	return i
}
