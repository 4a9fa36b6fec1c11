package rate

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"lacewingrock.example/lacewingrock/internal/timing/instant"
)

// This file implements one workspace's bucket on one instance. Every method keeps this invariant: level and
// reserved together are at most own + usable + draining. own is the instance's share less what it lent, usable the
// loans that may back new reservations, and draining the loans that back only reservations made before. draining
// never exceeds what those reservations still hold.

// clockMarginDivisor defines the margin, as a part of a loan's lifetime, that is added before the lender takes the
// capacity back without a return, for clocks that run at different rates.
const clockMarginDivisor = 20

// refillHeadroom is the period of refill for which room is kept without more being spent. It spans the gaps between
// tokens of slow streams.
const refillHeadroom = 250 * time.Millisecond

// epsilon is the amount below which a difference counts as a rounding error.
const epsilon = 1e-6

// share is the instance's share of a workspace's limit under one head.
type share struct {
	revision int64
	rate     float64
	burst    float64
	fraction float64
}

// fractionCap limits the capacity to a smaller fraction after the head that raised the fraction is in force.
type fractionCap struct {
	fraction float64
	revision int64
	until    time.Time
}

// lentLoan is a loan to a peer. until is when the borrower can certainly no longer spend it.
type lentLoan struct {
	id       string
	borrower Identity
	amount   float64
	unspent  float64 // total that the borrower returned unspent
	until    time.Time
	revision int64
}

// borrowedLoan is a loan from a peer.
type borrowedLoan struct {
	id       string
	lender   Identity
	amount   float64
	unspent  float64 // total returned unspent
	useUntil time.Time
	endsAt   time.Time
	draining bool
	revision int64
	// round orders draining loans; backed is what is left of the reservations made before it.
	round  int
	backed float64
}

type bucket struct {
	workspace        string
	level            float64
	reserved         float64
	refilledAt       time.Time
	lastUsed         time.Time
	shares           []share
	fractionCaps     []fractionCap
	lent             []lentLoan
	borrowed         []borrowedLoan
	totals           loanTotals
	drainRound       int
	openReservations *list.List // of *Reservation, ordered by deadline
	pendingReturns   map[Identity]map[string]LoanReturn
	estimates        map[Identity]estimate
}

func newBucket(workspace string, now time.Time) *bucket {
	return &bucket{
		workspace:        workspace,
		refilledAt:       now,
		openReservations: list.New(),
		pendingReturns:   map[Identity]map[string]LoanReturn{},
		estimates:        map[Identity]estimate{},
	}
}

// ---------------------------------------------------------------------------------------------
// Shares.

func (s share) equal(other share) bool {
	s.revision = other.revision
	return s == other
}

// current returns the newest declared limit.
func (b *bucket) current() share {
	return b.shares[len(b.shares)-1]
}

// rate returns the refill in tokens a second: the smallest of the shares that may be in force somewhere.
func (b *bucket) rate() float64 {
	rate, fraction := b.current().rate, b.current().fraction
	for _, s := range b.shares {
		rate, fraction = min(rate, s.rate), min(fraction, s.fraction)
	}
	return rate * fraction
}

// capacity returns the instance's share of the burst, before lending.
func (b *bucket) capacity() float64 {
	burst, fraction := b.current().burst, b.current().fraction
	for _, s := range b.shares {
		burst, fraction = min(burst, s.burst), min(fraction, s.fraction)
	}
	for _, l := range b.fractionCaps {
		fraction = min(fraction, l.fraction)
	}
	return burst * fraction
}

// loanTotals caches the totals of the loans, since each generated token needs them. nextExpiry is when the next
// loan expires.
type loanTotals struct {
	lent       float64
	borrowed   float64
	draining   float64
	nextExpiry time.Time
}

// updateTotals drops the loans that have ended and adds up the others. Every change of the loans ends with it.
func (b *bucket) updateTotals() {
	b.lent = slices.DeleteFunc(b.lent, func(l lentLoan) bool { return l.amount <= 0 })
	b.borrowed = slices.DeleteFunc(b.borrowed, func(l borrowedLoan) bool { return l.amount <= 0 })
	b.totals = loanTotals{}
	for _, l := range b.lent {
		b.totals.lent += l.amount
		b.totals.noteExpiry(l.until)
	}
	for _, l := range b.borrowed {
		b.totals.borrowed += l.amount
		if l.draining {
			b.totals.draining += l.amount
			b.totals.noteExpiry(l.endsAt)
			continue
		}
		b.totals.noteExpiry(l.useUntil)
	}
}

