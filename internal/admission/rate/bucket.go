package rate

import (
	"cmp"
	"container/list"
	"slices"
	"time"
)

// This file holds one workspace's bucket on one instance. Its rule, kept by every method: level and
// reserved together are at most own + usable + draining, where own is the instance's share less what it
// lent, usable the loans that may back new reservations, and draining the loans that back only
// reservations made before. Draining is never more than what those still hold.

// holdMargin is the part of a loan's life added before the lender takes the capacity back by itself,
// for clocks that run at different rates.
const holdMargin = 20

// keepRoomFor is for how long the refill finds room without more being spent. It spans the gaps between
// tokens of slow streams; no measured reason yet for the exact figure.
const keepRoomFor = 250 * time.Millisecond

// epsilon is the amount below which a difference is rounding and not tokens.
const epsilon = 1e-6

// share is the instance's part of a workspace's limit as one head has it.
type share struct {
	revision int64
	rate     float64
	burst    float64
	fraction float64
}

// linger keeps a smaller fraction for the capacity after the head that raised it is in force.
type linger struct {
	fraction float64
	revision int64
	until    time.Time
}

// lent is a loan to a peer. Until is when the borrower cannot spend it any more.
type lent struct {
	id       string
	borrower Identity
	amount   float64
	unspent  float64 // what the borrower gave back unspent, in all
	until    time.Time
	revision int64
}

// borrowed is a loan from a peer.
type borrowed struct {
	id       string
	lender   Identity
	amount   float64
	unspent  float64 // what was given back unspent, in all
	useUntil time.Time
	endsAt   time.Time
	draining bool
	revision int64
	// round orders draining loans; backs is what is left of the reservations made before it.
	round int
	backs float64
}

type bucket struct {
	workspace string
	level     float64
	reserved  float64
	refilled  time.Time
	used      time.Time
	shares    []share
	lingering []linger
	lent      []lent
	borrowed  []borrowed
	sums      sums
	round     int
	open      *list.List // of *Reservation, in the order of their deadlines
	returns   map[Identity]map[string]LoanReturn
	estimates map[Identity]estimate
}

func newBucket(workspace string, now time.Time) *bucket {
	return &bucket{
		workspace: workspace,
		refilled:  now,
		open:      list.New(),
		returns:   map[Identity]map[string]LoanReturn{},
		estimates: map[Identity]estimate{},
	}
}

// ---------------------------------------------------------------------------------------------
// Shares.

func (s share) equal(other share) bool {
	s.revision = other.revision
	return s == other
}

// current is the newest declared limit.
func (b *bucket) current() share {
	return b.shares[len(b.shares)-1]
}

// rate is the refill in tokens a second: the smallest of the shares that may be in force somewhere.
func (b *bucket) rate() float64 {
	rate, fraction := b.current().rate, b.current().fraction
	for _, s := range b.shares {
		rate, fraction = min(rate, s.rate), min(fraction, s.fraction)
	}
	return rate * fraction
}

// capacity is the instance's share of the burst, before lending.
func (b *bucket) capacity() float64 {
	burst, fraction := b.current().burst, b.current().fraction
	for _, s := range b.shares {
		burst, fraction = min(burst, s.burst), min(fraction, s.fraction)
	}
	for _, l := range b.lingering {
		fraction = min(fraction, l.fraction)
	}
	return burst * fraction
}

// sums are kept beside the loans, since each token asks for them; due is when the next loan runs out.
type sums struct {
	lent     float64
	borrowed float64
	draining float64
	due      time.Time
}

// sumUp drops the loans that are over and adds up the others. Every change of the loans ends with it.
func (b *bucket) sumUp() {
	b.lent = slices.DeleteFunc(b.lent, func(l lent) bool { return l.amount <= 0 })
	b.borrowed = slices.DeleteFunc(b.borrowed, func(l borrowed) bool { return l.amount <= 0 })
	b.sums = sums{}
	for _, l := range b.lent {
		b.sums.lent += l.amount
		b.sums.sooner(l.until)
	}
	for _, l := range b.borrowed {
		b.sums.borrowed += l.amount
		if l.draining {
			b.sums.draining += l.amount
			b.sums.sooner(l.endsAt)
			continue
		}
		b.sums.sooner(l.useUntil)
	}
}

