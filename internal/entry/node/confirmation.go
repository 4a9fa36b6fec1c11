package node

import (
	"sync/atomic"
	"time"
)

// confirmation.go keeps how old the store's word is that this instance goes by.

// confirmation is when the store last vouched for the revision of the replica. It is safe for use by several
// goroutines: requests ask for it without waiting for a batch that is being merged.
type confirmation struct{ at atomic.Pointer[time.Time] }

// last is zero if the store never vouched for anything.
func (c *confirmation) last() time.Time {
	if at := c.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (c *confirmation) set(at time.Time) { c.at.Store(&at) }

// age is negative if the store never vouched for anything.
func (c *confirmation) age(now time.Time) time.Duration {
	at := c.last()
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

// ConfirmedAge is how long ago the store vouched for what this instance knows, as far as it can tell; negative if
// never.
func (n *Node) ConfirmedAge() time.Duration { return n.knowledge.confirmed.age(time.Now()) }

// MayLackChanges tells whether the store has not vouched for what this instance knows for as long as a change may take
// until it is in force.
func (n *Node) MayLackChanges() bool {
	age := n.ConfirmedAge()
	return age < 0 || age > n.current.Load().Callers.ChangeWithin
}
