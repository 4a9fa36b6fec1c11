// Package peer is the client and server of the Fleet service between instances: gRPC over TCP, with mutual TLS if the
// settings name certificates. It converts the values of the domain packages to the messages of proto/fleet.proto and back
// by hand, so that neither depends on the other. It makes no decisions.
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

// Heartbeat is the state that an instance reports to its peers; the reply to a heartbeat is another one. ConfirmedAge
// is the time since a read of the store showed Revision as the newest; negative if unknown.
type Heartbeat struct {
	Instance     string
	Incarnation  string
	Revision     int64
	ConfirmedAge time.Duration
	InForceSince time.Time
	Upstreams    []holder.Summary
	Suspects     []suspect.Record
	Leaving      []string
	Stopping     bool
	Returns      []rate.LoanReturn
	// OldestRevision is the oldest head under which a reservation or loan that is still open was made.
	OldestRevision int64
	// InForceMembers is a bitmap over the members of the head of Revision: set for the members known to have it in force.
	InForceMembers []byte
}

// TokenRequest requests tokens from a peer's share of a workspace's rate; the response is a rate.Loan. With SpareOnly set,
// the peer lends only tokens above the level at which its token bucket nearly overflows.
type TokenRequest struct {
	Workspace string
	Tokens    float64
	Borrower  rate.Identity
	SpareOnly bool
}

// PlaceRequest requests a batch slot from the holder of Upstream. Request.Deadline is sent as the remaining time,
// because the clocks of instances differ. Epoch is the newest epoch that the caller knows.
type PlaceRequest struct {
	Upstream string
	Epoch    int64
	Request  holder.Request
}

// Placement is the response to a PlaceRequest. It is sealed: Granted or Refused.
type Placement interface{ placement() }

type (
	// Granted allows the request to run. Pin has to be released.
	Granted struct {
		Pin         string
		WaitedLoad  time.Duration
		WaitedQueue time.Duration
	}
	// Refused means that the request was not placed and will not run.
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

// PinList lists all pins of a member on an upstream, for the upstream's new holder. EpochInstalled is false until the
// member has installed the epoch; until then the list may still grow.
type PinList struct {
	Instance       string
	Incarnation    string
	EpochInstalled bool
	Pins           []holder.Pin
}

// LoadPermit is the response to a request for a load permit. Replaced means that a newer request for the same load
// superseded this one and receives the decision.
type LoadPermit struct {
	Granted    bool
	Replaced   bool
	UseWithin  time.Duration
	RetryAfter time.Duration
}

// Handler handles calls from peers. Calls with a context may block; the context ends when the caller disconnects.
type Handler interface {
	Heartbeat(heartbeat Heartbeat) Heartbeat
	LendTokens(request TokenRequest) rate.Loan
	Place(ctx context.Context, request PlaceRequest) Placement
	Release(request ReleaseRequest)
	Pins(upstream string, epoch int64) PinList
	PermitLoad(ctx context.Context, request broker.PermitRequested) LoadPermit
	EndLoad(load broker.Load, unused bool)
	BurnCounts() []burn.Count
}
