package rate

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Ledger keeps the buckets of one instance. Set the exported fields before the first call. It is safe
// for concurrent use, starts no goroutine and makes no call.
type Ledger struct {
	// Self is this process.
	Self Identity
	// Knowledge tells how far the installed head may be relied on.
	Knowledge Knowledge
	// UseWithin is how long borrowed tokens may back new reservations; equal on all instances.
	UseWithin time.Duration
	// Longest is how long a reservation may last; equal on all instances.
	Longest time.Duration

	mutex   sync.Mutex
	head    Head
	buckets map[string]*bucket
	settled int64
	loans   int64
}

// estimate is the most that a peer's bucket may have held at some moment.
type estimate struct {
	tokens float64
	at     time.Time
}

// ---------------------------------------------------------------------------------------------
// Heads.

// Install takes a head in. Call it before the head is installed in the Knowledge, so that the last
// stretch of time under the old head still counts. A head that is not newer changes nothing.
func (l *Ledger) Install(head Head) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if head.Revision <= l.head.Revision {
		return
	}
	before := l.head
	now := time.Now()
	for _, b := range l.buckets {
		l.advance(b)
		b.refilled = now
	}
	l.head = head
	l.head.Members, l.head.Limits = slices.Clone(head.Members), slices.Clone(head.Limits)
	if l.buckets == nil {
		l.buckets = map[string]*bucket{}
	}
	declared := map[string]bool{}
	for _, limit := range head.Limits {
		declared[limit.Workspace] = true
		l.declare(limit, before, now)
	}
	for name, b := range l.buckets {
		if !declared[name] {
			b.shares = append(b.shares, share{revision: head.Revision})
		}
		b.forgetEstimates(l.head.Members)
		b.clip()
		b.giveBackSurplus()
	}
}

// declare gives a workspace its share under the new head. One that appears while this process runs has
// been spent by nobody yet and starts full; all others start empty, since their tokens may lie with
// members that this process knows nothing of.
// The same goes for a process that was taken out of the members and added again: others may hold its
// old share meanwhile.
func (l *Ledger) declare(limit Limit, before Head, now time.Time) {
	next := share{revision: l.head.Revision, rate: limit.Rate, burst: limit.Burst, fraction: l.fraction()}
	nothing := share{revision: before.Revision, rate: limit.Rate, burst: limit.Burst}
	b, found := l.buckets[limit.Workspace]
	switch {
	case found && l.head.Since > before.Revision:
		b.shares = append(b.shares, nothing, next)
	case found && b.current().equal(next):
		return
	case found:
		b.shares = append(b.shares, next)
	case before.Revision == 0:
		b = newBucket(limit.Workspace, now)
		b.shares = []share{nothing, next}
	default:
		b = newBucket(limit.Workspace, now)
		b.shares = []share{next}
		b.level = b.capacity()
	}
	l.buckets[limit.Workspace] = b
}

// fraction is this process's part of each limit under the installed head.
func (l *Ledger) fraction() float64 {
	if !slices.Contains(l.head.Members, l.Self) {
		return 0
	}
	return 1 / float64(len(l.head.Members))
}

// ---------------------------------------------------------------------------------------------
// Requests.

// Reserve takes the most a request may cost out of the bucket, or refuses with a Refusal. Nothing waits.
// Made for a workspace at several times its rate: a refusal costs no message and one map lookup, so
// that the workspace's excess does not slow the others down.
func (l *Ledger) Reserve(workspace string, tokens float64) (reservation *Reservation, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b, err := l.usable(workspace)
	if err != nil {
		return nil, err
	}
	if burst := b.current().burst; tokens > burst {
		return nil, &TooLargeError{Tokens: tokens, Burst: burst}
	}
	if missing := tokens - b.level; missing > epsilon {
		return nil, l.short(b, missing)
	}
	b.level -= tokens
	b.reserved += tokens
	reservation = &Reservation{ledger: l, bucket: b, left: tokens, deadline: time.Now().Add(l.longest()), revision: l.head.Revision}
	reservation.element = b.open.PushBack(reservation)
	return reservation, nil
}

func (l *Ledger) short(b *bucket, missing float64) *ShortError {
	fleetRate := b.rate()
	elsewhere := 0.0
	for _, peer := range l.peers() {
		elsewhere += l.estimate(b, peer)
	}
	if fraction := b.current().fraction; fraction > 0 {
		fleetRate = b.current().rate
	}
	wait := time.Second
	if fleetRate > 0 {
		wait = time.Duration(max(missing-elsewhere, 0) / fleetRate * float64(time.Second))
	}
	return &ShortError{Missing: missing, RetryAfter: max(wait, time.Millisecond), WithinRate: elsewhere >= missing}
}

// usable finds a workspace's bucket and brings it to now, or refuses.
func (l *Ledger) usable(workspace string) (b *bucket, err error) {
	if cause := l.Knowledge.Fresh(); cause != nil {
		return nil, &StaleError{Cause: cause, RetryAfter: time.Second}
	}
	if revision, _ := l.Knowledge.FreshUntil(); revision > l.head.Revision {
		return nil, &StaleError{Cause: errBehind, RetryAfter: time.Second}
	}
	b, found := l.buckets[workspace]
	if !found || b.current().burst <= 0 {
		return nil, &UnknownError{Workspace: workspace}
	}
	l.advance(b)
	return b, nil
}

// advance brings a bucket to now.
func (l *Ledger) advance(b *bucket) {
	now := time.Now()
	revision, until := l.Knowledge.FreshUntil()
	if revision > l.head.Revision {
		until = time.Time{}
	}
	b.advance(now, until)
	b.settleShares(l.Knowledge.InForce(), l.settled, l.hold(), now)
	b.giveBackSurplus()
}

