package pipeline

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
	"lacewingrock.example/lacewingrock/internal/report/burn"
)

// This file reserves a request's tokens from this instance's share of the workspace's rate, and borrows from the
// shares of other instances if its own does not suffice.

// borrowCallTimeout bounds one call that borrows tokens. Peers answer within 1 to 2 ms; a peer that does not is
// skipped, so that a frozen peer hardly delays the caller.
const borrowCallTimeout = 150 * time.Millisecond

// borrowTimeout bounds all borrowing for one request. In a fleet of hundreds of instances many may not answer: called
// one after the other, 330 unresponsive peers would delay a refusal by 50 seconds.
const borrowTimeout = time.Second

// reserve reserves the maximum cost of a request, or refuses it. The caller must settle the reservation.
func (p *Pipeline) reserve(ctx context.Context, workspace string, tokens float64) (*rate.Reservation, error) {
	reservation, err := p.Ledger.Reserve(workspace, tokens)
	var shortage *rate.InsufficientTokensError
	if errors.As(err, &shortage) {
		counts := p.borrow(ctx, workspace, tokens)
		reservation, err = p.Ledger.Reserve(workspace, tokens)
		if errors.As(err, &shortage) {
			p.logInsufficientTokens(workspace, tokens, shortage, counts)
		}
	}
	if err != nil {
		return nil, p.rateRefusal(workspace, err)
	}
	p.Burn.Record(workspace, burn.Admitted, true)
	return reservation, nil
}

// borrowCounts counts the calls that borrowed tokens for one request.
type borrowCounts struct {
	calls    int
	failures int
}

// borrow borrows from peers, most promising first, until the bucket covers the request. The ledger's plan is empty
// if all peers together cannot have enough tokens.
func (p *Pipeline) borrow(ctx context.Context, workspace string, tokens float64) (counts borrowCounts) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	for range p.Current().Head.Members {
		plan := p.Ledger.PlanBorrowing(workspace, tokens)
		if len(plan) == 0 || ctx.Err() != nil {
			return counts
		}
		counts.calls++
		if !p.borrowFrom(ctx, plan[0]) {
			counts.failures++
		}
	}
	return counts
}

func (p *Pipeline) logInsufficientTokens(workspace string, tokens float64, shortage *rate.InsufficientTokensError, counts borrowCounts) {
	p.Log.Info().Str("Workspace", workspace).Float64("Tokens", tokens).Float64("Missing", shortage.Missing).
		Float64("Level", shortage.Level).Float64("Own", shortage.OwnCapacity).Float64("Elsewhere", shortage.PeerTokens).
		Int("PendingShares", shortage.PendingShares).Int("Members", len(p.Current().Head.Members)).
		Int("Asks", counts.calls).Int("AsksFailed", counts.failures).
		Int64("RetryAfterMillis", shortage.RetryAfter.Milliseconds()).Msg("TokensShort")
}

// RebalanceTokens rebalances the buckets of active workspaces between instances, independently of requests. The daemon
// calls it about four times a second.
func (p *Pipeline) RebalanceTokens(ctx context.Context) {
	for _, request := range p.Ledger.PlanRebalancing() {
		p.borrowFrom(ctx, request)
	}
}

// borrowFrom requests a loan of tokens from a peer, and reports whether the peer answered.
func (p *Pipeline) borrowFrom(ctx context.Context, request rate.BorrowRequest) (answered bool) {
	member, found := findMember(p.Current().Head, request.Peer)
	if !found {
		p.Ledger.ReceiveLoan(request, rate.Loan{Lender: request.Peer})
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, borrowCallTimeout)
	defer cancel()
	loan, err := p.Fleet.BorrowTokens(ctx, member, peer.TokenRequest{
		Workspace: request.Workspace,
		Tokens:    request.Tokens,
		Borrower:  p.Self,
		SpareOnly: request.SpareOnly,
	})
	p.Scope.Counter("token_asks").Inc(1)
	if err != nil {
		// The peer may have lent the tokens, which are then unavailable for a while. Recording an empty loan keeps
		// this instance from calling the peer again immediately.
		loan = rate.Loan{Lender: request.Peer}
	}
	p.Ledger.ReceiveLoan(request, loan)
	return err == nil
}

func findMember(h head.Head, identity rate.Identity) (head.Member, bool) {
	member, found := h.Member(identity.Name)
	return member, found && member.Incarnation == identity.Incarnation
}

// rateRefusal converts the ledger's error into the refusal for the caller. It also counts wrongful refusals: those
// made although the fleet has the tokens, as far as this instance knows.
func (p *Pipeline) rateRefusal(workspace string, err error) error {
	var shortage *rate.InsufficientTokensError
	var exceedsBurst *rate.ExceedsBurstError
	switch {
	case errors.As(err, &shortage):
		p.Scope.Tagged(map[string]string{"workspace": workspace}).Counter("refused_rate").Inc(1)
		if shortage.WithinRate {
			p.Scope.Tagged(map[string]string{"workspace": workspace}).Counter("refused_within_rate").Inc(1)
			p.Burn.Record(workspace, burn.Admitted, false)
		}
		return refusal.New(refusal.RateLimited, "the workspace is over its rate").WithRetryAfter(shortage.RetryAfter)
	case errors.As(err, &exceedsBurst):
		return refusal.New(refusal.RequestExceedsBurst, "the request may cost more than the workspace's burst")
	}
	return refusal.New(refusal.NotFresh, "this instance cannot confirm the workspace's rate").
		WithRetryAfter(time.Second)
}