func (s *sums) sooner(at time.Time) {
	if s.due.IsZero() || at.Before(s.due) {
		s.due = at
	}
}

// own is the capacity that is neither lent nor borrowed.
func (b *bucket) own() float64 {
	return max(b.capacity()-b.sums.lent, 0)
}

// settleShares drops the shares that are no longer in force anywhere. Their fraction lingers in the
// capacity until every reservation made under them has ended: an instance whose share shrank cannot
// take back what its running requests hold, and another must not fill up meanwhile.
func (b *bucket) settleShares(inForce, settled int64, hold time.Duration, now time.Time) {
	for len(b.shares) > 1 && b.shares[1].revision <= inForce {
		if b.shares[0].fraction < b.shares[1].fraction {
			b.lingering = append(b.lingering, linger{
				fraction: b.shares[0].fraction, revision: b.shares[1].revision, until: now.Add(hold + hold/holdMargin),
			})
		}
		b.shares = b.shares[1:]
	}
	b.lingering = slices.DeleteFunc(b.lingering, func(l linger) bool {
		return l.revision <= settled || !now.Before(l.until)
	})
}

// ---------------------------------------------------------------------------------------------
// Time.

// advance brings the bucket to now. Refill comes first, at the shares that held until now, into the
// room that spending made; only then shares grow and loans are given back.
func (b *bucket) advance(now, freshUntil time.Time) {
	b.voidOverdue(now)
	b.expireLoans(now)
	b.refill(now, freshUntil)
}

// refill counts the time since the last refill, as far as the knowledge was fresh. The rest is lost, also when
// the knowledge turns out to have held: requests that end meanwhile make room, and refill from before would fill
// it that an open bucket would long have run over with.
func (b *bucket) refill(now, freshUntil time.Time) {
	until := now
	if freshUntil.Before(until) {
		until = freshUntil
	}
	if until.After(b.refilled) {
		grown := b.level + b.rate()*until.Sub(b.refilled).Seconds()
		b.level = min(grown, max(b.level, b.room()))
	}
	if now.After(b.refilled) {
		b.refilled = now
	}
}

// room is the highest level that the capacity allows.
func (b *bucket) room() float64 {
	return max(b.own()+b.sums.borrowed-b.reserved, 0)
}

func (b *bucket) clip() {
	b.level = min(b.level, b.room())
}

// voidOverdue ends reservations that outlived Longest: their tokens no longer count as spendable.
func (b *bucket) voidOverdue(now time.Time) {
	for e := b.open.Front(); e != nil; e = b.open.Front() {
		r := e.Value.(*Reservation)
		if now.Before(r.deadline) {
			return
		}
		b.unreserve(r, r.left)
		r.close()
	}
}

// expireLoans lets loans of both directions run out. A loan whose time for new reservations is over
// goes on backing what was reserved before; the rest of it goes back.
func (b *bucket) expireLoans(now time.Time) {
	if b.sums.due.IsZero() || now.Before(b.sums.due) {
		return
	}
	b.lent = slices.DeleteFunc(b.lent, func(l lent) bool { return !now.Before(l.until) })
	for i := range b.borrowed {
		if l := &b.borrowed[i]; !l.draining && !now.Before(l.useUntil) {
			b.drain(l)
		}
	}
	for i := range b.borrowed {
		if l := &b.borrowed[i]; !now.Before(l.endsAt) {
			b.giveBack(l, l.amount)
		}
	}
	slices.SortStableFunc(b.borrowed, func(x, y borrowed) int { return cmp.Compare(x.round, y.round) })
	b.sumUp()
	b.clip()
}

