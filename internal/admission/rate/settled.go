package rate

// settled.go is about what is left of older shares. When a share shrinks, reservations and loans made
// under it go on; others may fill their larger or new shares only when these have ended. Without the
// instances telling each other, a new member would have to wait for the longest reservation there can
// be, minutes in which its callers are refused within their rate.

// OldestRevision is the revision of the oldest head under which a reservation or a loan, lent or
// borrowed, that is still open was made here; the installed revision when none is. It is told to the other members.
//
// What an instance tells must be the smaller of this and of the last that was told by members which
// left without having settled and whose reservations may still run. A process that joins later never
// heard of those: by the listed members alone it would fill its share while the requests of a frozen and
// removed instance still run.
func (l *Ledger) OldestRevision() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	oldest := l.head.Revision
	for _, b := range l.buckets {
		l.advance(b)
		for e := b.open.Front(); e != nil; e = e.Next() {
			oldest = min(oldest, e.Value.(*Reservation).revision)
		}
		for _, loan := range b.lent {
			oldest = min(oldest, loan.revision)
		}
		for _, loan := range b.borrowed {
			oldest = min(oldest, loan.revision)
		}
	}
	return oldest
}

// MarkSettled says that no reservation and no loan made under shares older than the revision is left
// anywhere, so that capacity may grow to the shares of that revision at once.
func (l *Ledger) MarkSettled(revision int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.settled = max(l.settled, revision)
}
