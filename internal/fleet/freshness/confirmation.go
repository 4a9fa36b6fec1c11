package freshness

import (
	"slices"
	"time"
)

// This file turns facts into confirmations: from when on nobody had a newer head in force everywhere.

func (t *Tracker) confirm(at time.Time, revision int64) {
	t.highest = max(t.highest, revision)
	switch {
	case revision == t.head.Revision:
		t.read = later(t.read, at)
	case revision > t.head.Revision && revision >= t.ahead.revision:
		if revision > t.ahead.revision {
			t.ahead = confirmation{revision: revision}
		}
		t.ahead.at = later(t.ahead.at, at)
	}
}

// extendByMajority counts the members, this process included, that were asked and knew nothing newer.
// The confirmation begins at the oldest question that is needed for the majority: an instance that
// heard one peer now and the others long ago must not take the newest answer for all of them.
// Nothing is counted while a read is young: with many members the count costs more than it brings.
func (t *Tracker) extendByMajority(now time.Time) {
	if t.highest > t.head.Revision || elapsed(t.read, now) < t.bound()/4 {
		return
	}
	var starts []time.Time
	for _, m := range t.head.Members {
		id := m.identity()
		if id == t.Self.identity() {
			starts = append(starts, now)
			continue
		}
		if q, found := t.asked[id]; found && q.revision <= t.head.Revision {
			starts = append(starts, q.asked)
		}
	}
	need := majority(len(t.head.Members))
	if len(t.head.Members) == 0 || len(starts) < need {
		return
	}
	slices.SortFunc(starts, func(a, b time.Time) int { return b.Compare(a) })
	t.quorum = later(t.quorum, starts[need-1])
}

func (t *Tracker) confirmedAt() time.Time {
	return later(t.read, t.quorum)
}
