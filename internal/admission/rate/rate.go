// Package rate enforces each workspace's rate and burst across all instances. Each instance keeps a Ledger: one
// token bucket per workspace, with the instance's share of capacity and refill. The daemon reserves the maximum
// cost of a request before queueing it, spends the reservation as tokens are generated, and settles it once at the
// end. If the tokens are on other instances, it borrows them.
//
// Invariant: over any interval, the tokens spent in the fleet are at most burst + rate * time. It holds because at
// each moment the tokens that can still be spent anywhere (in buckets, reserved, or lent and in transit) are at
// most the burst, and because they grow by at most the rate:
//
//   - A bucket's tokens plus its reservations never exceed its capacity, so a bucket does not refill behind a
//     long reservation and then spend both at once.
//   - A lender deducts tokens and capacity first. A lost response loses them for a while but cannot create any.
//     The lender takes the capacity back when the borrower reports that it no longer needs it, or when the
//     borrower certainly can no longer spend it.
//   - Between two heads each instance uses the smaller of its two shares until the newer head is in force
//     everywhere. Its capacity grows only when every reservation made under larger shares of other instances has
//     certainly ended.
//   - Refill counts only time in which the instance's configuration was fresh: a frozen or partitioned instance
//     does not accrue a share that others have taken over meanwhile.
//   - A process starts with empty buckets, except for workspaces declared while it runs. Its buckets are emptied
//     when it skips heads after its configuration went stale: one of them may have been in force and lowered its
//     share.
package rate

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// LoanUseWindow is how long borrowed tokens may back new reservations, counted from when they were requested, unless
// the Ledger sets its own value. It must cover one round of borrow requests.
const LoanUseWindow = 3 * time.Second

// MaxReservationTime is the maximum duration of a reservation unless the Ledger sets its own value. The daemon
// cancels a request that runs longer, since its tokens are no longer accounted for.
const MaxReservationTime = 2 * time.Minute

// shortBackoff is how long no borrow request is sent to a peer that lent less than requested. Without it, each
// refusal of a workspace at several times its rate would cost a message to every peer. It must be short: the peer
// gets tokens back whenever a request ends that used less than it reserved.
const shortBackoff = 50 * time.Millisecond

// rebalanceMinRoom, rebalanceMinLevel and spareLevel control the rebalancing of buckets, as fractions of an
// instance's own capacity: a bucket that has at least rebalanceMinRoom of room, or is that far below
// rebalanceMinLevel, requests tokens, and a bucket lends the tokens above spareLevel. rebalancePeers is the number
// of peers that get a request. Without rebalancing, at nine tenths of the rate, 2% of the refill was lost to full
// buckets while others were empty.
const (
	rebalanceMinRoom  = 0.1
	rebalanceMinLevel = 0.5
	rebalancePeers    = 3
	spareLevel        = 0.75
)

// activeWindow is how long after its last request a workspace's bucket is rebalanced.
const activeWindow = time.Second

// maxBorrowPeers bounds the number of peers in one plan.
const maxBorrowPeers = 16

// Codes of refusals. They are stable for callers.
const (
	CodeExceedsBurst     = "request_exceeds_burst"
	CodeRateLimited      = "rate_limit_exceeded"
	CodeUnknownWorkspace = "unknown_workspace"
	CodeStale            = "instance_not_fresh"
)

// Identity identifies one process. After a restart an instance has a new identity, which has lent and borrowed
// nothing.
type Identity struct {
	Name        string
	Incarnation string
}

// Limit is what a workspace may spend over all instances: Rate in tokens a second, Burst in tokens.
type Limit struct {
	Workspace string
	Rate      float64
	Burst     float64
}

// Head is the part of the configuration's head that the ledger needs. Since is the revision that added this process
// to the members, or 0 if it is not a member.
type Head struct {
	Revision int64
	Since    int64
	Members  []Identity
	Limits   []Limit
}

