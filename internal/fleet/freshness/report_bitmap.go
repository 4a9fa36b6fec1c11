package freshness

import "time"

// This file exchanges which members have reported the installed revision, so that it is known to be in force everywhere
// within seconds in a fleet of any size. An instance gets replies from four members a second. Direct reports from all
// of 330 would take half a minute, in which neither rate shares nor upstreams could change hands.
//
// That a process has reported a revision stays true: it never returns to an older one, and a restarted process is
// another one. So a relayed report counts like a direct one. The bits are in the order of the head's members, so they
// count only between two instances with the same head; the others have that head within a second or two.

// bitsInByte is how many members one byte of a bitmap covers.
const bitsInByte = 8

// ReportBitmap returns the installed revision and a bitmap, in the head's order, of the members that have reported it.
func (t *Tracker) ReportBitmap() (revision int64, reported []byte) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	reported = make([]byte, (len(t.head.Members)+bitsInByte-1)/bitsInByte)
	for i, m := range t.head.Members {
		if t.reports[m.identity()].Revision >= t.head.Revision {
			reported[i/bitsInByte] |= 1 << (i % bitsInByte)
		}
	}
	return t.head.Revision, reported
}

// MergeReportBitmap merges what ReportBitmap returned on another member.
func (t *Tracker) MergeReportBitmap(revision int64, reported []byte) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if revision != t.head.Revision {
		return
	}
	now := time.Now()
	for i, m := range t.head.Members {
		index := i / bitsInByte
		if index < len(reported) && reported[index]&(1<<(i%bitsInByte)) != 0 {
			t.recordReport(m, revision, now)
		}
	}
	t.advanceInForce(now)
}
