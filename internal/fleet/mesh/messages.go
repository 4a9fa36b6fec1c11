// Package mesh is the protocol between instances: gossip of their states, load reports to the holders of upstreams,
// replication of the store's changes, and requests to load adapters. It converts domain values to wire messages and
// back.
package mesh

import (
	"context"
	"net"
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/gossip"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/forecast"
	"lacewingrock.example/lacewingrock/internal/placement/origin"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// Message is a gossip message over a link between two instances.
type Message struct {
	// Instance, Address and Attached describe the sender; they are set in the first message of a link only. Attached
	// means that the receiver is the sender's relay.
	Instance string
	Address  string
	Attached bool
	// Revision is the revision of the sender's copy of the store. ConfirmedAge is the time since the store confirmed it
	// as the newest; negative if unknown.
	Revision     int64
	ConfirmedAge time.Duration
	// UrgentRevision is the revision of the last urgent change in the sender's copy: one that all instances need
	// immediately.
	UrgentRevision int64
	Stamp          gossip.Stamp
	Records        []gossip.Record
}

// State is the general record that each instance publishes to all others.
type State struct {
	Incarnation string
	// Address is the instance's address for calls from peers.
	Address          string
	StoreUnreachable bool
	Spent            quota.Totals
	// Loads is what the instance has in flight at upstreams without a holder, by upstream.
	Loads    map[string]pool.Load
	Suspects []suspect.Record
	// Evidence is the instance's least-squares sums over the answers of each service's engines, by service.
	Evidence map[string]forecast.Evidence
	// Unreached are the upstreams to which the instance cannot connect, which says nothing about the upstreams.
	Unreached []string
	// Brittle are the services whose upstreams have stated to the instance that they are brittle.
	Brittle map[string]pool.Brittleness
	// StreamLifetime is the longest lifetime of streams that the instance has begun, if their callers wait for longer than
	// the configuration says; 0 otherwise.
	StreamLifetime time.Duration
}

// LoadReport is what an instance has in flight at the upstreams that the receiver holds.
type LoadReport struct {
	Instance string
	Loads    map[string]pool.Load
	// Limits are what the sender knows of the limits of these upstreams.
	Limits []pool.LimitStatement
	// Doubted are lives of these upstreams that may have ended: responses broke, and something listens there.
	Doubted []traffic.Life
	// Paces are what the sender has measured and read of the pace of these upstreams.
	Paces []pool.PaceStatement
	// Memory relates the loads to the sender's questions of memory; zero if memory is not bounded.
	Memory pool.MemoryStatement
}

// HeldReport is what is in flight at the upstreams that the sender holds, and which adapters are loaded there. As a part
// of the sender's state it covers all instances; as the response to a LoadReport it covers all except the reporter.
type HeldReport struct {
	Loads       map[string]pool.Load
	Residencies []pool.Residency
	Limits      []pool.LimitStatement
	// Paces are what all instances have measured and read of the pace of these upstreams.
	Paces []pool.PaceStatement
}

// Stream is one end of a link. At most one goroutine may send at a time, and at most one may receive.
type Stream interface {
	Send(message Message) error
	// Receive waits for the next message. It returns io.EOF after the last one.
	Receive() (Message, error)
}

// PrepareRequest asks the holder of an upstream to load an adapter, and for a prefill turn.
type PrepareRequest struct {
	Upstream string
	Adapter  traffic.Adapter
	// Version is the oldest acceptable version; 0 for any.
	Version int64
	// MaxWait is the longest time that the caller waits.
	MaxWait time.Duration
	// OnTime is how long the request can wait and still be answered on time.
	OnTime   time.Duration
	Priority int
	// Tokens is the length of the request's prompt; 0 if it needs no prefill turn.
	Tokens int
	// Limits are what the sender knows of the upstream's limit.
	Limits []pool.LimitStatement
	// OverShare: the workspace of the request uses more than its share of the service.
	OverShare bool
	// MemoryTokens is what the request occupies in the memory of the upstream, prompt and output; 0 if memory is not
	// bounded there.
	MemoryTokens int
	// Memory is the question of memory, which has MemoryTokens too; zero if memory is not bounded there.
	Memory pool.MemoryRequest
	// Demand is the sender's estimate of the requests in a second for the adapter over the fleet; 0 if it has none.
	Demand float64
	// Replica: no request waits, and the adapter is to have one more replica.
	Replica bool
}

// PrepareResult is the response to a PrepareRequest: Loaded, NotHolder or Busy.
type PrepareResult interface{ isPrepareResult() }

// Loaded means that the adapter is loaded, in the given version, and the prompt may be sent.
type Loaded struct{ Version int64 }

// NotHolder means that the receiver does not hold the upstream.
type NotHolder struct{}

// Busy means that no adapter slot or no prefill turn becomes free in time.
type Busy struct{ RetryAfter time.Duration }

func (Loaded) isPrepareResult()    {}
func (NotHolder) isPrepareResult() {}
func (Busy) isPrepareResult()      {}

// Handler handles calls from peers.
type Handler interface {
	// Gossip serves a link that a peer has opened, until the link breaks or the handler closes it.
	Gossip(ctx context.Context, stream Stream) error
	Report(report LoadReport) HeldReport
	CatchUp(after int64) replica.Batch
	Prepare(ctx context.Context, request PrepareRequest) PrepareResult
	// Connect connects to an upstream for a peer, directly or not at all. The error wraps syscall.ECONNREFUSED if nothing
	// listens there.
	Connect(ctx context.Context, request ConnectRequest) (net.Conn, error)
	// RecordStatement records what an upstream has stated in a response that this instance has carried for a peer.
	RecordStatement(statement Statement)
	// KeepStreams keeps where streams of a peer began, and returns what this instance can prove of their services.
	KeepStreams(records []origin.Record) []pool.SoleSoftware
	// FindStream returns what this instance knows of a stream.
	FindStream(question StreamQuestion) StreamAnswer
	// ChargeRate decides about the charge of a request of a peer.
	ChargeRate(charge quota.Charge) quota.Verdict
}

// Statement is what an upstream has stated about itself in a response. The receiver has carried it over a connection for
// the sender, so that the upstream takes the receiver for the sender of the request.
type Statement struct {
	Upstream string
	Instance string
	// CallID is the id of the call that was responded to, for the log.
	CallID string
	// RetryAfter is how long the upstream wants no requests from the receiver; 0 if it states nothing.
	RetryAfter time.Duration
	// Leaving: the upstream takes no new requests, and will end.
	Leaving bool
}

// ConnectRequest asks for a connection to an upstream to which the instance that sends it cannot connect.
type ConnectRequest struct {
	Upstream string
	Instance string
	// CallID is the id of the call that the connection is for, for the log; empty if it is for none.
	CallID string
}
