// Package coordination declares what the fleet needs of the platform's store: a watch on all keys, conditional
// transactions, and leases. The store is the only state that outlives an instance.
package coordination

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/fleet/replica"
)

// Errors of a Store, for use with errors.Is.
var (
	// ErrConflict means that a condition did not hold; nothing was changed.
	ErrConflict = errors.New("store: transaction condition does not hold")
	// ErrCompacted means that the history after the revision was compacted; the caller has to read a snapshot.
	ErrCompacted = errors.New("store: history after the revision was compacted")
	// ErrLeaseEnded means that the lease has ended and its keys were removed.
	ErrLeaseEnded = errors.New("store: the lease has ended")
	// ErrUnavailable means that the store refused the call before doing anything.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown means that there was no response: the change may have been made, or may still be made.
	ErrUnknown = errors.New("store: outcome unknown")
)

// Condition holds if the key was last changed at the revision; 0 means that the key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write sets a key. The key is bound to the lease unless that is 0.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Transaction is applied atomically if all conditions hold.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	Removals   []string
}

// Store is the platform's key-value service.
type Store interface {
	// Snapshot reads all keys.
	Snapshot(ctx context.Context) (replica.Batch, error)
	// Watch waits up to the given time for changes after a revision; it may return none.
	Watch(ctx context.Context, after int64, wait time.Duration) (replica.Batch, error)
	// Commit applies a transaction and returns the revision of its changes.
	Commit(ctx context.Context, transaction Transaction) (revision int64, err error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// Renew extends a lease by its TTL, counted from the arrival of the call.
	Renew(ctx context.Context, lease int64) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease int64) error
}
