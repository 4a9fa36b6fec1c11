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

// lease.go keeps the instance's lease in the store, to which all its keys are bound: when the instance is
// gone, they go with it.

const (
	// leaseTime is how late the others learn that an instance is gone.
	leaseTime = 3 * time.Second
	// renewEvery lets two renewals in a row fail.
	renewEvery = time.Second
	// leasePause is the pause after a failure.
	leasePause = 250 * time.Millisecond
)

// lease is safe for use by several goroutines.
type lease struct {
	// suspended tells for how long in all the machine has been suspended, which the runtime's clock does not
	// count and the store's does.
	suspended func() time.Duration

	mutex sync.Mutex
	id    int64
	// until is when the lease ends unless it was renewed in the meantime, as long as the machine is not
	// suspended; suspendedBefore is for how long it had been when the lease was granted or renewed.
	until           time.Time
	suspendedBefore time.Duration
}

// current gives the lease if it surely has not ended.
func (l *lease) current(now time.Time) (id int64, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now = now.Add(l.suspended() - l.suspendedBefore)
	return l.id, l.id != 0 && now.Before(l.until)
}

// moment is when a call that grants or renews a lease began.
type moment struct {
	at        time.Time
	suspended time.Duration
}

// begin has to be read before the call is made: the lease runs from when the store gets it.
func (l *lease) begin() moment { return moment{at: time.Now(), suspended: l.suspended()} }

// hold takes note of a lease that was granted or renewed by a call.
func (l *lease) hold(id int64, began moment) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.id = id
	l.until = began.at.Add(leaseTime)
	l.suspendedBefore = began.suspended
}

// end forgets the lease.
func (l *lease) end() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.id = 0
}

// last is the lease as of the last call, whether it has ended or not; 0 for none.
func (l *lease) last() int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.id
}

// runLease gets and renews the lease.
func (n *Node) runLease(ctx context.Context) error {
	for ctx.Err() == nil {
		if n.stopping.Load() {
			pause.For(ctx, leasePause)
			continue
		}
		if err := n.renew(ctx); err != nil {
			n.Log.Warn().Err(err).Msg("LeaseNotRenewed")
			pause.For(ctx, leasePause)
			continue
		}
		pause.For(ctx, renewEvery)
	}
	return nil
}

// renew extends the lease, or gets a new one.
func (n *Node) renew(ctx context.Context) error {
	began := n.lease.begin()
	id := n.lease.last()
	if id != 0 {
		err := n.Store.Renew(ctx, id)
		if err == nil {
			n.lease.hold(id, began)
			return nil
		}
		if !errors.Is(err, coordination.ErrLeaseEnded) {
			return err
		}
		n.lease.end()
		n.Log.Warn().Int64("Lease", id).Msg("LeaseEnded")
	}
	return n.join(ctx, began)
}

// join gets a lease and enters the roster.
func (n *Node) join(ctx context.Context, began moment) error {
	id, err := n.Store.Grant(ctx, leaseTime)
	if err != nil {
		return err
	}
	value, err := roster.EncodeInstance(n.self)
	if err != nil {
		return err
	}
	_, err = n.Store.Commit(ctx, coordination.Transaction{
		Writes: []coordination.Write{{Key: roster.InstanceKey(n.self.Name), Value: value, Lease: id}},
	})
	if err != nil {
		return err
	}
	n.lease.hold(id, began)
	n.Log.Info().Int64("Lease", id).Msg("Joined")
	return nil
}

// endLease leaves the roster at once, so that what this instance holds is taken over without waiting.
func (n *Node) endLease() {
	ctx, cancel := context.WithTimeout(context.Background(), n.current.Load().Platform.StoreTimeout)
	defer cancel()
	id := n.lease.last()
	n.lease.end()
	if id == 0 {
		return
	}
	if err := n.Store.Revoke(ctx, id); err != nil {
		n.Log.Warn().Err(err).Msg("LeaseNotEnded")
	}
}
