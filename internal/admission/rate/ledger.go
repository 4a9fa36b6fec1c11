package rate

import (
	"slices"
	"sync"
	"time"
)

// Ledger keeps the buckets of one instance. Set the exported fields before the first call. It is safe for
// concurrent use, starts no goroutines and makes no remote calls.
type Ledger struct {
	// Self identifies this process.
	Self Identity
	// Freshness reports whether the installed head may be relied on.
	Freshness Freshness
	// LoanUseWindow is how long borrowed tokens may back new reservations. It must be equal on all instances.
	LoanUseWindow time.Duration
	// MaxReservationTime is the maximum duration of a reservation. It must be equal on all instances.
	MaxReservationTime time.Duration

	mutex    sync.Mutex
	head     Head
	buckets  map[string]*bucket
	settled  int64
	lastLoan int64
}

// ---------------------------------------------------------------------------------------------
// Heads.

// Install installs a head. Call it before the same head is installed in the freshness tracker, so that the time
// under the old head up to now still counts. A head that is not newer changes nothing.
func (l *Ledger) Install(head Head) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if head.Revision <= l.head.Revision {
		return
	}
	before := l.head
	now := time.Now()
	isContinuous := l.isContinuous(head)
	for _, b := range l.buckets {
		l.advance(b)
		b.refilledAt = now
	}
	l.head = head
	l.head.Members, l.head.Limits = slices.Clone(head.Members), slices.Clone(head.Limits)
	if l.buckets == nil {
		l.buckets = map[string]*bucket{}
	}
	declared := map[string]bool{}
	for _, limit := range head.Limits {
		declared[limit.Workspace] = true
		l.declare(limit, before, isContinuous, now)
	}
	for name, b := range l.buckets {
		if !declared[name] {
			b.shares = append(b.shares, share{revision: head.Revision})
		}
		b.pruneEstimates(l.head.Members)
		b.capLevel()
		b.returnSurplus()
	}
}

// isContinuous reports whether this process knows every share that was in force since the installed head, so that its
// buckets may keep their tokens under the next one. It may miss a head that it skips. None of the skipped heads was in
// force if the installed one may still be relied on. Otherwise one of them may have lowered the limit or added members,
// and the others spend what that took away from this process. A process that was removed from the members and added
// again has missed the heads between.
func (l *Ledger) isContinuous(next Head) bool {
	if l.head.Revision == 0 || next.Since > l.head.Revision {
		return false
	}
	revision, _ := l.Freshness.FreshUntil()
	return next.Revision == l.head.Revision+1 || revision == l.head.Revision && l.Freshness.Fresh() == nil
}

// declare assigns a workspace its share under the new head. A workspace that is declared while this process runs
// has not been spent by any instance yet and starts full. All others start empty, since their tokens may be held by
// members that this process has no information about. The same applies to all buckets of a process that may have
// missed a head that was in force: others may hold its old share meanwhile.
func (l *Ledger) declare(limit Limit, before Head, isContinuous bool, now time.Time) {
	next := share{revision: l.head.Revision, rate: limit.Rate, burst: limit.Burst, fraction: l.fraction(l.head)}
	emptyShare := share{revision: before.Revision, rate: limit.Rate, burst: limit.Burst}
	b, found := l.buckets[limit.Workspace]
	switch {
	case found && !isContinuous:
		b.shares = append(b.shares, emptyShare, next)
	case found && b.current().equal(next):
		return
	case found:
		b.shares = append(b.shares, next)
	case !isContinuous:
		b = newBucket(limit.Workspace, now)
		b.shares = []share{emptyShare, next}
	default:
		b = newBucket(limit.Workspace, now)
		// A skipped head may have declared the workspace before a member was removed, which may still spend its share.
		earlier := next
		earlier.revision, earlier.fraction = before.Revision, l.fraction(before)
		b.shares = []share{earlier, next}
		if earlier.fraction >= next.fraction {
			b.shares = b.shares[1:]
		}
		b.level = b.capacity()
	}
	l.buckets[limit.Workspace] = b
}

// fraction returns this process's fraction of each limit under a head.
func (l *Ledger) fraction(head Head) float64 {
	if !slices.Contains(head.Members, l.Self) {
		return 0
	}
	return 1 / float64(len(head.Members))
}

// ---------------------------------------------------------------------------------------------
// Requests.

// Reserve takes the maximum cost of a request out of the bucket, or refuses with a Refusal. It does not wait. A
// refusal costs no message and one map lookup, so that the excess of a workspace at several times its rate does not
// slow down the others.
func (l *Ledger) Reserve(workspace string, tokens float64) (reservation *Reservation, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	b, err := l.usableBucket(workspace)
	if err != nil {
		return nil, err
	}
	b.lastUsed = time.Now()
	if burst := b.current().burst; tokens > burst {
		return nil, &ExceedsBurstError{Tokens: tokens, Burst: burst}
	}
	if missing := tokens - b.level; missing > epsilon {
		return nil, l.insufficientTokens(b, missing)
	}
	b.level -= tokens
	b.reserved += tokens
	reservation = &Reservation{
		ledger: l, bucket: b, remaining: tokens, deadline: time.Now().Add(l.maxReservationTime()),
		drainRound: b.drainRound, revision: l.head.Revision,
	}
	reservation.element = b.openReservations.PushBack(reservation)
	return reservation, nil
}

func (l *Ledger) insufficientTokens(b *bucket, missing float64) *InsufficientTokensError {
	fleetRate := b.rate()
	peerTokens := 0.0
	for _, peer := range l.peers() {
		peerTokens += l.estimate(b, peer)
	}
	if fraction := b.current().fraction; fraction > 0 {
		fleetRate = b.current().rate
	}
	wait := time.Second
	if fleetRate > 0 {
		wait = time.Duration(max(missing-peerTokens, 0) / fleetRate * float64(time.Second))
	}
	return &InsufficientTokensError{
		Missing: missing, RetryAfter: max(wait, time.Millisecond), WithinRate: peerTokens >= missing,
		Level: b.level, OwnCapacity: b.own(), PeerTokens: peerTokens, PendingShares: len(b.shares) - 1,
	}
}

// usableBucket returns a workspace's bucket, advanced to the current time, or a Refusal.
func (l *Ledger) usableBucket(workspace string) (b *bucket, err error) {
	if cause := l.Freshness.Fresh(); cause != nil {
		return nil, &StaleError{Cause: cause, RetryAfter: time.Second}
	}
	if revision, _ := l.Freshness.FreshUntil(); revision > l.head.Revision {
		return nil, &StaleError{Cause: errHeadNotInstalled, RetryAfter: time.Second}
	}
	b, found := l.buckets[workspace]
	if !found || b.current().burst <= 0 {
		return nil, &UnknownWorkspaceError{Workspace: workspace}
	}
	l.advance(b)
	return b, nil
}

// advance brings a bucket up to the current time.
func (l *Ledger) advance(b *bucket) {
	now := time.Now()
	revision, until := l.Freshness.FreshUntil()
	if revision > l.head.Revision {
		until = time.Time{}
	}
	b.advance(now, until)
	b.retireShares(l.Freshness.InForce(), l.settled, l.loanLifetime(), now)
	b.returnSurplus()
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

// loanLifetime returns the maximum lifetime of a loan: it may back new reservations for the use window, and each of
// those ends within the maximum duration of a reservation.
func (l *Ledger) loanLifetime() time.Duration {
	return l.loanUseWindow() + l.maxReservationTime()
}
