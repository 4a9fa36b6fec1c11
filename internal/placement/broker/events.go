// Package broker rate-limits the fleet's loads from the weight store, which allows about two loads a second and
// slows down with more than eight in flight. One member of the fleet runs the broker. The package does no I/O; the
// caller reads the clock and passes the time in, so that the measuring program can run the same code on a simulated
// clock.
package broker

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// Load identifies one load: an adapter version to be loaded by an upstream.
type Load struct {
	Upstream string
	Model    model.Reference
}

// Event is an input of the broker. It is sealed.
type Event interface{ event() }

type (
	// PermitRequested is a holder's request for a permit. Demand is the number of waiting tokens, Waited the longest wait
	// among the waiting requests, Patience the time until the last of them gives up, and Workspace the workspace
	// of the one that has waited longest. A repeated request replaces the earlier one.
	PermitRequested struct {
		Load      Load
		Workspace string
		Demand    float64
		Waited    time.Duration
		Patience  time.Duration
	}
	// Withdrawn cancels a permit request, or returns an unused permit.
	Withdrawn struct{ Load Load }
	// LoadEnded reports that the load has finished, failed or is no longer needed, whether a permit was only requested
	// or already granted. Without it the permit expires after Settings.InFlightTimeout.
	LoadEnded struct{ Load Load }
	// Tick triggers time-dependent decisions; send one at least every 50 milliseconds.
	Tick struct{}
)

func (PermitRequested) event() {}
func (Withdrawn) event()       {}
func (LoadEnded) event()       {}
func (Tick) event()            {}

// Action is an answer to a holder. It is sealed.
type Action interface{ action() }

type (
	// Permit allows the load to be ordered within UseWithin.
	Permit struct {
		Load      Load
		UseWithin time.Duration
	}
	// Refuse reports that a permit cannot be granted in time; request it again after RetryAfter.
	Refuse struct {
		Load       Load
		RetryAfter time.Duration
	}
)

func (Permit) action() {}
func (Refuse) action() {}

// Settings configure a Broker.
type Settings struct {
	// Rate is how many loads a second the weight store allows for the whole fleet.
	Rate float64
	// InFlight is the limit on concurrent loads; beyond it each load takes longer.
	InFlight int
	// UseWithin is how long a permit is valid.
	UseWithin time.Duration
	// InFlightTimeout is how long a granted load counts as in flight if its end is not reported.
	InFlightTimeout time.Duration
}

// DefaultSettings returns the current limits of the weight store.
func DefaultSettings() Settings {
	return Settings{Rate: 2, InFlight: 8, UseWithin: time.Second, InFlightTimeout: 3 * time.Second}
}
