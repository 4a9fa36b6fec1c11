package rate

import (
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

// amounts below this are rounding, not tokens.
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
	until    time.Time
	revision int64
}

// borrowed is a loan from a peer.
type borrowed struct {
	id       string
	lender   Identity
	amount   float64
	useUntil time.Time
	endsAt   time.Time
	draining bool
}

type bucket struct {
	workspace string
	level     float64
	reserved  float64
	refilled  time.Time
	shares    []share
	lingering []linger
	lent      []lent
	borrowed  []borrowed
	open      *list.List // of *Reservation, in the order of their deadlines
	returns   map[Identity]map[string]float64
	estimates map[Identity]estimate
}

func newBucket(workspace string, now time.Time) *bucket {
	return &bucket{
		workspace: workspace,
		refilled:  now,
		open:      list.New(),
		returns:   map[Identity]map[string]float64{},
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

// own is the capacity that is neither lent nor borrowed.
func (b *bucket) own() float64 {
	own := b.capacity()
	for _, l := range b.lent {
		own -= l.amount
	}
	return max(own, 0)
}

func (b *bucket) loans() float64 {
	sum := 0.0
	for _, l := range b.borrowed {
		sum += l.amount
	}
	return sum
}

func (b *bucket) draining() float64 {
	sum := 0.0
	for _, l := range b.borrowed {
		if l.draining {
			sum += l.amount
		}
	}
	return sum
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

func (b *bucket) refill(now, freshUntil time.Time) {
	until := now
	if freshUntil.Before(until) {
		until = freshUntil
	}
	if !until.After(b.refilled) {
		return
	}
	grown := b.level + b.rate()*until.Sub(b.refilled).Seconds()
	b.level = min(grown, max(b.level, b.room()))
	b.refilled = until
}

// room is the highest level that the capacity allows.
func (b *bucket) room() float64 {
	return max(b.own()+b.loans()-b.reserved, 0)
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
		b.unreserve(r.left)
		r.close()
	}
}

// expireLoans lets loans of both directions run out. A loan whose time for new reservations is over
// goes on backing what was reserved before; the rest of it goes back, and unreserved tokens that have
// no place any more are lost.
func (b *bucket) expireLoans(now time.Time) {
	b.lent = slices.DeleteFunc(b.lent, func(l lent) bool { return !now.Before(l.until) })
	for i := range b.borrowed {
		l := &b.borrowed[i]
		if l.draining || now.Before(l.useUntil) {
			continue
		}
		kept := min(l.amount, max(b.reserved-b.draining(), 0))
		b.giveBack(l, l.amount-kept)
		l.draining = true
	}
	for i := range b.borrowed {
		if !now.Before(b.borrowed[i].endsAt) {
			b.giveBack(&b.borrowed[i], b.borrowed[i].amount)
		}
	}
	b.dropEmpty()
	b.clip()
}

// ---------------------------------------------------------------------------------------------
// Loans.

// giveBackSurplus returns borrowed capacity that the bucket's own can hold, so that lenders can fill
// up again at once and not only when the loan's life is over.
func (b *bucket) giveBackSurplus() {
	surplus := b.own() + b.loans() - max(b.level, 0) - b.reserved
	surplus = min(surplus, b.loans())
	for _, draining := range []bool{true, false} {
		for i := range b.borrowed {
			l := &b.borrowed[i]
			if l.draining != draining || surplus <= epsilon {
				continue
			}
			amount := min(surplus, l.amount)
			b.giveBack(l, amount)
			surplus -= amount
		}
	}
	b.dropEmpty()
}

func (b *bucket) giveBack(l *borrowed, amount float64) {
	if amount <= 0 {
		return
	}
	l.amount -= amount
	if l.amount < epsilon {
		l.amount = 0
	}
	if b.returns[l.lender] == nil {
		b.returns[l.lender] = map[string]float64{}
	}
	b.returns[l.lender][l.id] = l.amount
}

func (b *bucket) dropEmpty() {
	b.borrowed = slices.DeleteFunc(b.borrowed, func(l borrowed) bool { return l.amount <= 0 })
}

// unreserve takes tokens out of the reserved ones, whether spent, refunded or void. Draining loans
// shrink first and by as much, oldest first: that keeps them within what the reservations made before
// still hold.
func (b *bucket) unreserve(tokens float64) {
	b.reserved = max(b.reserved-tokens, 0)
	for i := range b.borrowed {
		l := &b.borrowed[i]
		if l.draining && tokens > 0 {
			amount := min(tokens, l.amount)
			b.giveBack(l, amount)
			tokens -= amount
		}
	}
	b.dropEmpty()
}
