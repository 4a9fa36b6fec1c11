// Package rate holds each workspace to its rate and burst over all instances together. Each instance
// keeps a Ledger: one bucket of tokens for each workspace, with the instance's share of capacity and
// refill. The daemon reserves the most a request may cost before it is queued, spends the reservation
// as tokens are generated and settles it once at the end; when the tokens lie on other instances it
// borrows them there.
//
// What must hold: over any interval, the tokens spent in the fleet are at most burst + rate * time. It
// holds because at each moment the tokens that can still be spent anywhere (in buckets, reserved, or
// lent and under way) are at most the burst, and because they grow by at most the rate:
//
//   - a bucket's tokens plus its reservations never exceed its capacity, so a bucket does not fill up
//     behind a long reservation and then spend both at once;
//   - a lender deducts tokens and capacity first; a lost answer loses them for a while, and can create
//     none. The lender takes the capacity back when the borrower says that it needs it no longer, or
//     when the borrower cannot spend it any more whatever happened to it;
//   - between two heads each instance uses the smaller of its two shares until the newer head is in
//     force everywhere, and its capacity grows only when every reservation made under larger shares of
//     others has certainly ended;
//   - refill counts only time in which the instance's knowledge was fresh: a frozen or cut off instance
//     does not collect a share that others have taken over meanwhile;
//   - a process starts with empty buckets, except for workspaces declared while it runs.
package rate

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// LoanUseWindow is how long borrowed tokens may back new reservations when a Ledger states nothing,
// counted from when they were asked for. It must cover a round of asking; no measured reason yet.
const LoanUseWindow = 3 * time.Second

// MaxReservationTime is the longest a reservation may last when a Ledger states nothing. The daemon cancels a
// request that runs longer, since its tokens are no longer accounted for.
const MaxReservationTime = 2 * time.Minute

// askAgain is how long a peer that gave less than it was asked for is left alone. Made for a workspace
// at several times its rate, each refusal of which would otherwise cost a message to every peer. It has
// to be short: the peer gets tokens back whenever a request ends that used less than it reserved.
const askAgain = 50 * time.Millisecond

// topUpRoom, topUpLevel and spareAbove rule the balancing of buckets, as parts of an instance's own
// capacity: a bucket with that much room, or below that level, asks for tokens, and a bucket gives those
// above that fill. topUpAsks is how many peers are asked. At nine tenths
// of the rate, without balancing, 2% of the refill came to buckets that were full while others were
// empty.
const (
	topUpRoom  = 0.1
	topUpLevel = 0.5
	topUpAsks  = 3
	spareAbove = 0.75
)

// inUse is for how long after its last request a workspace's bucket is balanced.
const inUse = time.Second

// maxAsks bounds the peers in one plan.
const maxAsks = 16

// Codes of refusals, stable for callers.
const (
	CodeTooLarge         = "request_exceeds_burst"
	CodeRate             = "rate_limit_exceeded"
	CodeUnknownWorkspace = "unknown_workspace"
	CodeStale            = "instance_not_fresh"
)

// Identity is one process: a restart is another one, which has lent and borrowed nothing.
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

// Head is what the ledger needs of the configuration's head. Since is the revision that added this
// process to the members, 0 when it is none.
type Head struct {
	Revision int64
	Since    int64
	Members  []Identity
	Limits   []Limit
}

// Freshness tells how far the installed head may be relied on. *freshness.Tracker is one.
type Freshness interface {
	// Fresh answers nil while the instance may act on its head.
	Fresh() error
	// FreshUntil returns the installed revision and until when it may be used as things stand.
	FreshUntil() (revision int64, until time.Time)
	// InForce returns the highest revision that is in force everywhere.
	InForce() int64
}

// Loan is what a lender gave: tokens with the capacity to hold them. ID is the lender's own; Left is
// what remains in its bucket.
type Loan struct {
	ID          string
	Lender      Identity
	Tokens      float64
	LenderLevel float64
}

// BorrowRequest is one step of a plan to borrow: whom to ask and for how many tokens at the most. Began is when
// the plan was made; what is received much later is not used. Spare asks only for what the peer's
// bucket can hardly hold any longer.
type BorrowRequest struct {
	Workspace string
	Peer      Identity
	Tokens    float64
	SpareOnly bool
	PlannedAt time.Time
}

// LoanReturn tells a lender how much of a loan the borrower may still spend, and how much of it came back
// unspent in all. It may be repeated and may arrive in any order: the smallest Remaining and the
// largest Unspent count.
type LoanReturn struct {
	Workspace string
	Loan      string
	Remaining float64
	Unspent   float64
}

// Refusal is sealed: TooLargeError, ShortError, UnknownError and StaleError are all there are. Nothing
// of a refused request was run.
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

// InsufficientTokensError refuses a request for want of tokens. Missing is how many; RetryAfter is when they will be
// there at the workspace's rate. WithinRate tells whether the fleet, as far as this instance knows, has
// the tokens: such a refusal is wrongful, and is counted as one. The rest are inputs of the decision, for the log.
type InsufficientTokensError struct {
	Missing    float64
	RetryAfter time.Duration
	WithinRate bool

	// Level is what the bucket has, Own its capacity less what is lent, and Elsewhere what the peers may have.
	Level       float64
	OwnCapacity float64
	PeerTokens  float64
	// PendingShares are the shares of older heads that bind the bucket until the newest is in force everywhere.
	PendingShares int
}

// UnknownError refuses a workspace that the installed head does not declare.
type UnknownError struct {
	Workspace string
}

// StaleError refuses because the instance's knowledge is too old to know its share.
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

func (e *UnknownError) Error() string { return "rate: no workspace " + e.Workspace }

func (e *StaleError) Error() string { return "rate: " + e.Cause.Error() }

// Unwrap returns why the knowledge is stale.
func (e *StaleError) Unwrap() error { return e.Cause }

// Code is CodeTooLarge.
func (*ExceedsBurstError) Code() string { return CodeTooLarge }

// Code is CodeRate.
func (*InsufficientTokensError) Code() string { return CodeRate }

// Code is CodeUnknownWorkspace.
func (*UnknownError) Code() string { return CodeUnknownWorkspace }

// Code is CodeStale.
func (*StaleError) Code() string { return CodeStale }

func (*ExceedsBurstError) sealed()       {}
func (*InsufficientTokensError) sealed() {}
func (*UnknownError) sealed()            {}
func (*StaleError) sealed()              {}

var errBehind = errors.New("the ledger has not taken in the installed head")
