package freshness

import (
	"math"
	"slices"
	"time"
)

// This file decides which revision is in force everywhere: from what members told, and from when a
// majority had told it.

func (t *Tracker) tell(m Member, revision int64, now time.Time) {
	if t.told == nil {
		t.told = map[identity]Status{}
		t.asked = map[identity]question{}
	}
	known, found := t.told[m.identity()]
	if found && known.Revision >= revision {
		return
	}
	t.told[m.identity()] = Status{Member: m, Revision: revision, Since: now, Reported: true}
}

// noteReplaced takes a listed member for ended when another incarnation of its name answered in its
// place. Heartbeats go to the address that the head lists, and an instance stops using its knowledge
// before it closes its listener, so the old process can neither answer nor serve.
// Only questions asked under the installed head count: a late answer of the old process must not speak
// for the new one.
func (t *Tracker) noteReplaced(reply Reply) {
	if !reply.SentAt.After(t.installed) {
		return
	}
	for _, m := range t.head.Members {
		if m.Name == reply.Member.Name && m.Incarnation != reply.Member.Incarnation {
			t.tell(m, math.MaxInt64, time.Now())
		}
	}
}

// review moves inForce forward as far as the facts allow. A revision that is in force takes all older
// ones with it.
func (t *Tracker) review(now time.Time) {
	before := t.inForce
	for i := range t.pending {
		p := &t.pending[i]
		count := t.countTold(p.revision)
		if p.majority.IsZero() && count >= majority(len(t.head.Members)) && count > 0 {
			p.majority = now
		}
		if t.allTold(p.revision, count) || t.boundRanOut(*p, now) {
			t.inForce = max(t.inForce, p.revision)
		}
	}
	t.pending = slices.DeleteFunc(t.pending, func(p pendingRevision) bool { return p.revision <= t.inForce })
	for id, left := range t.departed {
		if left <= t.inForce {
			delete(t.departed, id)
		}
	}
	if t.inForce > before || t.changed == nil {
		t.wake()
	}
}

func (t *Tracker) countTold(revision int64) int {
	count := 0
	for _, m := range t.head.Members {
		if t.told[m.identity()].Revision >= revision {
			count++
		}
	}
	return count
}

// allTold also asks the members that a head removed: such a one may still be fresh on an older head.
// Once it told the head that removed it, it is no member any more and never fresh again.
func (t *Tracker) allTold(revision int64, count int) bool {
	if count == 0 || count < len(t.head.Members) || t.blind > t.inForce {
		return false
	}
	for id, left := range t.departed {
		if t.told[id].Revision < min(revision, left) {
			return false
		}
	}
	return true
}

func (t *Tracker) boundRanOut(p pendingRevision, now time.Time) bool {
	return !p.majority.IsZero() && now.Sub(p.majority) >= t.bound()+t.bound()/clockRateMargin
}

// noteDepartures remembers who left between the installed head and the next one. A process that saw
// no earlier head, or skipped some, may have missed a departure: then only the Bound can tell. It has
// missed none when the last change of members or upstreams added a member that is still there.
func (t *Tracker) noteDepartures(next Head) {
	if t.departed == nil {
		t.departed = map[identity]int64{}
	}
	for _, m := range t.head.Members {
		if !slices.ContainsFunc(next.Members, func(n Member) bool { return n.identity() == m.identity() }) {
			t.departed[m.identity()] = next.Revision
		}
	}
	sawAll := t.head.Revision > 0 && (next.Revision == t.head.Revision+1 || next.Epoch <= t.head.Revision)
	added := slices.ContainsFunc(next.Members, func(m Member) bool { return m.Since == next.Epoch })
	if !sawAll && !added {
		t.blind = next.Revision
	}
}

// forget drops what was told by processes that no longer matter.
func (t *Tracker) forget() {
	for id := range t.told {
		if !t.concerns(id) {
			delete(t.told, id)
			delete(t.asked, id)
		}
	}
}

func (t *Tracker) nextReview() (changed <-chan struct{}, wait time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.changed == nil {
		t.wake()
	}
	wait = t.bound()
	now := time.Now()
	for _, p := range t.pending {
		if !p.majority.IsZero() {
			left := t.bound() + t.bound()/clockRateMargin - now.Sub(p.majority)
			wait = min(wait, max(left, time.Millisecond))
		}
	}
	return t.changed, wait
}

func (t *Tracker) wake() {
	if t.changed != nil {
		close(t.changed)
	}
	t.changed = make(chan struct{})
}
