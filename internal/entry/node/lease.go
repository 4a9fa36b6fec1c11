package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/fleet/coordination"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
)

// lease.go keeps the instance's lease in the store, to which all its keys are bound: when the instance is
// gone, they go with it.

const (
	// leaseTime is how late the others learn that an instance is gone.
	leaseTime = 2500 * time.Millisecond
	// renewEvery lets two renewals in a row fail.
	renewEvery = 700 * time.Millisecond
	// leasePause is the pause after a failure.
	leasePause = 250 * time.Millisecond
)

type lease struct {
	mutex sync.Mutex
	id    int64
	// until is when the lease ends unless it was renewed in the meantime.
	until time.Time
}

// current gives the lease if it surely has not ended.
func (l *lease) current(now time.Time) (id int64, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.id, l.id != 0 && now.Before(l.until)
}

func (l *lease) set(id int64, until time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.id = id
	l.until = until
}

// runLease gets and renews the lease.
func (n *Node) runLease(ctx context.Context) error {
	for ctx.Err() == nil {
		if n.stopping.Load() {
			pause(ctx, leasePause)
			continue
		}
		if err := n.renew(ctx); err != nil {
			n.Log.Warn().Err(err).Msg("LeaseNotRenewed")
			pause(ctx, leasePause)
			continue
		}
		pause(ctx, renewEvery)
	}
	return nil
}

// renew extends the lease, or gets a new one.
func (n *Node) renew(ctx context.Context) error {
	began := time.Now()
	n.lease.mutex.Lock()
	id := n.lease.id
	n.lease.mutex.Unlock()
	if id != 0 {
		err := n.Store.Renew(ctx, id)
		if err == nil {
			n.lease.set(id, began.Add(leaseTime))
			return nil
		}
		if !errors.Is(err, coordination.ErrLeaseEnded) {
			return err
		}
		n.lease.set(0, time.Time{})
		n.Log.Warn().Int64("Lease", id).Msg("LeaseEnded")
	}
	return n.join(ctx, began)
}

// join gets a lease and enters the roster.
func (n *Node) join(ctx context.Context, began time.Time) error {
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
	n.lease.set(id, began.Add(leaseTime))
	n.Log.Info().Int64("Lease", id).Msg("Joined")
	return nil
}

// endLease leaves the roster at once, so that what this instance holds is taken over without waiting.
func (n *Node) endLease() {
	ctx, cancel := context.WithTimeout(context.Background(), n.current.Load().Platform.StoreTimeout)
	defer cancel()
	n.lease.mutex.Lock()
	id := n.lease.id
	n.lease.mutex.Unlock()
	n.lease.set(0, time.Time{})
	if id == 0 {
		return
	}
	if err := n.Store.Revoke(ctx, id); err != nil {
		n.Log.Warn().Err(err).Msg("LeaseNotEnded")
	}
}
