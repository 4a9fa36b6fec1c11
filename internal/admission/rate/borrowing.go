package rate

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// This file moves tokens between instances: which peers a ledger borrows from, what it lends and receives, and how
// capacity is returned. The daemon sends the messages; each may be lost, delayed or repeated.

// estimate is the estimated level of a peer's bucket at some time. shortAt is when the peer last lent less than
// requested.
type estimate struct {
	level   float64
	at      time.Time
	shortAt time.Time
}

// ---------------------------------------------------------------------------------------------
// Borrowing.

// PlanBorrowing returns the borrow requests for the tokens that the bucket lacks, starting with the peers that are
// likely to have the most. It is empty if no tokens are missing or if all peers were recently found short. It
// handles a skewed load balancer, where one instance gets nearly all requests of a workspace.
func (l *Ledger) PlanBorrowing(workspace string, tokens float64) []BorrowRequest {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b, err := l.usableBucket(workspace)
	if err != nil || tokens > b.current().burst || tokens-b.level <= epsilon {
		return nil
	}
	now := time.Now()
	var peers []Identity
	for _, peer := range l.peers() {
		if now.Sub(b.estimates[peer].shortAt) >= shortBackoff {
			peers = append(peers, peer)
		}
	}
	l.rank(b, peers)
	var requests []BorrowRequest
	for _, peer := range peers[:min(len(peers), maxBorrowPeers)] {
		requests = append(requests, BorrowRequest{Workspace: workspace, Peer: peer, Tokens: tokens - b.level, PlannedAt: now})
	}
	return requests
}

// PlanRebalancing returns borrow requests that rebalance the buckets of the active workspaces: refill of a full
// bucket is lost, even if another bucket has room for it or will soon need it. The daemon sends them about four
// times a second, independent of any request.
func (l *Ledger) PlanRebalancing() []BorrowRequest {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var requests []BorrowRequest
	now := time.Now()
	for name, b := range l.buckets {
		if _, err := l.usableBucket(name); err != nil || now.Sub(b.lastUsed) > activeWindow {
			continue
		}
		room := max(b.own()-b.level-b.reserved, rebalanceMinLevel*b.capacity()-b.level)
		if room < rebalanceMinRoom*b.capacity() {
			continue
		}
		peers := l.peers()
		l.rank(b, peers)
		for _, peer := range peers[:min(len(peers), rebalancePeers)] {
			requests = append(requests,
				BorrowRequest{Workspace: name, Peer: peer, Tokens: room / rebalancePeers, SpareOnly: true, PlannedAt: now})
		}
	}
	return requests
}

// rank sorts peers by their estimated level, highest first, and peers with equal estimates by when the estimate was
// made, oldest first.
func (l *Ledger) rank(b *bucket, peers []Identity) {
	slices.SortStableFunc(peers, func(x, y Identity) int {
		if byTokens := cmp.Compare(l.estimate(b, y), l.estimate(b, x)); byTokens != 0 {
			return byTokens
		}
		return b.estimates[x].at.Compare(b.estimates[y].at)
	})
}

// Available returns how many tokens could be reserved here now without borrowing.
func (l *Ledger) Available(workspace string) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b, err := l.usableBucket(workspace)
	if err != nil {
		return 0
	}
	return max(b.level, 0)
}

// Lend lends tokens to a peer: at most the bucket's level and this instance's own capacity. They are deducted
// before the response is sent, so that a lost response cannot make them count twice.
func (l *Ledger) Lend(workspace string, tokens float64, borrower Identity) Loan {
	return l.lendAtMost(workspace, borrower, func(*bucket) float64 { return tokens })
}

// LendSpare answers a request for spare tokens: it lends only tokens for which the bucket will soon have no room.
func (l *Ledger) LendSpare(workspace string, tokens float64, borrower Identity) Loan {
	return l.lendAtMost(workspace, borrower, func(b *bucket) float64 {
		return min(tokens, b.level+b.reserved-spareLevel*b.own())
	})
}