// Freshness reports whether the installed head may be relied on. *freshness.Tracker implements it.
type Freshness interface {
	// Fresh returns nil while the instance may act on its head.
	Fresh() error
	// FreshUntil returns the installed revision and until when it may be used if nothing newer is confirmed.
	FreshUntil() (revision int64, until time.Time)
	// InForce returns the highest revision that is in force everywhere.
	InForce() int64
}

// Loan is what a lender lent: tokens with the capacity to hold them, an ID that is unique for the lender, and the
// level that remains in the lender's bucket.
type Loan struct {
	ID          string
	Lender      Identity
	Tokens      float64
	LenderLevel float64
}

// BorrowRequest is one request of a plan to borrow: the peer, the maximum number of tokens, and when the plan was
// made; a loan that arrives much later is not used. A request for spare tokens gets only tokens for which the
// peer's bucket will soon have no room.
type BorrowRequest struct {
	Workspace string
	Peer      Identity
	Tokens    float64
	SpareOnly bool
	PlannedAt time.Time
}

// LoanReturn reports to a lender how much of a loan the borrower may still spend, and how much of it in total came back
// unspent. Returns may be repeated and arrive in any order: the smallest Remaining and the largest Unspent count.
type LoanReturn struct {
	Workspace string
	Loan      string
	Remaining float64
	Unspent   float64
}

// Refusal is a sealed type; the error types below are all its variants. Nothing of a refused request was run.
type Refusal interface {
	error
	// Code is stable for callers.
	Code() string
	sealed()
}

// ExceedsBurstError refuses a request that costs more than the workspace's burst; it can never be admitted.
type ExceedsBurstError struct {
	Tokens float64
	Burst  float64
}

// InsufficientTokensError refuses a request for lack of tokens. Missing is how many tokens are missing; RetryAfter
// is when they will have accrued at the workspace's rate. WithinRate reports whether the fleet has the tokens, as
// far as this instance can estimate; such a refusal is wrongful and is counted as one. The other fields are inputs
// of the decision, for the log.
type InsufficientTokensError struct {
	Missing    float64
	RetryAfter time.Duration
	WithinRate bool

	// The bucket's level, its capacity less what is lent, and the estimated tokens of the peers.
	Level       float64
	OwnCapacity float64
	PeerTokens  float64
	// PendingShares is the number of shares of older heads that limit the bucket until the newest head is in force
	// everywhere.
	PendingShares int
}

// UnknownWorkspaceError refuses a workspace that the installed head does not declare.
type UnknownWorkspaceError struct {
	Workspace string
}

// StaleError refuses a request because the instance's configuration is too old to determine its share.
type StaleError struct {
	Cause      error
	RetryAfter time.Duration
}

func (e *ExceedsBurstError) Error() string {
	return fmt.Sprintf("rate: %.0f tokens are more than the burst of %.0f", e.Tokens, e.Burst)
}

func (e *InsufficientTokensError) Error() string {
	return fmt.Sprintf("rate: short of %.0f tokens, retry after %v", e.Missing, e.RetryAfter)
}

func (e *UnknownWorkspaceError) Error() string { return "rate: no workspace " + e.Workspace }

func (e *StaleError) Error() string { return "rate: " + e.Cause.Error() }

// Unwrap returns why the configuration is stale.
func (e *StaleError) Unwrap() error { return e.Cause }

// Code returns CodeExceedsBurst.
func (*ExceedsBurstError) Code() string { return CodeExceedsBurst }

// Code returns CodeRateLimited.
func (*InsufficientTokensError) Code() string { return CodeRateLimited }

// Code returns CodeUnknownWorkspace.
func (*UnknownWorkspaceError) Code() string { return CodeUnknownWorkspace }

// Code returns CodeStale.
func (*StaleError) Code() string { return CodeStale }

func (*ExceedsBurstError) sealed()       {}
func (*InsufficientTokensError) sealed() {}
func (*UnknownWorkspaceError) sealed()   {}
func (*StaleError) sealed()              {}

var errHeadNotInstalled = errors.New("ledger has not installed the current head")
