package holder

import "time"

// Eviction is the rule by which a version is chosen to make room. It is sealed.
type Eviction interface{ eviction() }

type (
	// ByDemand evicts the version with the least recent demand: a count of its requests that halves
	// every HalfLife.
	ByDemand struct{ HalfLife time.Duration }
	// LeastRecentlyUsed evicts the version whose last use is the longest ago: the measurements'
	// baseline.
	LeastRecentlyUsed struct{}
)

func (ByDemand) eviction()          {}
func (LeastRecentlyUsed) eviction() {}

// Settings of a holder; New values come from DefaultSettings.
type Settings struct {
	// Eviction chooses what makes room for a load.
	Eviction Eviction
	// FirstInFirstOut turns fairness between workspaces off: the measurements' baseline.
	FirstInFirstOut bool
	// LongestBacklog bounds the queue by the time its work will take on this upstream.
	LongestBacklog time.Duration
	// LongestQueue bounds the queue's length, and with it the memory and the cost of a decision.
	LongestQueue int
	// ExpectedLoad is how long a load is expected to take until measured.
	ExpectedLoad time.Duration
	// LongestOrder is the longest an order may take; the daemon gives up on it after that. A new
	// holder of an upstream that ignores fencing waits that long before its first order.
	LongestOrder time.Duration
	// TokenTime is how long one token of a request is expected to occupy a batch place until measured.
	TokenTime time.Duration
}

// DefaultSettings for today's sizes.
func DefaultSettings() Settings {
	return Settings{
		Eviction:       ByDemand{HalfLife: 2 * time.Minute},
		LongestBacklog: 20 * time.Second,
		LongestQueue:   256,
		ExpectedLoad:   250 * time.Millisecond,
		LongestOrder:   5 * time.Second,
		TokenTime:      20 * time.Millisecond,
	}
}
