package rate

// This file tracks what remains of older shares. When a share shrinks, reservations and loans made under it
// continue; other instances may fill their larger or new shares only when these have ended. If the instances did
// not exchange this state, a new member would have to wait for the longest possible reservation, minutes in which
// its callers are refused within their rate.

// OldestRevision returns the revision of the oldest head under which a reservation or a loan, lent or borrowed,
// that is still open was made here, or the installed revision if none is open. It is sent to the other members.
//
// An instance must send the smaller of this and of the last revisions sent by members that left without having
// settled and whose reservations may still run. A process that joins later has no information about those members:
// based on the listed members alone it would fill its share while the requests of a frozen and removed instance
// still run.
func (l *Ledger) OldestRevision() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	oldest := l.head.Revision
	for _, b := range l.buckets {
		l.advance(b)
		for e := b.openReservations.Front(); e != nil; e = e.Next() {
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

// MarkSettled records that no reservation and no loan made under shares older than the revision is left anywhere, so
// that capacity may grow to the shares of that revision at once.
func (l *Ledger) MarkSettled(revision int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.settled = max(l.settled, revision)
}
