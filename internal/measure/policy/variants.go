package policy

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/deployment"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
)

// variants.go lists what is compared: our policy with the settings of either deployment, and simple
// baselines that differ from it in one thing or a few.

// chooser is the way an instance chooses an upstream. It is sealed.
type chooser interface{ chooser() }

type (
	// routed is our route.
	routed struct{}
	// randomly takes any upstream.
	randomly struct{}
	// leastLoaded takes the upstream with the most free places or the shortest queue, whatever it
	// has loaded.
	leastLoaded struct{}
)

func (routed) chooser()      {}
func (randomly) chooser()    {}
func (leastLoaded) chooser() {}

// variant is one policy under measurement. splitRate gives each instance an even part of each
// workspace's rate; otherwise the rate is counted over all instances, as the admission packages do.
type variant struct {
	name      string
	policy    deployment.Policy
	chooser   chooser
	splitRate bool
}

// The names of the variants that the goals speak of.
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
		{name: nameBlueMountain, policy: deployment.BlueMountain(), chooser: routed{}},
		{name: nameHellenic, policy: deployment.Hellenic(), chooser: routed{}},
		{name: nameRandom, policy: leastRecentlyUsed(), chooser: randomly{}},
		{name: nameLeastLoaded, policy: leastRecentlyUsed(), chooser: leastLoaded{}},
		{name: nameLRU, policy: leastRecentlyUsed(), chooser: routed{}},
		{name: nameFIFO, policy: firstInFirstOut(), chooser: routed{}},
		{name: nameEvenSplit, policy: deployment.BlueMountain(), chooser: routed{}, splitRate: true},
	}
}

func isOurs(name string) bool { return name == nameBlueMountain || name == nameHellenic }

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

// rateBucket is a workspace's rate at one place: tokens that refill.
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

// newBuckets makes the buckets of all workspaces, each holding the given part of the rate.
func newBuckets(load Case, part float64) (buckets [workspaces]rateBucket) {
	for w := range buckets {
		// The expected cost is a quarter above the true one; the saturated case offers its load within
		// the rates, so that each refusal there is one of the placement.
		rate := ratePerSecond(load, w) * usualWork * 1.25 * overRate * part
		buckets[w] = rateBucket{rate: rate, burst: rate * burstTime, tokens: rate * burstTime}
	}
	return buckets
}
