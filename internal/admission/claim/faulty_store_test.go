package claim_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"lacewingrock.example/lacewingrock/internal/platform/store"
)

// faultyStore is a key-value store with injected faults: unavailable, slow, a response lost before or after the
// write took effect, and a write that takes effect long after its caller got an unknown outcome.
type faultyStore struct {
	mutex    sync.Mutex
	random   *rand.Rand
	entries  map[string]store.Entry
	revision int64
	down     bool
	lossy    bool
	writes   int
}

func newFaultyStore(seed uint64) *faultyStore {
	return &faultyStore{random: rand.New(rand.NewPCG(seed, 1)), entries: map[string]store.Entry{}}
}

func (s *faultyStore) fault(faults ...string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return "down"
	}
	if !s.lossy {
		return ""
	}
	return faults[s.random.IntN(len(faults))]
}

func (s *faultyStore) latency() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Duration(1+s.random.IntN(20)) * time.Millisecond
}

func (s *faultyStore) set(down, lossy bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down, s.lossy = down, lossy
}

func (s *faultyStore) largest() (size int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, entry := range s.entries {
		size = max(size, len(entry.Value))
	}
	return size
}

func (s *faultyStore) swap(key string, expected int64, value []byte) (store.Entry, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.entries[key].Revision != expected {
		return store.Entry{}, store.ErrConflict
	}
	s.revision++
	s.writes++
	entry := store.Entry{Key: key, Value: bytes.Clone(value), Revision: s.revision}
	s.entries[key] = entry
	return entry, nil
}

// client is one instance's connection to the store. A dead instance cannot reach the store.
type client struct {
	*faultyStore
	dead atomic.Bool
}

func (c *client) Get(_ context.Context, key string) (store.Entry, error) {
	time.Sleep(c.latency())
	if c.dead.Load() || c.fault("", "", "down") != "" {
		return store.Entry{}, store.ErrUnavailable
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if entry, found := c.entries[key]; found {
		return entry, nil
	}
	return store.Entry{}, store.ErrNotFound
}

func (c *client) CompareAndSwap(_ context.Context, key string, expected int64, value []byte) (store.Entry, error) {
	time.Sleep(c.latency())
	if c.dead.Load() {
		return store.Entry{}, store.ErrUnavailable
	}
	switch c.fault("", "down", "before", "after", "late") {
	case "down":
		return store.Entry{}, store.ErrUnavailable
	case "before":
		return store.Entry{}, store.ErrUnknown
	case "after":
		_, _ = c.swap(key, expected, value)
		return store.Entry{}, store.ErrUnknown
	case "late":
		time.AfterFunc(20*c.latency(), func() { _, _ = c.swap(key, expected, value) })
		return store.Entry{}, store.ErrUnknown
	}
	return c.swap(key, expected, value)
}

func (c *client) Delete(_ context.Context, key string, expected int64) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.entries[key].Revision != expected {
		return store.ErrConflict
	}
	delete(c.entries, key)
	return nil
}

func (c *client) List(context.Context, string) ([]store.Entry, error) {
	return nil, store.ErrUnavailable
}

func (c *client) Watch(context.Context, string, int64, time.Duration) (store.Entry, error) {
	return store.Entry{}, store.ErrUnavailable
}
