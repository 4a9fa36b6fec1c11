// Package mesh carries what instances send each other: their states, loads at upstreams, the store's changes, and
// requests to load adapters. It maps domain values to the wire and back.
package mesh

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/gossip"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/forecast"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// Message is what goes over a link between two instances.
type Message struct {
	// Instance, Address and Attached say who sends; only in the first message of a link. Attached: the receiver passes
	// on what concerns the sender.
	Instance string
	Address  string
	Attached bool
	// Revision of the sender's copy of the store, and ConfirmedAge, how long ago the store confirmed it as its newest;
	// negative if not known.
	Revision     int64
	ConfirmedAge time.Duration
	// UrgentRevision is the revision of the last change that the sender knows and that all have to know at once.
	UrgentRevision int64
	Stamp          gossip.Stamp
	Records        []gossip.Record
}

// State is what each instance lets all others know of itself.
type State struct {
	Incarnation string
	// Address is where the instance talks to the others.
	Address          string
	StoreUnreachable bool
	Spent            quota.Totals
	// Loads is what the instance has in flight at upstreams without a holder.
	Loads    map[string]pool.Load
	Suspects []suspect.Count
	// Evidence is what the instance has seen of the engines of each service.
	Evidence map[string]forecast.Evidence
}

// LoadReport is what an instance has in flight at the upstreams that the receiver holds.
type LoadReport struct {
	Instance string
	Loads    map[string]pool.Load
}

// HeldReport is what is in flight at the upstreams that the sender holds, and what is loaded there. As a part of the
// sender's state it counts all instances, in answer to a report all but the receiver.
type HeldReport struct {
	Loads       map[string]pool.Load
	Residencies []pool.Residency
}

// Stream is one end of a link. Each side is used by one goroutine at a time.
type Stream interface {
	Send(message Message) error
	// Receive waits for the next message; the error is io.EOF after the last one.
	Receive() (Message, error)
}

// PrepareRequest asks the holder of an upstream for an adapter, and for the turn to send a prompt there.
type PrepareRequest struct {
	Upstream string
	Adapter  traffic.Adapter
	// Version that has to be there at least; 0 for any.
	Version int64
	MaxWait time.Duration
	// OnTime is how long the request can wait and still be on time.
	OnTime   time.Duration
	Priority int
	// Tokens is the length of the request's prompt, 0 if it needs no turn.
	Tokens int
}

// PrepareResult is the answer to a PrepareRequest: Loaded, NotHolder or Busy.
type PrepareResult interface{ isPrepared() }

// Loaded says that the adapter is there, and that the prompt may be sent.
type Loaded struct{ Version int64 }

// NotHolder says that the receiver does not order at the upstream.
type NotHolder struct{}

// Busy says that no place, or no turn, comes in time.
type Busy struct{ RetryAfter time.Duration }

func (Loaded) isPrepared()    {}
func (NotHolder) isPrepared() {}
func (Busy) isPrepared()      {}

// Handler answers the peers' calls.
type Handler interface {
	// Gossip serves a link that a peer has opened, until it breaks or the handler has enough of it.
	Gossip(ctx context.Context, stream Stream) error
	Report(report LoadReport) HeldReport
	CatchUp(after int64) replica.Batch
	Prepare(ctx context.Context, request PrepareRequest) PrepareResult
}
