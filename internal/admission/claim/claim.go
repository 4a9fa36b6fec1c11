// Package claim implements idempotency keys: a call that must not be repeated runs at most once, whichever instance
// its caller sends it to and however often. Before the first byte is sent upstream, the call's idempotency key is
// claimed in the store by compare-and-swap; the outcome is written afterwards. A claim is never taken over: once
// its holder is gone, nobody can determine whether the call ran, and that is what callers get as the result.
//
// The caller's API passes the key and the hash of the request body to the Registry, which decides. The forwarding
// code dispatches only with a Ticket.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"
)

// Retention is how long a claim is kept unless the Registry sets its own value. After that the same key runs again.
// Callers retry a call within minutes; a day also covers a client that was switched off overnight.
const Retention = 24 * time.Hour

// DispatchWindow is how long after claiming a call may still be dispatched, unless the Registry sets its own value.
// Claims are never taken over, so a late dispatch is still the only one until the claim is dropped after Retention.
// DispatchWindow must therefore be far shorter than Retention, even if clocks differ by hours.
const DispatchWindow = time.Minute

// MaxRunTime is the age after which a claim without an outcome is reported as having an unknown outcome instead of
// being in progress, unless the Registry sets its own value. It must be longer than any call may run.
const MaxRunTime = 15 * time.Minute

// Errors of a Ticket.
var (
	// ErrTicketExpired means that the dispatch window is over. Nothing was run; record NotRun.
	ErrTicketExpired = errors.New("claim: dispatch window has expired")
	// ErrTicketUsed means that the call was dispatched before or that its outcome is recorded.
	ErrTicketUsed = errors.New("claim: ticket already used")
	// ErrNotDispatched means that an outcome other than NotRun was given for a call that was never dispatched.
	ErrNotDispatched = errors.New("claim: outcome given for a call that was not dispatched")
)

// Response is an upstream's response as stored for replay.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// ---------------------------------------------------------------------------------------------

// State is the state of a claim. It is a sealed type: Claimed, NotRun, Ran or Unknown.
type State interface {
	sealedState()
}

// Claimed means that the holder may dispatch the call, or has dispatched it, and has recorded no outcome yet.
type Claimed struct{}

// NotRun means that the call certainly did not run. The key may be claimed again.
type NotRun struct{}

// Ran means that the call ran. Kept is false if the response was too large to keep. StoreKey is the store key of
// the response body if the body is not kept in the claim itself.
type Ran struct {
	Response Response
	Kept     bool
	StoreKey string
}

// Unknown means that the call was dispatched and no response arrived.
type Unknown struct{}

func (Claimed) sealedState() {}
func (NotRun) sealedState()  {}
func (Ran) sealedState()     {}
func (Unknown) sealedState() {}

// ---------------------------------------------------------------------------------------------

// Decision is the decision about a call. It is a sealed type; the types below are all its variants. Only Proceed
// allows the call to be dispatched.
type Decision interface {
	sealedDecision()
}

// Proceed means that the key is claimed for this call. Dispatch the call with the ticket.
type Proceed struct {
	Ticket *Ticket
}

// Replay means that the call ran before, and holds its response. Kept is false if the response was too large to
// keep.
type Replay struct {
	Response Response
	Kept     bool
	storeKey string
}

// InProgress means that another call has claimed the key and has no outcome yet.
type InProgress struct {
	RetryAfter time.Duration
}

// OutcomeUnknown means that a call with the key may have run and that its outcome can no longer be determined.
type OutcomeUnknown struct{}

// BodyMismatch means that the key was used for a call with another body.
type BodyMismatch struct{}

// Refuse means that nothing was claimed and nothing was run.
type Refuse struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Reason is why nothing was claimed. The values are stable for callers.
type Reason string

const (
	ReasonStore     Reason = "claim_store_unavailable"
	ReasonFull      Reason = "claims_full"
	ReasonBusy      Reason = "claims_busy"
	ReasonAbandoned Reason = "claim_given_up"
)

func (Proceed) sealedDecision()        {}
func (Replay) sealedDecision()         {}
func (InProgress) sealedDecision()     {}
func (OutcomeUnknown) sealedDecision() {}
func (BodyMismatch) sealedDecision()   {}
func (Refuse) sealedDecision()         {}

// ---------------------------------------------------------------------------------------------

// hashKey hashes the workspace and the key, so that the store holds no caller's text and two workspaces never share
// a claim.
func hashKey(workspace, key string) string {
	sum := sha256.New()
	sum.Write([]byte(workspace))
	sum.Write([]byte{0})
	sum.Write([]byte(key))
	return hex.EncodeToString(sum.Sum(nil))
}

// BodyHash returns the hash of a request that Registry.Claim compares: method, path and body.
func BodyHash(method, path string, body []byte) string {
	sum := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		own := sha256.Sum256(part)
		sum.Write(own[:])
	}
	return hex.EncodeToString(sum.Sum(nil))
}
