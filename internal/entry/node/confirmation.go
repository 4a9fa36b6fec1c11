package node

import (
	"sync/atomic"
	"time"
)

// confirmation.go records when the store last confirmed the revision that this instance uses.

// outageThreshold is how long no instance may receive a confirmation before that counts as an outage of the store. It
// spans several reads.
const outageThreshold = 1500 * time.Millisecond

// confirmation is the time at which the store last confirmed that the revision of the replica is its newest. It is safe
// for concurrent use: requests read it without waiting for a merge that is in progress.
type confirmation struct{ at atomic.Pointer[time.Time] }

// last returns zero if the store never confirmed anything.
func (c *confirmation) last() time.Time {
	if at := c.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (c *confirmation) set(at time.Time) { c.at.Store(&at) }

// age returns a negative value if the store never confirmed anything.
func (c *confirmation) age(now time.Time) time.Duration {
	at := c.last()
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

// ConfirmedAge returns an upper bound on the time since the store confirmed the revision of this instance. It is
// negative if the store never did.
func (n *Node) ConfirmedAge() time.Duration { return n.view.confirmed.age(time.Now()) }

// MayBeStale reports whether the last confirmation is older than the time within which a change has to be in force.
func (n *Node) MayBeStale() bool {
	age := n.ConfirmedAge()
	return age < 0 || age > n.current.Load().Callers.ChangeWithin
}

// confirm records that the store confirmed the replicated state. The caller holds the lock.
func (n *Node) confirm(at time.Time) {
	v := &n.view
	previous := v.confirmed.last()
	if !at.After(previous) {
		return
	}
	if gap := at.Sub(previous); !previous.IsZero() && gap > outageThreshold {
		outage := n.wasOutage(previous)
		if outage {
			v.outageEnded = time.Now()
			v.extendGracePeriods()
		}
		n.Log.Warn().Int64("GapMillis", gap.Milliseconds()).Bool("Outage", outage).Msg("StoreReturned")
	}
	v.confirmed.set(at)
}

// isViewCurrent reports whether no upstream can have begun to serve without this instance knowing of it: the store has
// confirmed its revision a moment ago, or most instances are reachable and cannot read the store either. An instance that
// is partitioned from the others cannot tell an outage of the store from the loss of its own link.
func (n *Node) isViewCurrent() bool {
	last := n.view.confirmed.last()
	if last.IsZero() {
		return false
	}
	if time.Since(last) <= outageThreshold {
		return true
	}
	alive, failing := n.overlay.aliveWithoutStore(time.Now(), last)
	return 2*alive >= n.overlay.peerCount() && 2*failing >= alive && n.storeFailedAt.Load() >= last.UnixNano()
}

// wasOutage reports whether the store has been unreachable for the whole fleet since its last confirmation, and not
// only for this instance or for the instance that reads for all. It requires that at least half of the instances failed
// to read the store.
//
// It covers a reader whose calls the store refuses, or whose connections to the store are cut. The next instance starts
// to read some time later, so no instance receives a confirmation for a while. If that counted as an outage, the
// removal of an upstream's entry would be attributed to the outage, and requests would still be sent to an upstream
// that left two seconds ago and no longer exists.
func (n *Node) wasOutage(since time.Time) bool {
	failed, reachable := n.overlay.storeFailedSince(since)
	if n.storeFailedAt.Load() >= since.UnixNano() {
		failed++
	}
	return 2*failed >= reachable+1
}
