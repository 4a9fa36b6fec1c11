package holder

import "time"

// Eviction is the policy that selects the version to evict. It is sealed.
type Eviction interface{ eviction() }

type (
	// ByDemand evicts the version with the lowest recent demand: a count of its requests that halves
	// every HalfLife.
	ByDemand struct{ HalfLife time.Duration }
	// LeastRecentlyUsed evicts the least recently used version. It is the baseline for measurements.
	LeastRecentlyUsed struct{}
)

func (ByDemand) eviction()          {}
func (LeastRecentlyUsed) eviction() {}

// Settings configure a holder; DefaultSettings returns the defaults.
type Settings struct {
	// Eviction selects the version that is evicted for a load.
	Eviction Eviction
	// FirstInFirstOut disables fairness between workspaces. It is the baseline for measurements.
	FirstInFirstOut bool
	// MaxBacklog limits the queue by the time that its work takes on this upstream.
	MaxBacklog time.Duration
	// MaxQueueLength limits the queue's length, and with it the memory and the cost of a decision.
	MaxQueueLength int
	// ExpectedLoad is the estimated load time until one was measured.
	ExpectedLoad time.Duration
	// OrderTimeout is the timeout of an order, after which the daemon gives up on it. A new holder of an upstream
	// that ignores fencing waits that long before its first order.
	OrderTimeout time.Duration
	// TokenTime is the estimated time that one token of a request occupies a batch slot, until it was measured.
	TokenTime time.Duration
}

// DefaultSettings returns settings for the current deployment sizes.
func DefaultSettings() Settings {
	return Settings{
		Eviction:       ByDemand{HalfLife: 2 * time.Minute},
		MaxBacklog:     20 * time.Second,
		MaxQueueLength: 256,
		ExpectedLoad:   250 * time.Millisecond,
		OrderTimeout:   5 * time.Second,
		TokenTime:      20 * time.Millisecond,
	}
}
