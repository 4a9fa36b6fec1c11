package node_test

import (
	"context"
	"regexp"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/coordination"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
)

// prefixInstances is the prefix of the keys of instances.
const prefixInstances = "fleet/instances/"

// store is an in-memory version of the store of the platform.
type store struct {
	mutex    sync.Mutex
	items    map[string]replica.Item
	leases   map[int64]time.Time
	bound    map[string]int64
	ttl      map[int64]time.Duration
	log      []replica.Item
	revision int64
	down     bool
	changed  chan struct{}
}

func newStore() *store {
	return &store{
		items: map[string]replica.Item{}, leases: map[int64]time.Time{}, bound: map[string]int64{},
		ttl: map[int64]time.Duration{}, changed: make(chan struct{}),
	}
}

// expire removes the keys of expired leases. The caller holds the lock.
func (s *store) expire() {
	for key, lease := range s.bound {
		if time.Now().After(s.leases[lease]) {
			s.remove(key)
		}
	}
}

func (s *store) set(item replica.Item) {
	s.revision++
	item.Revision = s.revision
	s.items[item.Key] = item
	s.log = append(s.log, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) remove(key string) {
	delete(s.bound, key)
	s.set(replica.Item{Key: key, Removed: true})
	delete(s.items, key)
}

// put writes a key like an operator or an upstream.
func (s *store) put(key, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.set(replica.Item{Key: key, Value: []byte(value)})
}

func (s *store) drop(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.remove(key)
}

func (s *store) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

func (s *store) get(key string) (replica.Item, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	item, found := s.items[key]
	return item, found
}

// client is the client of one instance, whose calls the store may refuse.
type client struct {
	store   *store
	mutex   sync.Mutex
	refused bool
	// unreachable are the instances whose addresses this instance does not learn.
	unreachable []string
}

// hideAddresses replaces the addresses of unreachable by one where nobody listens.
func (c *client) hideAddresses(items []replica.Item) (visible []replica.Item) {
	for _, item := range items {
		name, isInstance := strings.CutPrefix(item.Key, prefixInstances)
		if isInstance && !item.Removed && slices.Contains(c.unreachable, name) {
			item.Value = regexp.MustCompile(`"Address":"[^"]*"`).ReplaceAll(item.Value, []byte(`"Address":"127.0.0.1:1"`))
		}
		visible = append(visible, item)
	}
	return visible
}

func (c *client) setRefused(denied bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refused = denied
}

// enter takes the lock of the store unless the store is down or refuses this client.
func (c *client) lock() error {
	c.mutex.Lock()
	denied := c.refused
	c.mutex.Unlock()
	c.store.mutex.Lock()
	if denied || c.store.down {
		c.store.mutex.Unlock()
		return coordination.ErrUnavailable
	}
	c.store.expire()
	return nil
}

func (c *client) Snapshot(context.Context) (batch replica.Batch, err error) {
	if err := c.lock(); err != nil {
		return batch, err
	}
	defer c.store.mutex.Unlock()
	batch = replica.Batch{Snapshot: true, Through: c.store.revision}
	for _, item := range c.store.items {
		batch.Items = append(batch.Items, item)
	}
	sort.Slice(batch.Items, func(i, j int) bool { return batch.Items[i].Key < batch.Items[j].Key })
	batch.Items = c.hideAddresses(batch.Items)
	return batch, nil
}

func (c *client) Watch(ctx context.Context, after int64, wait time.Duration) (batch replica.Batch, err error) {
	deadline := time.After(wait)
	for {
		if err := c.lock(); err != nil {
			return batch, err
		}
		batch = replica.Batch{After: after, Through: c.store.revision}
		if after < c.store.revision {
			batch.Items = c.hideAddresses(c.store.log[after:])
		}
		changed := c.store.changed
		c.store.mutex.Unlock()
		if len(batch.Items) > 0 {
			return batch, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return batch, nil
		case <-ctx.Done():
			return batch, ctx.Err()
		}
	}
}

func (c *client) Commit(_ context.Context, t coordination.Transaction) (int64, error) {
	if err := c.lock(); err != nil {
		return 0, err
	}
	defer c.store.mutex.Unlock()
	for _, condition := range t.Conditions {
		if c.store.items[condition.Key].Revision != condition.Revision {
			return 0, coordination.ErrConflict
		}
	}
	for _, write := range t.Writes {
		c.store.set(replica.Item{Key: write.Key, Value: write.Value})
		delete(c.store.bound, write.Key)
		if write.Lease != 0 {
			c.store.bound[write.Key] = write.Lease
		}
	}
	for _, key := range t.Removals {
		c.store.remove(key)
	}
	return c.store.revision, nil
}

func (c *client) Grant(_ context.Context, ttl time.Duration) (int64, error) {
	if err := c.lock(); err != nil {
		return 0, err
	}
	defer c.store.mutex.Unlock()
	id := int64(len(c.store.leases) + 1)
	c.store.leases[id] = time.Now().Add(ttl)
	c.store.ttl[id] = ttl
	return id, nil
}

func (c *client) Renew(_ context.Context, lease int64) error {
	if err := c.lock(); err != nil {
		return err
	}
	defer c.store.mutex.Unlock()
	if time.Now().After(c.store.leases[lease]) {
		return coordination.ErrLeaseEnded
	}
	c.store.leases[lease] = time.Now().Add(c.store.ttl[lease])
	return nil
}

func (c *client) Revoke(_ context.Context, lease int64) error {
	if err := c.lock(); err != nil {
		return err
	}
	defer c.store.mutex.Unlock()
	c.store.leases[lease] = time.Time{}
	c.store.expire()
	return nil
}
