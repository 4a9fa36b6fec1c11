package rate

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// This file is how tokens move between instances: whom a ledger asks, what it gives and takes in, and
// how capacity goes back. The daemon carries the messages; each may be lost, late or repeated.

// estimate is what a peer's bucket may have held at some moment. Short is when the peer last gave less
// than it was asked for.
type estimate struct {
	tokens float64
	at     time.Time
	short  time.Time
}

// ---------------------------------------------------------------------------------------------
// Borrowing.

// PlanBorrowing lists whom to ask, in which order, for the tokens that the bucket lacks: those that may have
// most first. It is empty when nothing lacks, or when all peers have just been found short. Made for a
// skewed balancer, where one instance gets nearly all requests of a workspace.
func (l *Ledger) PlanBorrowing(workspace string, tokens float64) []BorrowRequest {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b, err := l.usable(workspace)
	if err != nil || tokens > b.current().burst || tokens-b.level <= epsilon {
		return nil
	}
	now := time.Now()
	var peers []Identity
	for _, peer := range l.peers() {
		if now.Sub(b.estimates[peer].short) >= askAgain {
			peers = append(peers, peer)
		}
	}
	l.rank(b, peers)
	var asks []BorrowRequest
	for _, peer := range peers[:min(len(peers), maxAsks)] {
		asks = append(asks, BorrowRequest{Workspace: workspace, Peer: peer, Tokens: tokens - b.level, PlannedAt: now})
	}
	return asks
}

// PlanRebalancing lists asks that balance the buckets of the workspaces in use: refill that comes to a full
// bucket is lost, though another has room for it or will soon need it. The daemon carries them out about
// four times a second, apart from any request.
func (l *Ledger) PlanRebalancing() []BorrowRequest {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var asks []BorrowRequest
	now := time.Now()
	for name, b := range l.buckets {
		if _, err := l.usable(name); err != nil || now.Sub(b.used) > inUse {
			continue
		}
		room := max(b.own()-b.level-b.reserved, topUpLevel*b.capacity()-b.level)
		if room < topUpRoom*b.capacity() {
			continue
		}
		peers := l.peers()
		l.rank(b, peers)
		for _, peer := range peers[:min(len(peers), topUpAsks)] {
			asks = append(asks, BorrowRequest{Workspace: name, Peer: peer, Tokens: room / topUpAsks, SpareOnly: true, PlannedAt: now})
		}
	}
	return asks
}

// rank orders peers by what they may have, most first, and those equal by which was asked longest ago.
func (l *Ledger) rank(b *bucket, peers []Identity) {
	slices.SortStableFunc(peers, func(x, y Identity) int {
		if byTokens := cmp.Compare(l.estimate(b, y), l.estimate(b, x)); byTokens != 0 {
			return byTokens
		}
		return b.estimates[x].at.Compare(b.estimates[y].at)
	})
}

// Available is how many tokens could be reserved here now, without borrowing.
func (l *Ledger) Available(workspace string) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b, err := l.usable(workspace)
	if err != nil {
		return 0
	}
	return max(b.level, 0)
}

// Lend lends tokens to a peer: at most what is in the bucket and what this instance owns. They are
// deducted before the answer is sent, so that a lost answer cannot make them count twice.
func (l *Ledger) Lend(workspace string, tokens float64, borrower Identity) Loan {
	return l.lend(workspace, borrower, func(*bucket) float64 { return tokens })
}

// LendSpare answers an ask for spare tokens: it lends only those that the bucket can hardly hold any
// longer.
func (l *Ledger) LendSpare(workspace string, tokens float64, borrower Identity) Loan {
	return l.lend(workspace, borrower, func(b *bucket) float64 {
		return min(tokens, b.level+b.reserved-spareAbove*b.own())
	})
}

