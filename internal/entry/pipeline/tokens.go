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

// tokens.go reserves a request's tokens: from this instance's share, and where that is short from the
// shares of others.

// askWithin bounds one ask for tokens. Peers answer within a millisecond or two; one that does not is
// passed over, so that a frozen peer costs a caller little.
const askWithin = 150 * time.Millisecond

// borrowWithin bounds all asks of one request. Made for a fleet of hundreds of which many do not answer:
// asked one after the other, 330 silent peers would have a caller wait for 50 seconds to be refused. No
// measured reason yet for the exact figure.
const borrowWithin = time.Second

// reserve takes the most a request may cost, or refuses. The caller must settle the reservation.
func (p *Pipeline) reserve(ctx context.Context, workspace string, tokens float64) (*rate.Reservation, error) {
	reservation, err := p.Ledger.Reserve(workspace, tokens)
	var short *rate.InsufficientTokensError
	if errors.As(err, &short) {
		asks := p.borrow(ctx, workspace, tokens)
		reservation, err = p.Ledger.Reserve(workspace, tokens)
		if errors.As(err, &short) {
			p.logShort(workspace, tokens, short, asks)
		}
	}
	if err != nil {
		return nil, p.rateRefusal(workspace, err)
	}
	p.Burn.Record(workspace, burn.Admitted, true)
	return reservation, nil
}

// askCounts is how the asks of one request for tokens ended.
type askCounts struct {
	made   int
	failed int
}

// borrow asks peers, most promising first, until the bucket has what the request needs. The ledger's
// plan is empty when the peers together cannot have it.
func (p *Pipeline) borrow(ctx context.Context, workspace string, tokens float64) (asks askCounts) {
	ctx, cancel := context.WithTimeout(ctx, borrowWithin)
	defer cancel()
	for range p.Current().Head.Members {
		plan := p.Ledger.PlanBorrowing(workspace, tokens)
		if len(plan) == 0 || ctx.Err() != nil {
			return asks
		}
		asks.made++
		if !p.ask(ctx, plan[0]) {
			asks.failed++
		}
	}
	return asks
}

func (p *Pipeline) logShort(workspace string, tokens float64, short *rate.InsufficientTokensError, asks askCounts) {
	p.Log.Info().Str("Workspace", workspace).Float64("Tokens", tokens).Float64("Missing", short.Missing).
		Float64("Level", short.Level).Float64("Own", short.OwnCapacity).Float64("Elsewhere", short.PeerTokens).
		Int("PendingShares", short.PendingShares).Int("Members", len(p.Current().Head.Members)).
		Int("Asks", asks.made).Int("AsksFailed", asks.failed).
		Int64("RetryAfterMillis", short.RetryAfter.Milliseconds()).Msg("TokensShort")
}

// RebalanceTokens balances the buckets of the workspaces in use, apart from any request. The daemon calls it about
// four times a second.
func (p *Pipeline) RebalanceTokens(ctx context.Context) {
	for _, ask := range p.Ledger.PlanRebalancing() {
		p.ask(ctx, ask)
	}
}

// ask asks a peer for tokens, and reports whether it answered.
func (p *Pipeline) ask(ctx context.Context, ask rate.BorrowRequest) (answered bool) {
	member, found := memberOf(p.Current().Head, ask.Peer)
	if !found {
		p.Ledger.ReceiveLoan(ask, rate.Loan{Lender: ask.Peer})
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	loan, err := p.Fleet.BorrowTokens(ctx, member, peer.TokenRequest{
		Workspace: ask.Workspace,
		Tokens:    ask.Tokens,
		Borrower:  p.Self,
		SpareOnly: ask.SpareOnly,
	})
	p.Scope.Counter("token_asks").Inc(1)
	if err != nil {
		// It may have lent: then its tokens are lost for a while. Receiving nothing keeps this instance
		// from asking it again at once.
		loan = rate.Loan{Lender: ask.Peer}
	}
	p.Ledger.ReceiveLoan(ask, loan)
	return err == nil
}

func memberOf(h head.Head, identity rate.Identity) (head.Member, bool) {
	member, found := h.Member(identity.Name)
	return member, found && member.Incarnation == identity.Incarnation
}

// rateRefusal turns the ledger's refusal into the caller's, and counts the wrongful ones.
func (p *Pipeline) rateRefusal(workspace string, err error) error {
	var short *rate.InsufficientTokensError
	var large *rate.ExceedsBurstError
	switch {
	case errors.As(err, &short):
		p.Scope.Tagged(map[string]string{"workspace": workspace}).Counter("refused_rate").Inc(1)
		if short.WithinRate {
			p.Scope.Tagged(map[string]string{"workspace": workspace}).Counter("refused_within_rate").Inc(1)
			p.Burn.Record(workspace, burn.Admitted, false)
		}
		return refusal.New(refusal.RateLimited, "the workspace is over its rate").WithRetryAfter(short.RetryAfter)
	case errors.As(err, &large):
		return refusal.New(refusal.RequestExceedsBurst, "the request may cost more than the workspace's burst")
	}
	return refusal.New(refusal.NotFresh, "this instance cannot confirm the workspace's rate").
		WithRetryAfter(time.Second)
}
