// Package peer is how instances talk to each other: gRPC over TCP, with certificates where the
// settings give them. It maps the domain values of the deciding packages to the messages of
// proto/fleet.proto and back by hand, so that neither side knows the other. It decides nothing.
package peer

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/placement/broker"
	"lacewingrock.example/lacewingrock/internal/placement/holder"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
	"lacewingrock.example/lacewingrock/internal/report/burn"
)

// Heartbeat is a heartbeat, and equally the answer to one: what an instance knows. ConfirmedAge is how
// long ago a read of the store showed Revision as the newest, negative when unknown.
type Heartbeat struct {
	Instance     string
	Incarnation  string
	Revision     int64
	ConfirmedAge time.Duration
	InForceSince time.Time
	Upstreams    []holder.Summary
	Suspects     []suspect.Count
	Leaving      []string
	Stopping     bool
	Returns      []rate.LoanReturn
	// OldestRevision is the oldest head under which a reservation or loan still open was made.
	OldestRevision int64
	// InForceMembers has a bit for each member of the head of Revision: who is known to have it in force.
	InForceMembers []byte
}

// TokenRequest asks a peer for tokens of a workspace's share; the answer is a rate.Loan. Spare asks only
// for what the peer's bucket can hardly hold any longer.
type TokenRequest struct {
	Workspace string
	Tokens    float64
	Borrower  rate.Identity
	SpareOnly bool
}

// PlaceRequest asks the holder of Upstream to place a request; Request.Deadline travels as the time
// left, since clocks differ. Epoch is the newest the asker knows.
type PlaceRequest struct {
	Upstream string
	Epoch    int64
	Request  holder.Request
}

// Placement answers a PlaceRequest. It is sealed: Granted or Refused.
type Placement interface{ placement() }

type (
	// Granted lets the request run; Pin has to be released.
	Granted struct {
		Pin         string
		WaitedLoad  time.Duration
		WaitedQueue time.Duration
	}
	// Refused tells that the request was not placed and will not run.
	Refused struct {
		Reason     holder.Reason
		RetryAfter time.Duration
	}
)

func (Granted) placement() {}
func (Refused) placement() {}

// ReleaseRequest ends a pin at the holder of Upstream.
type ReleaseRequest struct {
	Upstream    string
	Instance    string
	Incarnation string
	Released    holder.Released
}

// PinList is what a member tells a new holder: all its pins on the upstream. Noted is false while the
// member has not installed the epoch; its list may then still grow.
type PinList struct {
	Instance       string
	Incarnation    string
	EpochInstalled bool
	Pins           []holder.Pin
}

// LoadPermit answers a broker.Asked. Replaced means that a newer ask for the same load took this one's
// place, and that the answer goes to that one.
type LoadPermit struct {
	Granted    bool
	Replaced   bool
	UseWithin  time.Duration
	RetryAfter time.Duration
}

// Handler serves what peers ask. Calls with a context may wait; the context ends when the asker has
// gone.
type Handler interface {
	Heartbeat(beat Heartbeat) Heartbeat
	LendTokens(request TokenRequest) rate.Loan
	Place(ctx context.Context, request PlaceRequest) Placement
	Release(request ReleaseRequest)
	Pins(upstream string, epoch int64) PinList
	PermitLoad(ctx context.Context, asked broker.PermitRequested) LoadPermit
	EndLoad(load broker.Load, unused bool)
	BurnCounts() []burn.Count
}
