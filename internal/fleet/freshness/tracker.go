package freshness

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// This file holds the aggregate: facts come in through Install, ReadConfirmed, ReadFailed and Replied,
// questions are answered from them. It starts no goroutine and makes no call.

// Tracker keeps what one instance knows and since when. Set the exported fields before the first call;
// zero durations and counts take the defaults. It is safe for concurrent use.
type Tracker struct {
	// Self is this process. It is fresh only while its head lists it.
	Self Member
	// Bound is how long a confirmation lasts, and must be equal on all instances.
	Bound time.Duration
	// ReadInterval is the time between two reads of the store by one that reads.
	ReadInterval time.Duration
	// Readers is how many instances read while all goes well.
	Readers int

	mutex     sync.Mutex
	head      Head
	installed time.Time
	changed   chan struct{}
	// read is the newest confirmation by a read of the store, our own or relayed, of the head's
	// revision; ahead is the same for a revision that is not installed yet.
	read  time.Time
	ahead confirmation
	// quorum is the start of the newest confirmation by a majority.
	quorum   time.Time
	told     map[identity]Status
	asked    map[identity]question
	highest  int64
	pending  []pendingRevision
	inForce  int64
	departed map[identity]int64
	// blind is the revision up to which members may have left that this process never saw.
	blind       int64
	lastRead    time.Time
	readSucceed bool
}

// maxPending bounds the revisions kept while none gets in force; dropping the oldest is safe, since a
// newer one takes it along.
const maxPending = 256

type identity struct {
	name        string
	incarnation string
}

type confirmation struct {
	revision int64
	at       time.Time
}

// question is the newest heartbeat that a member answered, and what it knew then.
type question struct {
	asked    time.Time
	revision int64
}

// pendingRevision is an installed revision that is not known to be in force everywhere. Majority is
// when a majority had told it; zero before.
type pendingRevision struct {
	revision int64
	majority time.Time
}

func (m Member) identity() identity {
	return identity{name: m.Name, incarnation: m.Incarnation}
}

// ---------------------------------------------------------------------------------------------
// Facts.

// Install says that a head is in force in this process from now on. A head that is not newer than the
// one installed changes nothing. What confirmed the older head confirms the newer one as well: at that
// time nobody had anything higher.
func (t *Tracker) Install(head Head) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if head.Revision <= t.head.Revision {
		return
	}
	t.noteDepartures(head)
	t.head = Head{Revision: head.Revision, Epoch: head.Epoch, Members: slices.Clone(head.Members)}
	t.installed = time.Now()
	if t.ahead.revision == head.Revision {
		t.read = later(t.read, t.ahead.at)
	}
	t.ahead = confirmation{}
	t.highest = max(t.highest, head.Revision)
	t.pending = append(t.pending, pendingRevision{revision: head.Revision})
	if len(t.pending) > maxPending {
		t.pending = slices.Delete(t.pending, 0, 1)
	}
	t.tell(t.Self, head.Revision, time.Now())
	t.forget()
	t.review(time.Now())
}

// RecordRead says that a read of the store which began at that time showed the revision as newest.
func (t *Tracker) RecordRead(began time.Time, revision int64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.lastRead, t.readSucceed = began, true
	t.confirm(began, revision)
	t.review(time.Now())
}

// RecordReadFailure says that a read of the store which began at that time brought nothing.
func (t *Tracker) RecordReadFailure(began time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.lastRead, t.readSucceed = began, false
}

// RecordReply says what a peer answered to a heartbeat. The daemon asks every member; an answer counts for
// the process that gave it and for no other of the same name.
func (t *Tracker) RecordReply(reply Reply) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	t.highest = max(t.highest, reply.Revision)
	if reply.ConfirmedAge >= 0 {
		t.confirm(reply.SentAt.Add(-reply.ConfirmedAge), reply.Revision)
	}
	t.noteReplaced(reply)
	id := reply.Member.identity()
	if t.concerns(id) {
		t.tell(reply.Member, reply.Revision, now)
		if known := t.asked[id]; reply.SentAt.After(known.asked) {
			t.asked[id] = question{asked: reply.SentAt, revision: reply.Revision}
		}
		t.extendByMajority(now)
	}
	t.review(now)
}