func (l *Ledger) lendAtMost(workspace string, borrower Identity, maxAmount func(*bucket) float64) Loan {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b, err := l.usableBucket(workspace)
	if err != nil {
		return Loan{Lender: l.Self}
	}
	amount := min(maxAmount(b), b.level, b.own())
	if amount <= epsilon {
		return Loan{Lender: l.Self, LenderLevel: max(b.level, 0)}
	}
	l.lastLoan++
	id := l.Self.Incarnation + "/" + strconv.FormatInt(l.lastLoan, 10)
	b.level -= amount
	loanLifetime := l.loanLifetime()
	b.lent = append(b.lent, lentLoan{
		id: id, borrower: borrower, amount: amount,
		until: time.Now().Add(loanLifetime + loanLifetime/clockMarginDivisor), revision: l.head.Revision,
	})
	b.updateTotals()
	return Loan{ID: id, Lender: l.Self, Tokens: amount, LenderLevel: b.level}
}

// ReceiveLoan processes a peer's response to a borrow request. An empty loan also updates the estimate: that peer has
// nothing. A loan that arrives too late to be used is returned, and so is a loan from a process that is no longer a
// member: its share goes to the others.
func (l *Ledger) ReceiveLoan(request BorrowRequest, loan Loan) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b, found := l.buckets[request.Workspace]
	if !found {
		return
	}
	l.advance(b)
	now := time.Now()
	b.updateEstimate(request, loan, now)
	if loan.Tokens <= 0 {
		return
	}
	received := borrowedLoan{
		id: loan.ID, lender: loan.Lender, amount: loan.Tokens,
		useUntil: request.PlannedAt.Add(l.loanUseWindow()), endsAt: request.PlannedAt.Add(l.loanLifetime()),
		revision: l.head.Revision,
	}
	isMember := slices.Contains(l.head.Members, loan.Lender)
	if !isMember || !now.Before(received.useUntil) || now.Sub(request.PlannedAt) < 0 {
		b.reject(received)
		return
	}
	b.borrowed = append(b.borrowed, received)
	b.updateTotals()
	b.level += loan.Tokens
	b.returnSurplus()
}

// PendingReturns lists the pending returns for a peer. The daemon sends them with its next message to the peer, or
// shortly after, and acknowledges them once the peer has replied; until then they are listed again.
func (l *Ledger) PendingReturns(peer Identity) []LoanReturn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var list []LoanReturn
	for _, b := range l.buckets {
		l.advance(b)
		for _, r := range b.pendingReturns[peer] {
			list = append(list, r)
		}
	}
	return list
}

// AcknowledgeReturns records that the peer has processed the returns.
func (l *Ledger) AcknowledgeReturns(peer Identity, returns []LoanReturn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, r := range returns {
		b, found := l.buckets[r.Workspace]
		if !found {
			continue
		}
		if b.pendingReturns[peer][r.Loan] == r {
			delete(b.pendingReturns[peer], r.Loan)
		}
	}
}

// ApplyReturns processes a borrower's returns of loans that this process lent.
func (l *Ledger) ApplyReturns(borrower Identity, returns []LoanReturn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, r := range returns {
		b, found := l.buckets[r.Workspace]
		if !found {
			continue
		}
		l.advance(b)
		b.applyReturn(borrower, r)
	}
}

// ---------------------------------------------------------------------------------------------
// Estimates.

func (l *Ledger) peers() []Identity {
	return slices.DeleteFunc(slices.Clone(l.head.Members), func(id Identity) bool { return id == l.Self })
}

// estimate returns a peer's estimated level: its last known level plus its refill since, at most its share.
func (l *Ledger) estimate(b *bucket, peer Identity) float64 {
	s := b.current()
	fraction := 1 / float64(max(len(l.head.Members), 1))
	last, found := b.estimates[peer]
	if !found {
		return s.burst * fraction
	}
	return min(s.burst*fraction, last.level+s.rate*fraction*time.Since(last.at).Seconds())
}

// updateEstimate records a peer's level. An empty loan without a lender means that the peer could not be reached.
func (b *bucket) updateEstimate(request BorrowRequest, loan Loan, now time.Time) {
	after := estimate{level: loan.LenderLevel, at: now, shortAt: b.estimates[request.Peer].shortAt}
	if loan.Tokens < request.Tokens-epsilon && !request.SpareOnly {
		after.shortAt = now
	}
	b.estimates[request.Peer] = after
}

func (b *bucket) pruneEstimates(members []Identity) {
	for peer := range b.estimates {
		if !slices.Contains(members, peer) {
			delete(b.estimates, peer)
		}
	}
}
