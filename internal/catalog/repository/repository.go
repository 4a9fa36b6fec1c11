// Package repository stores the configuration and gives an instance its newest Snapshot of it. A change
// first writes immutable values, the parts and the head that references them, and then swaps the pointer
// to the head; only the swap makes it effective. The caller that decides when to read (for the instance's
// freshness) calls Refresh or Await, or runs Run; operators and membership change the head through
// Commit.
package repository

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/platform/store"
)

// HeadKey is the store key of the pointer to the head.
const HeadKey = "head"

// ErrRevisionRegressed means that the store returned a head of a lower revision than one it
// returned before, or another head of the same revision. Either the read was stale, and the next
// one is not, or the store has lost writes and an operator has to investigate. The instance keeps
// its head, unconfirmed, because installing the old one would make a withdrawn key valid again.
var ErrRevisionRegressed = errors.New("repository: the store's head is older than the one known")

// ErrPartMissing means that a part that the head references is not in the store, although the head
// was read again.
var ErrPartMissing = errors.New("repository: a part of the configuration is missing")

// Snapshot is an instance's immutable copy of the head and the configuration.
type Snapshot struct {
	Head          head.Head
	Configuration configuration.Configuration
	// ConfirmedAt is the start of the latest read that showed this head to be the newest one. It is zero
	// before the first read.
	ConfirmedAt time.Time
	// InForceSince is when this instance installed the head.
	InForceSince time.Time

	// storeRevision is the store's own revision of the head's key, which the next swap expects.
	storeRevision int64
}

// Repository stores and reads the configuration. Set the exported fields before the first call; it is
// safe for concurrent use.
type Repository struct {
	// Store is the platform's key-value service.
	Store store.Store
	// Writer is the prefix of this writer's swap IDs. It identifies the process: an instance and its
	// incarnation.
	Writer string
	// PollInterval is the interval at which Run reads the head, and its pause after a failed read; zero
	// means DefaultPollInterval.
	PollInterval time.Duration
	// WatchTimeout makes Run watch the head instead of polling it, with this timeout for each watch call.
	// Changes are then seen at once, at the cost of one call per timeout.
	WatchTimeout time.Duration
	// Log receives an event when reads begin to fail and when they succeed again.
	Log zerolog.Logger

	mutex       sync.Mutex
	current     Snapshot
	advanced    chan struct{}
	subscribers map[*subscriber]struct{}
	history     history
	commitLock  semaphore
	cache       fetchCache
}

// Current returns the newest snapshot without reading the store. It is cheap, because every request
// begins with it.
func (r *Repository) Current() Snapshot {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.current
}

// install makes the snapshot the current one, unless a newer one was installed in the meantime. If both
// have the same head, only the later confirmation is kept. It returns the snapshot that is then current.
func (r *Repository) install(next Snapshot) (current Snapshot) {
	// The comparison takes long after a large change. It is made without the mutex, which every request
	// acquires briefly.
	changes := diffSnapshots(r.Current(), next)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	loaded := !r.current.InForceSince.IsZero()
	if loaded && next.Head.Revision <= r.current.Head.Revision {
		if next.Head.Revision == r.current.Head.Revision {
			r.confirmCurrent(next)
		}
		return r.current
	}
	if changes.from != r.current.Head.Revision {
		changes = diffSnapshots(r.current, next)
	}
	if loaded {
		r.history.record(changes)
	}
	next.InForceSince = time.Now()
	r.current = next
	r.notifySubscribers()
	return next
}

// confirmCurrent records a later read of the same head; the mutex must be held.
func (r *Repository) confirmCurrent(next Snapshot) {
	if next.ConfirmedAt.After(r.current.ConfirmedAt) {
		r.current.ConfirmedAt = next.ConfirmedAt
	}
	r.current.storeRevision = max(r.current.storeRevision, next.storeRevision)
}

// checkNotOlder returns ErrRevisionRegressed unless the pointer, which was read from the store,
// references the head known when the read began or a later one.
func checkNotOlder(known head.Head, p head.Pointer) error {
	if p.Revision < known.Revision {
		return errors.WithMessagef(ErrRevisionRegressed, "revision %d after %d", p.Revision, known.Revision)
	}
	if p.Revision == known.Revision && p.SwapID != known.LastSwapID() {
		return errors.WithMessagef(ErrRevisionRegressed, "another head of revision %d", p.Revision)
	}
	return nil
}

// ---------------------------------------------------------------------------------------------

// subscriber is a channel of capacity one: a slow reader misses intermediate snapshots but always
// receives the newest.
type subscriber struct {
	snapshots chan Snapshot
}

// Subscribe returns a channel that receives each new snapshot, starting with the current one. A slow
// reader receives only the newest. Confirmations alone are not sent. stop ends the subscription.
func (r *Repository) Subscribe() (snapshots <-chan Snapshot, stop func()) {
	s := &subscriber{snapshots: make(chan Snapshot, 1)}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.subscribers == nil {
		r.subscribers = map[*subscriber]struct{}{}
	}
	r.subscribers[s] = struct{}{}
	if !r.current.InForceSince.IsZero() {
		s.snapshots <- r.current
	}
	return s.snapshots, func() { r.unsubscribe(s) }
}

func (r *Repository) unsubscribe(s *subscriber) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.subscribers, s)
}

// notifySubscribers sends the current snapshot to the subscribers. The mutex must be held, so that
// nothing else sends to the channels.
func (r *Repository) notifySubscribers() {
	for s := range r.subscribers {
		select {
		case <-s.snapshots:
		default:
		}
		s.snapshots <- r.current
	}
	if r.advanced != nil {
		close(r.advanced)
		r.advanced = nil
	}
}

// currentAndNext returns the current snapshot and a channel that is closed when there is a newer one.
func (r *Repository) currentAndNext() (current Snapshot, advanced <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.advanced == nil {
		r.advanced = make(chan struct{})
	}
	return r.current, r.advanced
}