func (s *loanTotals) noteExpiry(at time.Time) {
	if s.nextExpiry.IsZero() || at.Before(s.nextExpiry) {
		s.nextExpiry = at
	}
}

// own returns the capacity that is neither lent nor borrowed.
func (b *bucket) own() float64 {
	return max(b.capacity()-b.totals.lent, 0)
}

// retireShares drops the shares that are no longer in force anywhere. Their fraction still caps the capacity until
// every reservation made under them has ended: an instance whose share shrank cannot take back what its running
// requests hold, and another instance must not fill up meanwhile.
func (b *bucket) retireShares(inForce, settled int64, loanLifetime time.Duration, now time.Time) {
	for len(b.shares) > 1 && b.shares[1].revision <= inForce {
		if b.shares[0].fraction < b.shares[1].fraction {
			b.fractionCaps = append(b.fractionCaps, fractionCap{
				fraction: b.shares[0].fraction, revision: b.shares[1].revision,
				until: now.Add(loanLifetime + loanLifetime/clockMarginDivisor),
			})
		}
		b.shares = b.shares[1:]
	}
	b.fractionCaps = slices.DeleteFunc(b.fractionCaps, func(l fractionCap) bool {
		return l.revision <= settled || !now.Before(l.until)
	})
}

// ---------------------------------------------------------------------------------------------
// Time.

// advance brings the bucket up to the current time. At the end of each overdue reservation and loan it first refills,
// into the room that there was until then; only then the room grows. If a frozen instance refilled for the whole time
// at once, refill that overflowed before the end would fill the room that the end has made.
func (b *bucket) advance(now, freshUntil time.Time) {
	for end := b.nextEnd(); !end.IsZero() && !now.Before(end); end = b.nextEnd() {
		b.refill(end, freshUntil)
		b.voidOverdue(end)
		b.expireLoans(end)
	}
	b.refill(now, freshUntil)
}

// nextEnd returns when the next reservation or loan ends; zero if there is none.
func (b *bucket) nextEnd() time.Time {
	first := b.openReservations.Front()
	if first == nil {
		return b.totals.nextExpiry
	}
	return instant.Earlier(first.Value.(*Reservation).deadline, b.totals.nextExpiry)
}

