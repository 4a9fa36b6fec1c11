package node

import (
	"sync/atomic"
	"time"
)

// confirmation.go keeps when the store last confirmed the revision that this instance goes by.

// outageGap is how long nobody may have had a confirmation until that counts as an outage of the store: several reads.
const outageGap = 1500 * time.Millisecond

// confirmation is when the store last confirmed the revision of the replica as its newest. It is safe for use by several
// goroutines: requests ask for it without waiting for a batch that is being merged.
type confirmation struct{ at atomic.Pointer[time.Time] }

// last is zero if the store never confirmed anything.
func (c *confirmation) last() time.Time {
	if at := c.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (c *confirmation) set(at time.Time) { c.at.Store(&at) }

// age is negative if the store never confirmed anything.
func (c *confirmation) age(now time.Time) time.Duration {
	at := c.last()
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

// ConfirmedAge is an upper bound on how long ago the store confirmed this instance's revision; negative if never.
func (n *Node) ConfirmedAge() time.Duration { return n.knowledge.confirmed.age(time.Now()) }

// MayLackChanges reports whether the last confirmation is older than a change may take until it is in force.
func (n *Node) MayLackChanges() bool {
	age := n.ConfirmedAge()
	return age < 0 || age > n.current.Load().Callers.ChangeWithin
}

// confirm notes that the store confirmed what is known; the lock is held.
func (n *Node) confirm(at time.Time) {
	k := &n.knowledge
	before := k.confirmed.last()
	if !at.After(before) {
		return
	}
	if gap := at.Sub(before); !before.IsZero() && gap > outageGap {
		outage := n.wasOutage(before)
		if outage {
			k.returned = time.Now()
		}
		n.Log.Warn().Int64("GapMillis", gap.Milliseconds()).Bool("Outage", outage).Msg("StoreReturned")
	}
	k.confirmed.set(at)
}

// wasOutage reports whether the store was unreachable for the fleet since it last confirmed anything, and not only for
// this instance or for the one that read for all: at least half of the instances have failed to read it.
//
// Made for a reader that the store refuses, or whose connections to it are cut. The next instance begins to read some
// time later, so that nobody had a confirmation for a while. Taken for an outage, the removal of an upstream's entry
// would be put down to it, and requests would be sent to an upstream that left two seconds ago and is gone by now.
func (n *Node) wasOutage(since time.Time) bool {
	failed, heard := n.overlay.storeFailedSince(since)
	if n.storeFailed.Load() >= since.UnixNano() {
		failed++
	}
	return 2*failed >= heard+1
}
