package route

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// ring.go gives each adapter version its home among the upstreams of a base model, the same at every
// instance: consistent hashing with many points for each upstream. Plain rendezvous hashing was weighed:
// its cost grows with the number of upstreams, where the ring's search grows with its logarithm.

// pointsEach is the number of points of one upstream: with 64, the shares of the upstreams differ by an
// eighth or so, which spilling evens out.
const pointsEach = 64

type point struct {
	hash uint64
	at   *upstream
}

type ring []point

func newRing(upstreams []*upstream) ring {
	points := make(ring, 0, len(upstreams)*pointsEach)
	for _, u := range upstreams {
		for i := range pointsEach {
			key := u.name() + "#" + strconv.Itoa(i)
			points = append(points, point{hash: xxhash.Sum64String(key), at: u})
		}
	}
	sort.Slice(points, func(i, j int) bool {
		if points[i].hash != points[j].hash {
			return points[i].hash < points[j].hash
		}
		return points[i].at.name() < points[j].at.name()
	})
	return points
}

// start is where the walk for the version begins.
func (r ring) start(ref model.Reference) int {
	hash := xxhash.Sum64String(ref.Adapter)
	hash ^= xxhash.Sum64String(ref.Version) * 0x9e3779b97f4a7c15
	i := sort.Search(len(r), func(i int) bool { return r[i].hash >= hash })
	if i == len(r) {
		return 0
	}
	return i
}
