// Package store reaches the platform's key-value service: the only place where anything outlives an
// instance. It offers compare-and-swap, leases and watches, counts every call, and has outages. The
// interface is small so that deciding code can be tested with an in-memory one.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors that callers of a Store tell apart with errors.Is.
var (
	// ErrNotFound: the key has no value.
	ErrNotFound = errors.New("store: no such key")
	// ErrConflict: the key's revision was not the expected one; nothing was written.
	ErrConflict = errors.New("store: revision is not the expected one")
	// ErrUnavailable: the store refused before doing anything (outage, or over its rate).
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown: the answer was lost, so the write may or may not have taken effect. The caller
	// settles it by reading back and looking for its own mark.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrNotChanged: a watch ended without a newer value.
	ErrNotChanged = errors.New("store: not changed")
)

// Absent is the expected revision of a key that must not exist yet.
const Absent int64 = 0

// Entry is a key's value as of one revision. Revisions rise with every write over the whole store.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64
}

// Store is the key-value service.
type Store interface {
	// Get reads a key, or fails with ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes if the key's revision is the expected one (Absent: it must not exist).
	CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (Entry, error)
	// Delete removes the key if its revision is the expected one.
	Delete(ctx context.Context, key string, expected int64) error
	// List reads the keys with a prefix, in order, values included.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Watch waits until the key's revision is above after, or fails with ErrNotChanged once wait is over.
	Watch(ctx context.Context, key string, after int64, wait time.Duration) (Entry, error)
}
