package policy

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/deployment"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
)

// variants.go lists the policies compared: the project's policy with the settings of each deployment, and simple
// baselines that differ from it in one or a few respects.

// chooser selects how an instance chooses an upstream. It is a sealed interface.
type chooser interface{ chooser() }

type (
	// routerChooser chooses with the project's router.
	routerChooser struct{}
	// randomChooser chooses an upstream at random.
	randomChooser struct{}
	// leastLoadedChooser chooses the upstream with the most free batch slots or the shortest queue,
	// whatever it has loaded.
	leastLoadedChooser struct{}
)

func (routerChooser) chooser()      {}
func (randomChooser) chooser()      {}
func (leastLoadedChooser) chooser() {}

// variant is one policy to measure. splitRate gives each instance an equal part of each workspace's rate limit;
// otherwise the limit applies to all instances together, as in the admission packages.
type variant struct {
	name      string
	policy    deployment.Policy
	chooser   chooser
	splitRate bool
}

// The names of the variants.
const (
	nameBlueMountain = "blue-mountain"
	nameHellenic     = "hellenic"
	nameRandom       = "random"
	nameLeastLoaded  = "least-loaded"
	nameLRU          = "lru"
	nameFIFO         = "fifo"
	nameEvenSplit    = "even-split"
)

func variants() []variant {
	return []variant{
		{name: nameBlueMountain, policy: deployment.BlueMountain(), chooser: routerChooser{}},
		{name: nameHellenic, policy: deployment.Hellenic(), chooser: routerChooser{}},
		{name: nameRandom, policy: leastRecentlyUsed(), chooser: randomChooser{}},
		{name: nameLeastLoaded, policy: leastRecentlyUsed(), chooser: leastLoadedChooser{}},
		{name: nameLRU, policy: leastRecentlyUsed(), chooser: routerChooser{}},
		{name: nameFIFO, policy: firstInFirstOut(), chooser: routerChooser{}},
		{name: nameEvenSplit, policy: deployment.BlueMountain(), chooser: routerChooser{}, splitRate: true},
	}
}

func isOwnPolicy(name string) bool { return name == nameBlueMountain || name == nameHellenic }

func leastRecentlyUsed() deployment.Policy {
	p := deployment.BlueMountain()
	p.Holder.Eviction = holder.LeastRecentlyUsed{}
	return p
}

func firstInFirstOut() deployment.Policy {
	p := deployment.BlueMountain()
	p.Holder.FirstInFirstOut = true
	return p
}

// ---------------------------------------------------------------------------------------------

// rateBucket is a token bucket for a workspace's rate limit, of one instance or of the fleet.
type rateBucket struct {
	rate, burst, tokens float64
	at                  time.Duration
}

func (b *rateBucket) take(at time.Duration, cost float64) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(at-b.at).Seconds())
	b.at = at
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}

// newBuckets makes the token buckets of all workspaces, each with the given part of the rate limit.
func newBuckets(load Case, part float64) (buckets [workspaces]rateBucket) {
	for w := range buckets {
		// The expected cost is on average a quarter above the actual one. The saturated case offers its
		// load within the rate limits, so that each refusal there is caused by placement.
		rate := ratePerSecond(load, w) * meanTokens * 1.25 * rateOversubscription * part
		buckets[w] = rateBucket{rate: rate, burst: rate * burstSeconds, tokens: rate * burstSeconds}
	}
	return buckets
}
