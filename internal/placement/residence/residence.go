// Package residence decides, for one upstream, which adapters are loaded and evicted and in which order.
// The instance that holds the upstream requests the next step, executes it and reports the outcome. The package
// does no I/O; the caller reads the clock and passes the time in.
//
// An upstream counts the orders that it has accepted, and each order carries the count it was made for as its sequence
// number. So an order whose response was lost, and that the upstream may execute seconds later, is void as soon as
// any other order was accepted: it can neither evict an adapter needed by then nor load more than fits.
package residence

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// Order loads or unloads an adapter, or a base model if the adapter has no name.
type Order struct {
	Unload  bool
	Adapter traffic.Adapter
	// Version to load; 0 for the newest.
	Version int64
	// Sequence is how many orders the upstream must have accepted before this one.
	Sequence int64
}

// Outcome is the result of an order.
type Outcome string

// The outcomes.
const (
	// Accepted: the order is being executed.
	Accepted Outcome = "accepted"
	// AlreadyDone: the upstream is already in the ordered state.
	AlreadyDone Outcome = "holds"
	// Conflict: the sequence number does not match, or another order is in progress.
	Conflict Outcome = "conflict"
	// Fenced: another holder has given orders with a higher fencing token.
	Fenced Outcome = "fenced"
	// OtherUpstream: the address now belongs to another upstream.
	OtherUpstream Outcome = "other_upstream"
	// Rejected: the upstream rejected the order as invalid.
	Rejected Outcome = "rejected"
	// NoAnswer: no response arrived; the order may have been accepted, or may still be.
	NoAnswer Outcome = "no_answer"
)

// Response is an upstream's response to an order. Leaving: the upstream takes no new requests, and will end.
type Response struct {
	Outcome Outcome
	Leaving bool
}

// Report lists what an upstream had loaded shortly before the report was requested.
type Report struct {
	// Leaving: the upstream takes no new requests, and will end.
	Leaving  bool
	Sequence int64
	Busy     bool
	Born     int64
	Models   []traffic.LoadedModel
	Pending  []Pending
}

// Pending is an adapter that the upstream is loading.
type Pending struct {
	Adapter traffic.Adapter
	Version int64
}

// Step is the next step: SendOrder, FetchReport or Idle.
type Step interface{ isStep() }

// SendOrder sends the order to the upstream.
type SendOrder struct{ Order Order }

// FetchReport fetches the upstream's report.
type FetchReport struct{}

// Idle waits until a time, or until a request waits for an adapter.
type Idle struct{ Until time.Time }

func (SendOrder) isStep()   {}
func (FetchReport) isStep() {}
func (Idle) isStep()        {}
