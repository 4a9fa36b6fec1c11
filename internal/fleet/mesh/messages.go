// Package mesh carries what instances tell each other: heartbeats, the store's changes, and requests to
// load adapters. It maps domain values to the wire and back, and keeps one connection to each peer.
package mesh

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// Part is what of a beat is told.
type Part string

// The parts.
const (
	// TellsAll: every field counts.
	TellsAll Part = ""
	// TellsLoads: Loads, in answer to which a holder tells Held and Residencies.
	TellsLoads Part = "loads"
	// TellsRevision: the revision and what confirms it.
	TellsRevision Part = "revision"
	// TellsSpent: what the sender has admitted.
	TellsSpent Part = "spent"
)

// Beat is a heartbeat.
type Beat struct {
	Instance    string
	Incarnation string
	// Address is where the instance talks to the others.
	Address  string
	Revision int64
	// ConfirmedAge is how long ago the store confirmed the revision as its newest; negative if not known.
	ConfirmedAge time.Duration
	Spent        quota.Spent
	// Loads is what the sender has under way, at upstreams of which the receiver is to know it.
	Loads map[string]pool.Load
	// Held is what all instances but the receiver have under way at the upstreams that the sender holds, and
	// Residencies what is loaded there.
	Held        map[string]pool.Load
	Residencies []pool.Residency
	Suspects    []suspect.Count
	Stopping    bool
	// Tells is what the beat tells besides who sends it.
	Tells Part
	// StoreAway: the instance does not reach the store.
	StoreAway bool
}

// PrepareRequest asks the holder of an upstream for an adapter, and for the turn to send a prompt there.
type PrepareRequest struct {
	Upstream string
	Adapter  traffic.Adapter
	// Version that has to be there at least; 0 for any.
	Version  int64
	Patience time.Duration
	// OnTime is how long the request can wait and still be on time.
	OnTime   time.Duration
	Priority int
	// Tokens is the length of the request's prompt, 0 if it needs no turn.
	Tokens int
}

// Prepared is the answer to a PrepareRequest: Loaded, NotHolder or Busy.
type Prepared interface{ isPrepared() }

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
	Exchange(beat Beat) Beat
	CatchUp(after int64) replica.Batch
	Prepare(ctx context.Context, request PrepareRequest) Prepared
}
