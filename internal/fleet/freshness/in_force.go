package freshness

import (
	"math"
	"slices"
	"time"
)

// This file determines which revision is in force everywhere, from the members' reports and from when a majority had
// reported a revision.

func (t *Tracker) recordReport(m Member, revision int64, now time.Time) {
	if t.reports == nil {
		t.reports = map[identity]Status{}
		t.lastReplies = map[identity]heartbeatReply{}
	}
	previous, found := t.reports[m.identity()]
	if found && previous.Revision >= revision {
		return
	}
	t.reports[m.identity()] = Status{Member: m, Revision: revision, Since: now, Reported: true}
}

// markReplacedMembers marks a listed member as ended when another incarnation of its name has answered in its place.
// Heartbeats go to the address that the head lists, and an instance stops using its configuration before it closes its
// listener, so the old process can neither answer nor serve. Only heartbeats sent under the installed head count: a
// late reply of the old process must not mark the new one as ended.
func (t *Tracker) markReplacedMembers(reply Reply) {
	if !reply.SentAt.After(t.installed) {
		return
	}
	for _, m := range t.head.Members {
		if m.Name == reply.Member.Name && m.Incarnation != reply.Member.Incarnation {
			t.recordReport(m, math.MaxInt64, time.Now())
		}
	}
}

// advanceInForce raises inForce as far as the reports allow. When a revision is in force, all older ones are.
func (t *Tracker) advanceInForce(now time.Time) {
	before := t.inForce
	for i := range t.pending {
		p := &t.pending[i]
		count := t.countReported(p.revision)
		if p.majorityAt.IsZero() && count >= majority(len(t.head.Members)) && count > 0 {
			p.majorityAt = now
		}
		if t.allReported(p.revision, count) || t.majorityBoundExpired(*p, now) {
			t.inForce = max(t.inForce, p.revision)
		}
	}
	t.pending = slices.DeleteFunc(t.pending, func(p pendingRevision) bool { return p.revision <= t.inForce })
	for id, removedAt := range t.departed {
		if removedAt <= t.inForce {
			delete(t.departed, id)
		}
	}
	if t.inForce > before || t.changed == nil {
		t.notifyWaiters()
	}
}

func (t *Tracker) countReported(revision int64) int {
	count := 0
	for _, m := range t.head.Members {
		if t.reports[m.identity()].Revision >= revision {
			count++
		}
	}
	return count
}

// allReported also requires a report of each member that a head has removed: until then that process may still be fresh
// on an older head. Once it has reported the head that removed it, it is no longer a member and never fresh again.
func (t *Tracker) allReported(revision int64, count int) bool {
	if count == 0 || count < len(t.head.Members) || t.missedDepartures > t.inForce {
		return false
	}
	for id, removedAt := range t.departed {
		if t.reports[id].Revision < min(revision, removedAt) {
			return false
		}
	}
	return true
}

func (t *Tracker) majorityBoundExpired(p pendingRevision, now time.Time) bool {
	return !p.majorityAt.IsZero() && now.Sub(p.majorityAt) >= t.bound()+t.bound()/clockRateMargin
}

// recordDepartures records the members that left between the installed head and the next one. A process that saw no
// earlier head, or skipped some, may have missed a departure, and then a revision is in force only when Bound has
// passed. It has missed none if the last change of members or upstreams added a member that is still listed.
func (t *Tracker) recordDepartures(next Head) {
	if t.departed == nil {
		t.departed = map[identity]int64{}
	}
	for _, m := range t.head.Members {
		if !slices.ContainsFunc(next.Members, func(n Member) bool { return n.identity() == m.identity() }) {
			t.departed[m.identity()] = next.Revision
		}
	}
	sawAllHeads := t.head.Revision > 0 && (next.Revision == t.head.Revision+1 || next.Epoch <= t.head.Revision)
	added := slices.ContainsFunc(next.Members, func(m Member) bool { return m.Since == next.Epoch })
	if !sawAllHeads && !added {
		t.missedDepartures = next.Revision
	}
}

// dropUnrelatedProcesses drops the reports of processes that are neither members nor departed members.
func (t *Tracker) dropUnrelatedProcesses() {
	for id := range t.reports {
		if !t.isRelevant(id) {
			delete(t.reports, id)
			delete(t.lastReplies, id)
		}
	}
}

func (t *Tracker) nextCheck() (changed <-chan struct{}, wait time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.changed == nil {
		t.notifyWaiters()
	}
	wait = t.bound()
	now := time.Now()
	for _, p := range t.pending {
		if !p.majorityAt.IsZero() {
			remaining := t.bound() + t.bound()/clockRateMargin - now.Sub(p.majorityAt)
			wait = min(wait, max(remaining, time.Millisecond))
		}
	}
	return t.changed, wait
}

func (t *Tracker) notifyWaiters() {
	if t.changed != nil {
		close(t.changed)
	}
	t.changed = make(chan struct{})
}