func (l *Ledger) lend(workspace string, borrower Identity, most func(*bucket) float64) Loan {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b, err := l.usable(workspace)
	if err != nil {
		return Loan{Lender: l.Self}
	}
	amount := min(most(b), b.level, b.own())
	if amount <= epsilon {
		return Loan{Lender: l.Self, LenderLevel: max(b.level, 0)}
	}
	l.loans++
	id := l.Self.Incarnation + "/" + strconv.FormatInt(l.loans, 10)
	b.level -= amount
	hold := l.hold()
	b.lent = append(b.lent, lent{
		id: id, borrower: borrower, amount: amount,
		until: time.Now().Add(hold + hold/holdMargin), revision: l.head.Revision,
	})
	b.sumUp()
	return Loan{ID: id, Lender: l.Self, Tokens: amount, LenderLevel: b.level}
}

// ReceiveLoan takes in what a peer answered to an ask. An empty loan is news too: that peer has nothing.
// What comes too late to be used is given back, and so is what a process lent that is no member any
// more: its share goes to the others.
func (l *Ledger) ReceiveLoan(ask BorrowRequest, loan Loan) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b, found := l.buckets[ask.Workspace]
	if !found {
		return
	}
	l.advance(b)
	now := time.Now()
	b.learn(ask, loan, now)
	if loan.Tokens <= 0 {
		return
	}
	in := borrowed{
		id: loan.ID, lender: loan.Lender, amount: loan.Tokens,
		useUntil: ask.PlannedAt.Add(l.loanUseWindow()), endsAt: ask.PlannedAt.Add(l.hold()), revision: l.head.Revision,
	}
	member := slices.Contains(l.head.Members, loan.Lender)
	if !member || !now.Before(in.useUntil) || now.Sub(ask.PlannedAt) < 0 {
		b.refuse(in)
		return
	}
	b.borrowed = append(b.borrowed, in)
	b.sumUp()
	b.level += loan.Tokens
	b.giveBackSurplus()
}

// PendingReturns lists what a peer should be told about its loans. The daemon sends it with its next message
// to the peer, or soon, and calls Returned once the peer has answered; until then it is listed again.
func (l *Ledger) PendingReturns(peer Identity) []LoanReturn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var list []LoanReturn
	for _, b := range l.buckets {
		l.advance(b)
		for _, r := range b.returns[peer] {
			list = append(list, r)
		}
	}
	return list
}

// AcknowledgeReturns says that the peer has taken the returns in.
func (l *Ledger) AcknowledgeReturns(peer Identity, returns []LoanReturn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, r := range returns {
		b, found := l.buckets[r.Workspace]
		if !found {
			continue
		}
		if b.returns[peer][r.Loan] == r {
			delete(b.returns[peer], r.Loan)
		}
	}
}

// ApplyReturns takes in what a borrower told about loans of this process.
func (l *Ledger) ApplyReturns(borrower Identity, returns []LoanReturn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, r := range returns {
		b, found := l.buckets[r.Workspace]
		if !found {
			continue
		}
		l.advance(b)
		b.takeBack(borrower, r)
	}
}

// ---------------------------------------------------------------------------------------------
// Estimates.

func (l *Ledger) peers() []Identity {
	return slices.DeleteFunc(slices.Clone(l.head.Members), func(id Identity) bool { return id == l.Self })
}

// estimate is what a peer may have now: what it had, plus its refill since, at most its share.
func (l *Ledger) estimate(b *bucket, peer Identity) float64 {
	s := b.current()
	part := 1 / float64(max(len(l.head.Members), 1))
	known, found := b.estimates[peer]
	if !found {
		return s.burst * part
	}
	return min(s.burst*part, known.tokens+s.rate*part*time.Since(known.at).Seconds())
}

// learn notes what a peer has left. An empty loan without a lender means that it could not be asked.
func (b *bucket) learn(ask BorrowRequest, loan Loan, now time.Time) {
	after := estimate{tokens: loan.LenderLevel, at: now, short: b.estimates[ask.Peer].short}
	if loan.Tokens < ask.Tokens-epsilon && !ask.SpareOnly {
		after.short = now
	}
	b.estimates[ask.Peer] = after
}

func (b *bucket) forgetEstimates(members []Identity) {
	for peer := range b.estimates {
		if !slices.Contains(members, peer) {
			delete(b.estimates, peer)
		}
	}
}
