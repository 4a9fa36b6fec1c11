// Package residence decides, for one upstream, which adapters are loaded and evicted and in which order.
// The instance that holds the upstream asks it for the next step, carries that out and tells the outcome.
// It decides without sockets; the caller reads the runtime's clock and passes the time in.
//
// An upstream counts the orders that it has accepted, and each order states the count it is made for. So
// an order whose answer was lost, and that the upstream may carry out seconds later, is void as soon as
// any other order was accepted: it can neither evict what is needed by then nor load more than fits.
package residence

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// Order is to load an adapter (or a base model, where the adapter has no name), or to unload it.
type Order struct {
	Unload  bool
	Adapter traffic.Adapter
	// Version to load; 0 for the newest.
	Version int64
	// Sequence is how many orders the upstream must have accepted before.
	Sequence int64
}

// Outcome of an order.
type Outcome string

// The outcomes.
const (
	// Accepted: it is being carried out.
	Accepted Outcome = "accepted"
	// Holds: what was ordered is so already.
	Holds Outcome = "holds"
	// Conflict: another count of orders, or another order is under way.
	Conflict Outcome = "conflict"
	// Fenced: another holder has given orders under a later fence.
	Fenced Outcome = "fenced"
	// OtherUpstream: another upstream has the address now.
	OtherUpstream Outcome = "other_upstream"
	// Rejected: the upstream does not understand the order.
	Rejected Outcome = "rejected"
	// NoAnswer: it may have been accepted, or may still be.
	NoAnswer Outcome = "no_answer"
)

// Report is what an upstream had loaded a moment before it was asked.
type Report struct {
	Sequence int64
	Busy     bool
	Born     int64
	Models   []traffic.LoadedModel
	Pending  []Pending
}

// Pending is an adapter on its way to the upstream.
type Pending struct {
	Adapter traffic.Adapter
	Version int64
}

// Step is what to do next: Give, Inspect or Rest.
type Step interface{ isStep() }

// Give an order.
type Give struct{ Order Order }

// Inspect the upstream's report.
type Inspect struct{}

// Rest until a time, or until something is wanted.
type Rest struct{ Until time.Time }

func (Give) isStep()    {}
func (Inspect) isStep() {}
func (Rest) isStep()    {}
