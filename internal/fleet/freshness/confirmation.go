package freshness

import (
	"slices"
	"time"

	"lacewingrock.example/lacewingrock/internal/timing/instant"
)

// This file derives confirmations: the times from which on no newer head was in force everywhere.

func (t *Tracker) recordConfirmation(at time.Time, revision int64) {
	t.highestReported = max(t.highestReported, revision)
	switch {
	case revision == t.head.Revision:
		t.lastReadConfirmation = instant.Later(t.lastReadConfirmation, at)
	case revision > t.head.Revision && revision >= t.newerConfirmation.revision:
		if revision > t.newerConfirmation.revision {
			t.newerConfirmation = confirmation{revision: revision}
		}
		t.newerConfirmation.confirmedAt = instant.Later(t.newerConfirmation.confirmedAt, at)
	}
}

// confirmByMajority counts the members, this process included, that answered a heartbeat and knew no newer revision.
// The confirmation begins when the oldest heartbeat needed for the majority was sent: an instance that got one reply
// just now and the others long ago must not apply the time of the newest reply to all. Nothing is counted while the
// last confirmation by a read is recent: with many members, counting costs more than it gains.
func (t *Tracker) confirmByMajority(now time.Time) {
	if t.highestReported > t.head.Revision || elapsed(t.lastReadConfirmation, now) < t.bound()/4 {
		return
	}
	var sentTimes []time.Time
	for _, m := range t.head.Members {
		id := m.identity()
		if id == t.Self.identity() {
			sentTimes = append(sentTimes, now)
			continue
		}
		if reply, found := t.lastReplies[id]; found && reply.revision <= t.head.Revision {
			sentTimes = append(sentTimes, reply.sentAt)
		}
	}
	needed := majority(len(t.head.Members))
	if len(t.head.Members) == 0 || len(sentTimes) < needed {
		return
	}
	slices.SortFunc(sentTimes, func(a, b time.Time) int { return b.Compare(a) })
	t.lastMajorityConfirmation = instant.Later(t.lastMajorityConfirmation, sentTimes[needed-1])
}

func (t *Tracker) confirmedAt() time.Time {
	return instant.Later(t.lastReadConfirmation, t.lastMajorityConfirmation)
}
