// Package broker gives out the fleet's budget of loads from the weight store, which allows about two
// a second and takes longer for each beyond eight in flight. One member of the fleet runs it. It
// decides without sockets; the caller reads the runtime's clock and passes the time in, so that the
// measuring program can drive the same code on a simulated clock.
package broker

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/model"
)

// Load identifies one load: an adapter version onto an upstream.
type Load struct {
	Upstream string
	Model    model.Reference
}

// Event is a fact told to the broker. It is sealed.
type Event interface{ event() }

type (
	// Asked tells that a holder wants a permit. Demand is the waiting tokens, Waited the longest wait among the
	// waiting, Patience the time until the last of them gives up, Workspace the longest waiting one's.
	// Asking again replaces the earlier ask.
	Asked struct {
		Load      Load
		Workspace string
		Demand    float64
		Waited    time.Duration
		Patience  time.Duration
	}
	// Withdrawn tells that the holder wants the permit no more, or gives it back unused.
	Withdrawn struct{ Load Load }
	// Ended tells that the load is done, has failed or is wanted no more, whether it was asked for or
	// permitted. Without it the permit lapses by itself.
	Ended struct{ Load Load }
	// Tick lets time pass; send one at least every 50 milliseconds.
	Tick struct{}
)

func (Asked) event()     {}
func (Withdrawn) event() {}
func (Ended) event()     {}
func (Tick) event()      {}

// Action is an answer to a holder. It is sealed.
type Action interface{ action() }

type (
	// Permit tells that the load may be ordered within UseWithin.
	Permit struct {
		Load      Load
		UseWithin time.Duration
	}
	// Refuse tells that the permit cannot come in time; ask again after RetryAfter.
	Refuse struct {
		Load       Load
		RetryAfter time.Duration
	}
)

func (Permit) action() {}
func (Refuse) action() {}

// Settings of a Broker.
type Settings struct {
	// Rate is the loads a second that the weight store allows the whole fleet.
	Rate float64
	// InFlight is how many loads may run at once before each takes longer.
	InFlight int
	// UseWithin is how long a permit may be used.
	UseWithin time.Duration
	// Lapse is how long a permit counts as in flight when its end is not told.
	Lapse time.Duration
}

// DefaultSettings are what the weight store allows today.
func DefaultSettings() Settings {
	return Settings{Rate: 2, InFlight: 8, UseWithin: time.Second, Lapse: 3 * time.Second}
}
