// Package coordination is what the fleet needs of the platform's store: a watch over all keys, changes
// under a condition, and leases. The store is the only place that outlives an instance.
package coordination

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/fleet/replica"
)

// Errors that callers of a Store tell apart with errors.Is.
var (
	// ErrConflict: a condition did not hold; nothing was changed.
	ErrConflict = errors.New("store: a condition does not hold")
	// ErrCompacted: the history after the revision is gone; read a snapshot.
	ErrCompacted = errors.New("store: the history is gone")
	// ErrLeaseEnded: the lease has ended, and its keys with it.
	ErrLeaseEnded = errors.New("store: the lease has ended")
	// ErrUnavailable: the store refused before doing anything.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown: no answer; the change may have been made, or may still be.
	ErrUnknown = errors.New("store: outcome unknown")
)

// Condition holds while a key's last change is the given revision; 0 means that the key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write sets a key, bound to a lease unless that is 0.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Transaction is made as a whole if all conditions hold.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	Removals   []string
}

// Store is the platform's key-value service.
type Store interface {
	// Snapshot reads all keys.
	Snapshot(ctx context.Context) (replica.Batch, error)
	// Watch waits for changes after a revision, at most for the given time; it may return none.
	Watch(ctx context.Context, after int64, wait time.Duration) (replica.Batch, error)
	// Commit makes a transaction and returns the revision of its changes.
	Commit(ctx context.Context, transaction Transaction) (revision int64, err error)
	// Grant starts a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// Renew extends a lease from the arrival of the call on.
	Renew(ctx context.Context, lease int64) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease int64) error
}
