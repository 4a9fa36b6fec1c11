// Package repository keeps the configuration in the store and gives an instance its newest Snapshot
// of it. A change writes immutable values first, the parts and the head that names them, and then swaps
// the pointer to the head; only the swap counts. Whoever decides when to read (the freshness of an instance) calls Refresh or Await, or lets
// Run do it; operators and membership change the head through Commit.
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

// HeadKey is where the store keeps the pointer to the head.
const HeadKey = "head"

// ErrRevisionRegressed tells that the store gave a head of a lower revision than one it gave before, or another one of
// the same revision. Either the read was stale, and the next one is not, or the store has lost
// writes, and an operator has to look. The instance keeps the head it has, unconfirmed: taking the
// old one up would bring a withdrawn key back to life.
var ErrRevisionRegressed = errors.New("repository: the store's head is older than the one known")

// ErrPartMissing tells that a part that the head names is not in the store, though the head was read again.
var ErrPartMissing = errors.New("repository: a part of the configuration is missing")

// Snapshot is what an instance knows of the configuration. It is immutable.
type Snapshot struct {
	Head          head.Head
	Configuration configuration.Configuration
	// ConfirmedAt is when the newest read began that showed this head to be the newest one. It is
	// zero before the first read.
	ConfirmedAt time.Time
	// InForceSince is when this instance took the head up.
	InForceSince time.Time

	// storeRevision is the store's own revision of the head's key, for the next swap.
	storeRevision int64
}

// Repository keeps the configuration. Set the exported fields before the first call; it is safe for
// use by many goroutines.
type Repository struct {
	// Store is the platform's key-value service.
	Store store.Store
	// Writer begins the mark of each swap of this writer. It names the process: an instance and its
	// incarnation.
	Writer string
	// PollInterval is how often Run reads the head, and how long it pauses after a failed read; zero
	// means DefaultPollEvery.
	PollInterval time.Duration
	// WatchTimeout makes Run watch the head, that long at a time, instead of polling it. A change is then
	// seen at once, for the price of one call in that time.
	WatchTimeout time.Duration
	// Log takes a line when reading begins to fail and when it works again.
	Log zerolog.Logger

	mutex       sync.Mutex
	current     Snapshot
	advanced    chan struct{}
	subscribers map[*subscriber]struct{}
	history     history
	committing  semaphore
	pending     pendingParts
}

// Current gives the newest snapshot without reading the store. It is cheap: the path of each request
// begins with it.
func (r *Repository) Current() Snapshot {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.current
}

// adopt makes the snapshot the current one, unless a newer one was taken up meanwhile; if both have
// one head, only the later confirmation is taken over. It gives what is current then.
func (r *Repository) adopt(next Snapshot) (current Snapshot) {
	// After a large change the comparison takes long: it is not made with the mutex held, on which
	// every request waits for a moment.
	changes := stepBetween(r.Current(), next)
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
		changes = stepBetween(r.current, next)
	}
	if loaded {
		r.history.record(changes)
	}
	next.InForceSince = time.Now()
	r.current = next
	r.tell()
	return next
}

// confirmCurrent takes over what a later read of the same head says; it is called with the mutex held.
func (r *Repository) confirmCurrent(next Snapshot) {
	if next.ConfirmedAt.After(r.current.ConfirmedAt) {
		r.current.ConfirmedAt = next.ConfirmedAt
	}
	r.current.storeRevision = max(r.current.storeRevision, next.storeRevision)
}

// notOlder fails with ErrWentBack unless the pointer, which was read from the store, is to the head
// known when the read began or to one that follows it.
func notOlder(known head.Head, p head.Pointer) error {
	if p.Revision < known.Revision {
		return errors.WithMessagef(ErrRevisionRegressed, "revision %d after %d", p.Revision, known.Revision)
	}
	if p.Revision == known.Revision && p.Mark != known.LastSwapID() {
		return errors.WithMessagef(ErrRevisionRegressed, "another head of revision %d", p.Revision)
	}
	return nil
}

// ---------------------------------------------------------------------------------------------

// subscriber is a ring of one: a slow reader misses snapshots in between but always finds the newest.
type subscriber struct {
	snapshots chan Snapshot
}

// Subscribe gives a channel on which each new snapshot is told, the current one first. Only the newest
// is kept for a reader that is behind. Confirmations alone are not told. stop ends it.
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

// tell is called with the mutex held, so that nobody else puts into the rings.
func (r *Repository) tell() {
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

// currentAndAdvanced gives the current snapshot and a channel that is closed when there is a newer one.
func (r *Repository) currentAndAdvanced() (current Snapshot, advanced <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.advanced == nil {
		r.advanced = make(chan struct{})
	}
	return r.current, r.advanced
}
