// Package store accesses the platform's key-value service, the only storage that outlives an instance.
// The service offers compare-and-swap, leases and watches, counts every call, and has outages. The
// interface is small so that the code that uses it can be tested with an in-memory store.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store, to be checked with errors.Is.
var (
	// ErrNotFound: the key has no value.
	ErrNotFound = errors.New("store: no such key")
	// ErrConflict: the key's revision was not the expected one; nothing was written.
	ErrConflict = errors.New("store: revision is not the expected one")
	// ErrUnavailable: the store refused before doing anything (outage, or over its rate limit).
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown: the response was lost, so the write may or may not have taken effect. The caller
	// determines the outcome by reading the key and looking for its own mark.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrNotChanged: a watch ended without a newer value.
	ErrNotChanged = errors.New("store: not changed")
)

// Absent is the expected revision of a key that must not exist yet.
const Absent int64 = 0

// Entry is a key's value at one revision. Every write increases the revision of the whole store.
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
	// Watch waits until the key's revision is above after. It returns ErrNotChanged after wait.
	Watch(ctx context.Context, key string, after int64, wait time.Duration) (Entry, error)
}