// drain ends a loan's time for new reservations. What it backs of those made before stays; the rest
// goes back.
func (b *bucket) drain(l *borrowed) {
	kept := min(l.amount, max(b.reserved-b.sums.draining, 0))
	b.round++
	l.draining, l.round, l.backs = true, b.round, b.reserved
	b.sums.draining += l.amount
	b.giveBack(l, l.amount-kept)
}

// ---------------------------------------------------------------------------------------------
// Loans.

// giveBackSurplus returns borrowed capacity that the bucket's own can hold, so that lenders can fill
// up again at once and not only when the loan's life is over. It keeps room for a little of the
// bucket's own refill: a bucket that gave all room away after each token found none for the refill that
// came before the next, and the fleet lost 15% of the rate that way.
func (b *bucket) giveBackSurplus() {
	surplus := b.own() + b.sums.borrowed - max(b.level, 0) - b.reserved
	surplus = min(surplus-b.rate()*keepRoomFor.Seconds(), b.sums.borrowed)
	if surplus <= epsilon {
		return
	}
	for _, draining := range []bool{true, false} {
		for i := range b.borrowed {
			l := &b.borrowed[i]
			if l.draining == draining && surplus > 0 {
				amount := min(surplus, l.amount)
				b.giveBack(l, amount)
				surplus -= amount
			}
		}
	}
	b.sumUp()
}

// giveBack returns a part of a loan. Tokens that have no room without it go back too: a request that
// did not get all it needed, or needed less than it reserved, would otherwise destroy them. The caller
// sums up afterwards.
func (b *bucket) giveBack(l *borrowed, amount float64) {
	if amount <= 0 {
		return
	}
	if l.amount-amount < epsilon {
		amount = l.amount
	}
	l.amount -= amount
	b.sums.borrowed -= amount
	if l.draining {
		b.sums.draining -= amount
	}
	unspent := min(max(b.level-b.room(), 0), amount)
	b.level -= unspent
	l.unspent += unspent
	if b.returns[l.lender] == nil {
		b.returns[l.lender] = map[string]LoanReturn{}
	}
	b.returns[l.lender][l.id] = LoanReturn{
		Workspace: b.workspace, Loan: l.id, Remaining: l.amount, Unspent: l.unspent,
	}
}

// refuse returns a loan that was never taken in, capacity and tokens.
func (b *bucket) refuse(l borrowed) {
	if b.returns[l.lender] == nil {
		b.returns[l.lender] = map[string]LoanReturn{}
	}
	b.returns[l.lender][l.id] = LoanReturn{Workspace: b.workspace, Loan: l.id, Unspent: l.amount}
}

// takeBack takes in what a borrower told about a loan; what was told before counts only once.
func (b *bucket) takeBack(borrower Identity, r LoanReturn) {
	for i := range b.lent {
		l := &b.lent[i]
		if l.id != r.Loan || l.borrower != borrower {
			continue
		}
		credit := min(max(r.Unspent-l.unspent, 0), l.amount)
		l.unspent += credit
		l.amount = min(l.amount, max(r.Remaining, 0))
		b.level += credit
	}
	b.sumUp()
	b.clip()
}

// unreserve takes tokens out of a reservation, whether spent, refunded or void. The draining loans up to
// any one of them together never exceed what is left of the reservations made before it; so each is
// back when the last of those has ended.
func (b *bucket) unreserve(r *Reservation, tokens float64) {
	b.reserved = max(b.reserved-tokens, 0)
	if b.sums.draining <= 0 {
		return
	}
	sum := 0.0
	for i := range b.borrowed {
		l := &b.borrowed[i]
		if !l.draining {
			continue
		}
		if r.round < l.round {
			l.backs -= tokens
		}
		if excess := sum + l.amount - max(l.backs, 0); excess > 0 {
			b.giveBack(l, min(excess, l.amount))
		}
		sum += l.amount
	}
	b.sumUp()
}
