package freshness

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/timing/instant"
)

// This file holds the Tracker: inputs arrive through Install, RecordRead, RecordReadFailure, RecordReply,
// RecordHeartbeat, MergeReportBitmap and MarkEnded, and queries are answered from them. It starts no goroutine and
// makes no call.

// Tracker records what one instance knows and since when. Set the exported fields before the first call; zero durations
// and counts use the defaults. It is safe for concurrent use.
type Tracker struct {
	// Self is this process. It is fresh only while its head lists it.
	Self Member
	// Bound is how long a confirmation lasts. It must be equal on all instances.
	Bound time.Duration
	// ReadInterval is the interval between two reads of the store by a reader.
	ReadInterval time.Duration
	// Readers is how many instances read the store regularly.
	Readers int

	mutex     sync.Mutex
	head      Head
	installed time.Time
	changed   chan struct{}
	// lastReadConfirmation is the newest confirmation of the head's revision by a read of the store, our own or
	// relayed. newerConfirmation is the same for a revision that is not installed yet.
	lastReadConfirmation time.Time
	newerConfirmation    confirmation
	// lastMajorityConfirmation is the start of the newest confirmation by a majority.
	lastMajorityConfirmation time.Time
	reports                  map[identity]Status
	lastReplies              map[identity]heartbeatReply
	highestReported          int64
	pending                  []pendingRevision
	inForce                  int64
	departed                 map[identity]int64
	// missedDepartures is the revision up to which members may have left without this process seeing it.
	missedDepartures  int64
	lastRead          time.Time
	lastReadSucceeded bool
}

// maxPending limits the revisions kept while none comes into force. Dropping the oldest is safe: it comes into force
// with any newer one.
const maxPending = 256

type identity struct {
	name        string
	incarnation string
}

type confirmation struct {
	revision    int64
	confirmedAt time.Time
}

// heartbeatReply is when the newest heartbeat that a member answered was sent, and the revision that it reported.
type heartbeatReply struct {
	sentAt   time.Time
	revision int64
}

// pendingRevision is an installed revision that is not known to be in force everywhere. majorityAt is when a majority
// had reported it; zero before that.
type pendingRevision struct {
	revision   int64
	majorityAt time.Time
}

func (m Member) identity() identity {
	return identity{name: m.Name, incarnation: m.Incarnation}
}

// ---------------------------------------------------------------------------------------------
// Inputs.

// Install records that a head is in force in this process from now on. A head that is not newer than the installed one
// changes nothing. A confirmation of the older head also holds for the newer one: at that time no higher revision was
// in force everywhere.
func (t *Tracker) Install(head Head) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if head.Revision <= t.head.Revision {
		return
	}
	t.recordDepartures(head)
	t.head = Head{Revision: head.Revision, Epoch: head.Epoch, Members: slices.Clone(head.Members)}
	t.installed = time.Now()
	if t.newerConfirmation.revision == head.Revision {
		t.lastReadConfirmation = instant.Later(t.lastReadConfirmation, t.newerConfirmation.confirmedAt)
	}
	t.newerConfirmation = confirmation{}
	t.highestReported = max(t.highestReported, head.Revision)
	t.pending = append(t.pending, pendingRevision{revision: head.Revision})
	if len(t.pending) > maxPending {
		t.pending = slices.Delete(t.pending, 0, 1)
	}
	t.recordReport(t.Self, head.Revision, time.Now())
	t.dropUnrelatedProcesses()
	t.advanceInForce(time.Now())
}

// RecordRead records that a read of the store which started at that time returned the revision as the newest.
func (t *Tracker) RecordRead(startedAt time.Time, revision int64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.lastRead, t.lastReadSucceeded = startedAt, true
	t.recordConfirmation(startedAt, revision)
	t.advanceInForce(time.Now())
}

// RecordReadFailure records that a read of the store which started at that time failed.
func (t *Tracker) RecordReadFailure(startedAt time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.lastRead, t.lastReadSucceeded = startedAt, false
}

// RecordReply records a peer's reply to a heartbeat. The daemon sends heartbeats to every member. A reply counts for
// the process that sent it and for no other of the same name.
func (t *Tracker) RecordReply(reply Reply) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	t.highestReported = max(t.highestReported, reply.Revision)
	if reply.ConfirmedAge >= 0 {
		t.recordConfirmation(reply.SentAt.Add(-reply.ConfirmedAge), reply.Revision)
	}
	t.markReplacedMembers(reply)
	id := reply.Member.identity()
	if t.isRelevant(id) {
		t.recordReport(reply.Member, reply.Revision, now)
		if known := t.lastReplies[id]; reply.SentAt.After(known.sentAt) {
			t.lastReplies[id] = heartbeatReply{sentAt: reply.SentAt, revision: reply.Revision}
		}
		t.confirmByMajority(now)
	}
	t.advanceInForce(now)
}

// RecordHeartbeat records that a process has reported its revision without being asked, in a heartbeat of its own. The
// report counts towards the revision being in force everywhere and may show that there is a newer one. It confirms
// nothing, since it may have been in transit for long. It does not show that another process of the same name has
// ended: that may still be running anywhere.
func (t *Tracker) RecordHeartbeat(member Member, revision int64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.highestReported = max(t.highestReported, revision)
	now := time.Now()
	if t.isRelevant(member.identity()) {
		t.recordReport(member, revision, now)
	}
	t.advanceInForce(now)
}

