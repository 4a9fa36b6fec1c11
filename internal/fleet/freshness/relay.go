package freshness

import "time"

// relay.go passes on who has told the installed revision, so that it is known to be in force everywhere
// within seconds however large the fleet is. An instance hears from four members a second; from all of 330
// itself it would take half a minute, in which neither shares nor upstreams change hands.
//
// That a process has told a revision stays true: it never goes back to an older one, and a restart is
// another process. So hearsay is as good as its own word. The list goes by place in the head's members, and
// counts only between two instances that go by the same head; others have it within a second or two.

// bitsInByte is how many members one byte of a list stands for.
const bitsInByte = 8

// ReportBitmap returns the installed revision and, a bit for each member in the head's order, who has told it.
func (t *Tracker) ReportBitmap() (revision int64, told []byte) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	told = make([]byte, (len(t.head.Members)+bitsInByte-1)/bitsInByte)
	for i, m := range t.head.Members {
		if t.told[m.identity()].Revision >= t.head.Revision {
			told[i/bitsInByte] |= 1 << (i % bitsInByte)
		}
	}
	return t.head.Revision, told
}

// MergeReportBitmap takes in what another member's Relay returned.
func (t *Tracker) MergeReportBitmap(revision int64, told []byte) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if revision != t.head.Revision {
		return
	}
	now := time.Now()
	for i, m := range t.head.Members {
		at := i / bitsInByte
		if at < len(told) && told[at]&(1<<(i%bitsInByte)) != 0 {
			t.tell(m, revision, now)
		}
	}
	t.review(now)
}