// refill counts the time since the last refill during which the configuration was fresh. The rest is lost, even if
// the configuration later proves to have been valid: requests that end meanwhile make room, and the lost refill
// would fill that room although the bucket would have overflowed long before.
func (b *bucket) refill(now, freshUntil time.Time) {
	until := now
	if freshUntil.Before(until) {
		until = freshUntil
	}
	if until.After(b.refilledAt) {
		grown := b.level + b.rate()*until.Sub(b.refilledAt).Seconds()
		b.level = min(grown, max(b.level, b.maxLevel()))
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}

// maxLevel returns the highest level that the capacity allows.
func (b *bucket) maxLevel() float64 {
	return max(b.own()+b.totals.borrowed-b.reserved, 0)
}

func (b *bucket) capLevel() {
	b.level = min(b.level, b.maxLevel())
}

// voidOverdue ends reservations past their deadline: their tokens no longer count as spendable.
func (b *bucket) voidOverdue(now time.Time) {
	for e := b.openReservations.Front(); e != nil; e = b.openReservations.Front() {
		r := e.Value.(*Reservation)
		if now.Before(r.deadline) {
			return
		}
		b.unreserve(r, r.remaining)
		r.close()
	}
}

// expireLoans expires loans in both directions. A loan that may no longer back new reservations continues to back
// the earlier ones; the rest of it is returned.
func (b *bucket) expireLoans(now time.Time) {
	if b.totals.nextExpiry.IsZero() || now.Before(b.totals.nextExpiry) {
		return
	}
	b.lent = slices.DeleteFunc(b.lent, func(l lentLoan) bool { return !now.Before(l.until) })
	for i := range b.borrowed {
		if l := &b.borrowed[i]; !l.draining && !now.Before(l.useUntil) {
			b.drain(l)
		}
	}
	for i := range b.borrowed {
		if l := &b.borrowed[i]; !now.Before(l.endsAt) {
			b.returnPart(l, l.amount)
		}
	}
	slices.SortStableFunc(b.borrowed, func(x, y borrowedLoan) int { return cmp.Compare(x.round, y.round) })
	b.updateTotals()
	b.capLevel()
}

// drain stops a loan from backing new reservations. What backs earlier reservations stays; the rest is returned.
func (b *bucket) drain(l *borrowedLoan) {
	kept := min(l.amount, max(b.reserved-b.totals.draining, 0))
	b.drainRound++
	l.draining, l.round, l.backed = true, b.drainRound, b.reserved
	b.totals.draining += l.amount
	b.returnPart(l, l.amount-kept)
}

// ---------------------------------------------------------------------------------------------
// Loans.

// returnSurplus returns borrowed capacity that the bucket's own capacity can replace, so that lenders can refill at
// once and not only when the loan expires. It keeps room for a little of the bucket's own refill: a bucket that
// returned all room after each token had none left for the refill before the next token, and the fleet lost 15% of
// the rate that way.
func (b *bucket) returnSurplus() {
	surplus := b.own() + b.totals.borrowed - max(b.level, 0) - b.reserved
	surplus = min(surplus-b.rate()*refillHeadroom.Seconds(), b.totals.borrowed)
	if surplus <= epsilon {
		return
	}
	for _, draining := range []bool{true, false} {
		for i := range b.borrowed {
			l := &b.borrowed[i]
			if l.draining == draining && surplus > 0 {
				amount := min(surplus, l.amount)
				b.returnPart(l, amount)
				surplus -= amount
			}
		}
	}
	b.updateTotals()
}

// returnPart returns a part of a loan. Tokens that have no room without it are returned too: a request that did not
// get all the tokens it needed, or needed fewer than it reserved, would otherwise destroy them. The caller must
// call updateTotals afterwards.
func (b *bucket) returnPart(l *borrowedLoan, amount float64) {
	if amount <= 0 {
		return
	}
	if l.amount-amount < epsilon {
		amount = l.amount
	}
	l.amount -= amount
	b.totals.borrowed -= amount
	if l.draining {
		b.totals.draining -= amount
	}
	unspent := min(max(b.level-b.maxLevel(), 0), amount)
	b.level -= unspent
	l.unspent += unspent
	if b.pendingReturns[l.lender] == nil {
		b.pendingReturns[l.lender] = map[string]LoanReturn{}
	}
	b.pendingReturns[l.lender][l.id] = LoanReturn{
		Workspace: b.workspace, Loan: l.id, Remaining: l.amount, Unspent: l.unspent,
	}
}

// reject returns a loan that was never used, both capacity and tokens.
func (b *bucket) reject(l borrowedLoan) {
	if b.pendingReturns[l.lender] == nil {
		b.pendingReturns[l.lender] = map[string]LoanReturn{}
	}
	b.pendingReturns[l.lender][l.id] = LoanReturn{Workspace: b.workspace, Loan: l.id, Unspent: l.amount}
}

// applyReturn processes a borrower's return of a loan. What earlier returns reported is counted only once.
func (b *bucket) applyReturn(borrower Identity, r LoanReturn) {
	for i := range b.lent {
		l := &b.lent[i]
		if l.id != r.Loan || l.borrower != borrower {
			continue
		}
		newlyReturned := min(max(r.Unspent-l.unspent, 0), l.amount)
		l.unspent += newlyReturned
		l.amount = min(l.amount, max(r.Remaining, 0))
		b.level += newlyReturned
	}
	b.updateTotals()
	b.capLevel()
}

// unreserve takes tokens out of a reservation, whether spent, refunded or void. The sum of the draining loans up to
// and including any one of them never exceeds what is left of the reservations made before it, so each is fully
// returned when the last of those reservations has ended.
func (b *bucket) unreserve(r *Reservation, tokens float64) {
	b.reserved = max(b.reserved-tokens, 0)
	if b.totals.draining <= 0 {
		return
	}
	sum := 0.0
	for i := range b.borrowed {
		l := &b.borrowed[i]
		if !l.draining {
			continue
		}
		if r.drainRound < l.round {
			l.backed -= tokens
		}
		if excess := sum + l.amount - max(l.backed, 0); excess > 0 {
			b.returnPart(l, min(excess, l.amount))
		}
		sum += l.amount
	}
	b.updateTotals()
}