// MarkEnded records that a process has certainly ended, so that it counts as having reported every revision. The caller
// must be sure: a process that only does not answer may be frozen, and would be fresh again by a majority of such
// processes. Without this call, a fleet whose processes were all restarted could not change its members at all, since
// the majority of the old head will never answer.
func (t *Tracker) MarkEnded(member Member) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.recordReport(member, math.MaxInt64, time.Now())
	t.advanceInForce(time.Now())
}

// ---------------------------------------------------------------------------------------------
// Queries.

// Fresh returns nil while the configuration may be used, otherwise a *StaleError. Call it at the moment of use.
func (t *Tracker) Fresh() error {
	return t.FreshAt(time.Now())
}

// FreshAt is Fresh for a time that the caller has just read from the clock.
func (t *Tracker) FreshAt(now time.Time) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.isMember(t.Self.identity()) {
		return &StaleError{Revision: t.head.Revision, NotMember: true, RetryAfter: t.readInterval()}
	}
	age := elapsed(t.confirmedAt(), now)
	if age >= t.bound() {
		return &StaleError{Revision: t.head.Revision, Age: age, RetryAfter: t.readInterval()}
	}
	return nil
}

// Basis describes why an instance is fresh or stale.
type Basis struct {
	// Fresh reports whether the configuration may be used.
	Fresh bool
	// Revision is the installed revision, and Highest the highest that any peer has reported.
	Revision int64
	Highest  int64
	// ReadAge and MajorityAge are the ages of the last confirmations of the revision by a read of the store and by a
	// majority of members; negative if there was none.
	ReadAge     time.Duration
	MajorityAge time.Duration
}

// Basis returns why the instance is fresh or stale now, for the log.
func (t *Tracker) Basis() Basis {
	fresh := t.Fresh() == nil
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	return Basis{
		Fresh: fresh, Revision: t.head.Revision, Highest: t.highestReported,
		ReadAge: ageOf(t.lastReadConfirmation, now), MajorityAge: ageOf(t.lastMajorityConfirmation, now),
	}
}

func ageOf(at, now time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return elapsed(at, now)
}

// FreshUntil returns the installed revision and the time until which it may be used without further confirmation; the
// zero time if it may not be used at all.
func (t *Tracker) FreshUntil() (revision int64, until time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	at := t.confirmedAt()
	if at.IsZero() || !t.isMember(t.Self.identity()) {
		return t.head.Revision, time.Time{}
	}
	return t.head.Revision, at.Add(t.bound())
}

// Confirmed returns the installed revision and how long ago a read of the store showed it as the newest; negative if
// that is not known. Heartbeats carry both.
func (t *Tracker) Confirmed() (revision int64, age time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.lastReadConfirmation.IsZero() {
		return t.head.Revision, -1
	}
	return t.head.Revision, elapsed(t.lastReadConfirmation, time.Now())
}

// Behind returns the highest revision that is known to exist, and whether it is higher than the installed one.
func (t *Tracker) Behind() (revision int64, behind bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.highestReported, t.highestReported > t.head.Revision
}

// InForce returns the highest revision known to be in force everywhere: no member can act on an older one, now or
// later.
func (t *Tracker) InForce() int64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.advanceInForce(time.Now())
	return t.inForce
}

// InForceEverywhere reports whether no member can act on anything older than the revision.
func (t *Tracker) InForceEverywhere(revision int64) bool {
	return t.InForce() >= revision
}

// WaitInForce waits until the revision is in force everywhere, or returns the context's error.
func (t *Tracker) WaitInForce(ctx context.Context, revision int64) (err error) {
	defer func() { err = errors.WithMessagef(err, "wait until revision %d is in force", revision) }()
	for {
		if t.InForceEverywhere(revision) {
			return nil
		}
		changed, wait := t.nextCheck()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(wait):
		}
	}
}

// Status returns the status of each member of the head, in the head's order.
func (t *Tracker) Status() []Status {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	list := make([]Status, 0, len(t.head.Members))
	for _, m := range t.head.Members {
		status, found := t.reports[m.identity()]
		status.Member, status.Reported = m, found
		list = append(list, status)
	}
	return list
}

// ---------------------------------------------------------------------------------------------
// Members and defaults.

func (t *Tracker) isMember(id identity) bool {
	return slices.ContainsFunc(t.head.Members, func(m Member) bool { return m.identity() == id })
}

func (t *Tracker) isRelevant(id identity) bool {
	_, departed := t.departed[id]
	return departed || t.isMember(id) || id == t.Self.identity()
}

func majority(count int) int {
	return count/2 + 1
}

func (t *Tracker) bound() time.Duration {
	if t.Bound > 0 {
		return t.Bound
	}
	return Bound
}

func (t *Tracker) readInterval() time.Duration {
	if t.ReadInterval > 0 {
		return t.ReadInterval
	}
	return DefaultReadInterval
}

func (t *Tracker) readers() int {
	if t.Readers > 0 {
		return t.Readers
	}
	return DefaultReaders
}
