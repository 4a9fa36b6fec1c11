package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/fleet/coordination"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// lease.go renews the lease of the instance in the store. All keys of the instance are bound to the lease and are
// removed when it expires.

const (
	// leaseTTL is how late the other instances learn that an instance is gone.
	leaseTTL = 3 * time.Second
	// renewInterval lets two renewals in a row fail.
	renewInterval = time.Second
	// leaseRetryPause is the pause after a failure.
	leaseRetryPause = 250 * time.Millisecond
	// entryViewDelay is how long a write of this instance may take to appear in its own view of the store.
	entryViewDelay = 3 * time.Second
)

// lease is safe for concurrent use.
type lease struct {
	// suspended returns the total time for which the machine has been suspended. The clock of the runtime does not
	// count that time, but the clock of the store does.
	suspended func() time.Duration

	mutex sync.Mutex
	id    int64
	// expires is when the lease ends unless it is renewed, provided that the machine is not suspended. suspendedBefore
	// is the total suspended time when the lease was granted or renewed.
	expires         time.Time
	suspendedBefore time.Duration

	// unbound is a granted lease to which the entry of the instance may or may not be bound: the write was not acknowledged.
	// It is used again, because the store may carry the write out late. Only runLease uses it and writtenAt, which is when the
	// entry was last written.
	unbound   int64
	writtenAt time.Time
}

// current returns the lease if it is certain not to have expired.
func (l *lease) current(now time.Time) (id int64, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now = now.Add(l.suspended() - l.suspendedBefore)
	return l.id, l.id != 0 && now.Before(l.expires)
}

// callStart is when a call that grants or renews a lease started.
type callStart struct {
	at        time.Time
	suspended time.Duration
}

// startCall must be called before the call to the store: the lease may run from the moment when the store receives the
// call.
func (l *lease) startCall() callStart { return callStart{at: time.Now(), suspended: l.suspended()} }

// set records a lease that a call granted or renewed.
func (l *lease) set(id int64, start callStart) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.id = id
	l.expires = start.at.Add(leaseTTL)
	l.suspendedBefore = start.suspended
}

// clear discards the lease.
func (l *lease) clear() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.id = 0
}

// lastID returns the lease of the last call, whether it has expired or not, and 0 for none.
func (l *lease) lastID() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.id
}

// runLease acquires and renews the lease.
func (n *Node) runLease(ctx context.Context) error {
	for ctx.Err() == nil {
		if n.stopping.Load() {
			pause.For(ctx, leaseRetryPause)
			continue
		}
		if err := n.renew(ctx); err != nil {
			n.Log.Warn().Err(err).Msg("LeaseNotRenewed")
			pause.For(ctx, leaseRetryPause)
			continue
		}
		pause.For(ctx, renewInterval)
	}
	return nil
}

// renew extends the lease, or acquires a new one.
func (n *Node) renew(ctx context.Context) error {
	start := n.lease.startCall()
	id := n.lease.lastID()
	if id != 0 {
		err := n.Store.Renew(ctx, id)
		if err == nil {
			n.lease.set(id, start)
			return n.restoreEntry(ctx, id)
		}
		if !errors.Is(err, coordination.ErrLeaseEnded) {
			return err
		}
		n.lease.clear()
		n.Log.Warn().Int64("Lease", id).Msg("LeaseEnded")
	}
	return n.register(ctx, start)
}

// register acquires a lease and adds the instance to the roster.
func (n *Node) register(ctx context.Context, start callStart) error {
	id, err := n.acquire(ctx)
	if err != nil {
		return err
	}
	n.lease.unbound = id
	if err := n.writeEntry(ctx, id); err != nil {
		return err
	}
	n.lease.unbound = 0
	n.lease.set(id, start)
	n.Log.Info().Int64("Lease", id).Msg("Joined")
	return nil
}

// acquire returns the lease of the last attempt to register, or a new one if that has ended.
func (n *Node) acquire(ctx context.Context) (id int64, err error) {
	if n.lease.unbound != 0 {
		err := n.Store.Renew(ctx, n.lease.unbound)
		if !errors.Is(err, coordination.ErrLeaseEnded) {
			return n.lease.unbound, err
		}
	}
	return n.Store.Grant(ctx, leaseTTL)
}

// writeEntry writes the entry of the instance, bound to a lease.
func (n *Node) writeEntry(ctx context.Context, id int64) error {
	value, err := roster.EncodeInstance(n.self)
	if err != nil {
		return err
	}
	_, err = n.Store.Commit(ctx, coordination.Transaction{
		Writes: []coordination.Write{{Key: roster.InstanceKey(n.self.Name), Value: value, Lease: id}},
	})
	if err == nil {
		n.lease.writtenAt = time.Now()
	}
	return err
}

// restoreEntry writes the entry of the instance again if the store has lost it or has that of an earlier life. A write of an earlier
// life, or one without an answer, can be carried out late and bind the entry to a lease that nobody renews.
func (n *Node) restoreEntry(ctx context.Context, id int64) (err error) {
	defer func() { err = errors.WithMessage(err, "restore the entry") }()
	if !n.isEntryLost(time.Now()) {
		return nil
	}
	n.Log.Warn().Int64("Lease", id).Msg("EntryLost")
	return n.writeEntry(ctx, id)
}

// isEntryLost reports whether the store, as far as this instance knows, has no entry of this life of the instance.
func (n *Node) isEntryLost(now time.Time) bool {
	n.view.mutex.Lock()
	own, listed := n.view.roster.Instance(n.self.Name)
	n.view.mutex.Unlock()
	if listed && own.Incarnation == n.self.Incarnation {
		return false
	}
	return now.Sub(n.lease.writtenAt) > entryViewDelay && n.isViewCurrent()
}

// revokeLease removes the instance from the roster immediately, so that other instances claim its upstreams without
// waiting for the lease to expire.
func (n *Node) revokeLease() {
	ctx, cancel := context.WithTimeout(context.Background(), n.current.Load().Platform.StoreTimeout)
	defer cancel()
	id := n.lease.lastID()
	n.lease.clear()
	if id == 0 {
		return
	}
	if err := n.Store.Revoke(ctx, id); err != nil {
		n.Log.Warn().Err(err).Msg("LeaseRevokeFailed")
	}
}