// RecordHeartbeat says that a process told, unasked, which revision it goes by. That helps the revision into force
// everywhere and shows that there is a newer one. It confirms nothing, since it may have been on its way
// for long, and it says nothing of another process of the same name, which may be anywhere.
func (t *Tracker) RecordHeartbeat(member Member, revision int64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.highest = max(t.highest, revision)
	now := time.Now()
	if t.concerns(member.identity()) {
		t.tell(member, revision, now)
	}
	t.review(now)
}

// MarkEnded says that a process has certainly ended, so that it counts as having told every revision. The
// caller must be sure: a process that is only silent may be frozen, and would be fresh again by a
// majority of its like. Without this a fleet that was restarted whole could not make a single change
// of members, since the majority of the old head will never answer.
func (t *Tracker) MarkEnded(member Member) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.tell(member, math.MaxInt64, time.Now())
	t.review(time.Now())
}

// ---------------------------------------------------------------------------------------------
// Questions.

// Fresh answers nil while the knowledge may be used, otherwise a *StaleError. Ask at the moment of use.
func (t *Tracker) Fresh() error {
	return t.FreshAt(time.Now())
}

// FreshAt is Fresh for a moment that the caller has just read from the clock.
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

// Basis is what an instance's freshness rests on.
type Basis struct {
	// Fresh tells whether the knowledge may be used.
	Fresh bool
	// Revision is the installed one, and Highest the highest that any peer has reported.
	Revision int64
	Highest  int64
	// ReadAge and Majority are how long ago a read of the store and a majority of members confirmed the revision; negative
	// if never.
	ReadAge     time.Duration
	MajorityAge time.Duration
}

// Basis returns what freshness rests on now, for the log.
func (t *Tracker) Basis() Basis {
	fresh := t.Fresh() == nil
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	return Basis{
		Fresh: fresh, Revision: t.head.Revision, Highest: t.highest,
		ReadAge: ageOf(t.read, now), MajorityAge: ageOf(t.quorum, now),
	}
}

func ageOf(at, now time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return elapsed(at, now)
}

// FreshUntil returns the installed revision and until when it may be used if nothing more is heard;
// the zero time when it may not be used at all.
func (t *Tracker) FreshUntil() (revision int64, until time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	at := t.confirmedAt()
	if at.IsZero() || !t.isMember(t.Self.identity()) {
		return t.head.Revision, time.Time{}
	}
	return t.head.Revision, at.Add(t.bound())
}

// Confirmed returns the installed revision and how long ago a read of the store showed it as newest;
// negative when that is not known. It is what heartbeats tell.
func (t *Tracker) Confirmed() (revision int64, age time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.read.IsZero() {
		return t.head.Revision, -1
	}
	return t.head.Revision, elapsed(t.read, time.Now())
}

// Behind tells whether a higher revision than the installed one was heard of, and which.
func (t *Tracker) Behind() (revision int64, behind bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.highest, t.highest > t.head.Revision
}

// InForce returns the highest revision known to be in force everywhere: no member can act on an older
// one any more, now or later.
func (t *Tracker) InForce() int64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.review(time.Now())
	return t.inForce
}

// InForceEverywhere tells whether no member can act on anything older than the revision.
func (t *Tracker) InForceEverywhere(revision int64) bool {
	return t.InForce() >= revision
}

// WaitInForce returns when the revision is in force everywhere, or with the context's error.
func (t *Tracker) WaitInForce(ctx context.Context, revision int64) (err error) {
	defer func() { err = errors.WithMessagef(err, "wait for revision %d in force", revision) }()
	for {
		if t.InForceEverywhere(revision) {
			return nil
		}
		changed, wait := t.nextReview()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(wait):
		}
	}
}

// Status returns what is known of each member of the head, in the head's order.
func (t *Tracker) Status() []Status {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	list := make([]Status, 0, len(t.head.Members))
	for _, m := range t.head.Members {
		status, found := t.told[m.identity()]
		status.Member, status.Reported = m, found
		list = append(list, status)
	}
	return list
}

// ---------------------------------------------------------------------------------------------
// Who counts.

func (t *Tracker) isMember(id identity) bool {
	return slices.ContainsFunc(t.head.Members, func(m Member) bool { return m.identity() == id })
}

func (t *Tracker) concerns(id identity) bool {
	_, left := t.departed[id]
	return left || t.isMember(id) || id == t.Self.identity()
}

func majority(count int) int {
	return count/2 + 1
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
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
