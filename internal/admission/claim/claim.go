// Package claim lets a call that may not be repeated run at most once, whichever instance its caller
// sends it to and however often. Before the first byte goes out, the call's idempotency key is claimed
// in the store by compare-and-swap; the outcome is written after. A claim is never taken over: when its
// holder is gone, nobody can tell whether the call ran, and callers are told just that.
//
// A request comes from the caller's API with its key and the hash of its body, the Registry decides,
// and the forwarding code dispatches only with a Ticket in hand.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"
)

// Retention is how long a claim is kept when a Registry states nothing: after that the same key runs
// again. Callers that repeat a call do so within minutes; a day also covers a client that was switched
// off over night.
const Retention = 24 * time.Hour

// UsableFor is how long after claiming a call may still be dispatched when a Registry states nothing.
// Since claims are never taken over a late dispatch would still be the only one, until the claim is
// forgotten after Retention: UsableFor must be far below it, also with clocks that differ by hours.
const UsableFor = time.Minute

// RunLimit is how old a claim without an outcome may be before callers are told that the outcome is
// unknown and no longer that the call is in progress, when a Registry states nothing. It must be
// longer than any call may run.
const RunLimit = 15 * time.Minute

// Errors of a Ticket.
var (
	// ErrTicketExpired: the time for dispatching is over. Nothing was run; record NotRun.
	ErrTicketExpired = errors.New("claim: too late to dispatch")
	// ErrTicketUsed: the call was dispatched before, or its outcome is recorded.
	ErrTicketUsed = errors.New("claim: ticket already used")
	// ErrNotDispatched: an outcome other than not run was given for a call that was never dispatched.
	ErrNotDispatched = errors.New("claim: the call was not dispatched")
)

// Response is an upstream's answer as kept for repeated calls.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// ---------------------------------------------------------------------------------------------

// State of a claim is sealed: Claimed, NotRun, Ran and Unknown are all there are.
type State interface {
	sealedState()
}

// Claimed says: the holder may dispatch the call, or has, and has told no outcome.
type Claimed struct{}

// NotRun says: certainly not run; the key may be claimed again.
type NotRun struct{}

// Ran says: the call ran. Kept tells whether its answer was small enough to be kept; Stored names the key
// of the store that holds the body when it does not stand in the claim itself.
type Ran struct {
	Response Response
	Kept     bool
	Stored   string
}

// Unknown says: the call was dispatched and its answer never came.
type Unknown struct{}

func (Claimed) sealedState() {}
func (NotRun) sealedState()  {}
func (Ran) sealedState()     {}
func (Unknown) sealedState() {}

// ---------------------------------------------------------------------------------------------

// Decision about a call is sealed: Proceed, Replay, InProgress, RanUnknown, DifferentBody and Refuse
// are all there are. Only Proceed lets the call be dispatched.
type Decision interface {
	sealedDecision()
}

// Proceed says: the key is claimed for this call; dispatch it with the ticket.
type Proceed struct {
	Ticket *Ticket
}

// Replay says: the call ran before. Kept tells whether Answer is its answer, or too large to be kept.
type Replay struct {
	Response Response
	Kept     bool
	stored   string
}

// InProgress says: another call with the key is claimed and has no outcome yet.
type InProgress struct {
	RetryAfter time.Duration
}

// OutcomeUnknown says: a call with the key may have run, and its outcome cannot be known any more.
type OutcomeUnknown struct{}

// BodyMismatch says: the key was used for a call with another body.
type BodyMismatch struct{}

// Refuse says: nothing was claimed and nothing was run.
type Refuse struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Reason tells why nothing was claimed; stable for callers.
type Reason string

// The reasons.
const (
	ReasonStore   Reason = "claim_store_unavailable"
	ReasonFull    Reason = "claims_full"
	ReasonBusy    Reason = "claims_busy"
	ReasonGivenUp Reason = "claim_given_up"
)

func (Proceed) sealedDecision()        {}
func (Replay) sealedDecision()         {}
func (InProgress) sealedDecision()     {}
func (OutcomeUnknown) sealedDecision() {}
func (BodyMismatch) sealedDecision()   {}
func (Refuse) sealedDecision()         {}

// ---------------------------------------------------------------------------------------------

// identity hashes the workspace and the key, so that the store holds no caller's text and two
// workspaces never share a claim.
func identity(workspace, key string) string {
	sum := sha256.New()
	sum.Write([]byte(workspace))
	sum.Write([]byte{0})
	sum.Write([]byte(key))
	return hex.EncodeToString(sum.Sum(nil))
}

// BodyHash is the hash of a request that Registry.Claim compares: method, path and body.
func BodyHash(method, path string, body []byte) string {
	sum := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		own := sha256.Sum256(part)
		sum.Write(own[:])
	}
	return hex.EncodeToString(sum.Sum(nil))
}
