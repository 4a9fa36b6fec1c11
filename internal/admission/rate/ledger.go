package rate

import (
	"slices"
	"sync"
	"time"
)

// Ledger keeps the buckets of one instance. Set the exported fields before the first call. It is safe
// for concurrent use, starts no goroutine and makes no call.
type Ledger struct {
	// Self is this process.
	Self Identity
	// Freshness tells how far the installed head may be relied on.
	Freshness Freshness
	// LoanUseWindow is how long borrowed tokens may back new reservations; equal on all instances.
	LoanUseWindow time.Duration
	// MaxReservationTime is how long a reservation may last; equal on all instances.
	MaxReservationTime time.Duration

	mutex   sync.Mutex
	head    Head
	buckets map[string]*bucket
	settled int64
	loans   int64
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
	b.used = time.Now()
	if burst := b.current().burst; tokens > burst {
		return nil, &ExceedsBurstError{Tokens: tokens, Burst: burst}
	}
	if missing := tokens - b.level; missing > epsilon {
		return nil, l.short(b, missing)
	}
	b.level -= tokens
	b.reserved += tokens
	reservation = &Reservation{
		ledger: l, bucket: b, left: tokens, deadline: time.Now().Add(l.maxReservationTime()),
		round: b.round, revision: l.head.Revision,
	}
	reservation.element = b.open.PushBack(reservation)
	return reservation, nil
}

func (l *Ledger) short(b *bucket, missing float64) *InsufficientTokensError {
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
	return &InsufficientTokensError{
		Missing: missing, RetryAfter: max(wait, time.Millisecond), WithinRate: elsewhere >= missing,
		Level: b.level, OwnCapacity: b.own(), PeerTokens: elsewhere, PendingShares: len(b.shares) - 1,
	}
}

// usable finds a workspace's bucket and brings it to now, or refuses.
func (l *Ledger) usable(workspace string) (b *bucket, err error) {
	if cause := l.Freshness.Fresh(); cause != nil {
		return nil, &StaleError{Cause: cause, RetryAfter: time.Second}
	}
	if revision, _ := l.Freshness.FreshUntil(); revision > l.head.Revision {
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
	revision, until := l.Freshness.FreshUntil()
	if revision > l.head.Revision {
		until = time.Time{}
	}
	b.advance(now, until)
	b.settleShares(l.Freshness.InForce(), l.settled, l.hold(), now)
	b.giveBackSurplus()
}

func (l *Ledger) loanUseWindow() time.Duration {
	if l.LoanUseWindow > 0 {
		return l.LoanUseWindow
	}
	return LoanUseWindow
}

func (l *Ledger) maxReservationTime() time.Duration {
	if l.MaxReservationTime > 0 {
		return l.MaxReservationTime
	}
	return MaxReservationTime
}

// hold is the whole life of a loan: it may back reservations made within useWithin, and each of those
// ends within longest.
func (l *Ledger) hold() time.Duration {
	return l.loanUseWindow() + l.maxReservationTime()
}