// ---------------------------------------------------------------------------------------------
// Borrowing.

// Plan lists whom to ask, in which order, for the tokens that the bucket lacks: those that may have
// most first. It is empty when the peers together cannot have them. Made for a skewed balancer, where
// one instance gets nearly all requests of a workspace; the estimates keep a workspace that is really
// over its rate from costing a round of messages for each refusal.
func (l *Ledger) Plan(workspace string, tokens float64) []Ask {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b, err := l.usable(workspace)
	if err != nil || tokens > b.current().burst {
		return nil
	}
	missing := tokens - b.level
	now := time.Now()
	var asks []Ask
	sum := 0.0
	for _, peer := range l.peers() {
		if most := l.estimate(b, peer); most > epsilon {
			asks = append(asks, Ask{Workspace: workspace, Peer: peer, Tokens: most, Began: now})
			sum += most
		}
	}
	if missing <= epsilon || sum < missing {
		return nil
	}
	slices.SortStableFunc(asks, func(a, b Ask) int { return cmp.Compare(b.Tokens, a.Tokens) })
	return asks
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

// Give lends tokens to a peer: at most what is in the bucket and what this instance owns. They are
// deducted before the answer is sent, so that a lost answer cannot make them count twice.
func (l *Ledger) Give(workspace string, tokens float64, borrower Identity) Loan {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b, err := l.usable(workspace)
	if err != nil {
		return Loan{Lender: l.Self}
	}
	amount := min(tokens, b.level, b.own())
	if amount <= epsilon {
		return Loan{Lender: l.Self}
	}
	l.loans++
	id := l.Self.Incarnation + "/" + strconv.FormatInt(l.loans, 10)
	b.level -= amount
	hold := l.hold()
	b.lent = append(b.lent, lent{
		id: id, borrower: borrower, amount: amount, until: time.Now().Add(hold + hold/holdMargin), revision: l.head.Revision,
	})
	return Loan{ID: id, Lender: l.Self, Tokens: amount}
}

// Receive takes in what a peer answered to an ask. An empty loan is news too: that peer has nothing.
// What comes too late to be used is given back.
func (l *Ledger) Receive(ask Ask, loan Loan) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b, found := l.buckets[ask.Workspace]
	if !found {
		return
	}
	l.advance(b)
	now := time.Now()
	left := l.estimate(b, ask.Peer) - loan.Tokens
	if loan.Tokens < ask.Tokens-epsilon {
		left = 0
	}
	b.estimates[ask.Peer] = estimate{tokens: max(left, 0), at: now}
	if loan.Tokens <= 0 {
		return
	}
	in := borrowed{
		id: loan.ID, lender: loan.Lender, amount: loan.Tokens,
		useUntil: ask.Began.Add(l.useWithin()), endsAt: ask.Began.Add(l.hold()),
	}
	if !now.Before(in.useUntil) || now.Sub(ask.Began) < 0 {
		b.giveBack(&in, in.amount)
		return
	}
	b.borrowed = append(b.borrowed, in)
	b.level += loan.Tokens
	b.giveBackSurplus()
}

// Returns lists what a peer should be told about its loans. The daemon sends it with its next message
// to the peer, or soon, and calls Returned once the peer has answered; until then it is listed again.
func (l *Ledger) Returns(peer Identity) []Return {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var list []Return
	for _, b := range l.buckets {
		l.advance(b)
		for id, remaining := range b.returns[peer] {
			list = append(list, Return{Workspace: b.workspace, Loan: id, Remaining: remaining})
		}
	}
	return list
}

// Returned says that the peer has taken the returns in.
func (l *Ledger) Returned(peer Identity, returns []Return) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, r := range returns {
		b, found := l.buckets[r.Workspace]
		if !found {
			continue
		}
		if remaining, waiting := b.returns[peer][r.Loan]; waiting && remaining == r.Remaining {
			delete(b.returns[peer], r.Loan)
		}
	}
}

// Release takes in what a borrower told about loans of this process.
func (l *Ledger) Release(borrower Identity, returns []Return) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, r := range returns {
		b, found := l.buckets[r.Workspace]
		if !found {
			continue
		}
		l.advance(b)
		for i := range b.lent {
			if b.lent[i].id == r.Loan && b.lent[i].borrower == borrower {
				b.lent[i].amount = min(b.lent[i].amount, max(r.Remaining, 0))
			}
		}
		b.lent = slices.DeleteFunc(b.lent, func(l lent) bool { return l.amount <= 0 })
	}
}

// ---------------------------------------------------------------------------------------------
// Estimates.

func (l *Ledger) peers() []Identity {
	return slices.DeleteFunc(slices.Clone(l.head.Members), func(id Identity) bool { return id == l.Self })
}

// estimate is the most a peer may have now: what it may have had, plus its refill since, at most its
// share.
func (l *Ledger) estimate(b *bucket, peer Identity) float64 {
	s := b.current()
	part := 1 / float64(max(len(l.head.Members), 1))
	known, found := b.estimates[peer]
	if !found {
		return s.burst * part
	}
	return min(s.burst*part, known.tokens+s.rate*part*time.Since(known.at).Seconds())
}

func (b *bucket) forgetEstimates(members []Identity) {
	for peer := range b.estimates {
		if !slices.Contains(members, peer) {
			delete(b.estimates, peer)
		}
	}
}

func (l *Ledger) useWithin() time.Duration {
	if l.UseWithin > 0 {
		return l.UseWithin
	}
	return UseWithin
}

func (l *Ledger) longest() time.Duration {
	if l.Longest > 0 {
		return l.Longest
	}
	return Longest
}

// hold is the whole life of a loan: it may back reservations made within useWithin, and each of those
// ends within longest.
func (l *Ledger) hold() time.Duration {
	return l.useWithin() + l.longest()
}
