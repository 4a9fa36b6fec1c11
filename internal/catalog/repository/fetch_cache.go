// A cache of the parts fetched for a head that could not be read completely yet. When many instances
// start at once, or a change touches every part, they exceed the store's rate limit and some reads are
// refused. An instance that began with the first part on each attempt might never reach the last one, and
// all of them together would keep the store at its limit; the symptom would be instances that stay
// unready after a rollout. Fetched parts are therefore kept until the head is installed.

package repository

import (
	"sync"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// fetchCache holds fetched parts by their keys, and the head that references them; the zero value is
// empty.
type fetchCache struct {
	mutex   sync.Mutex
	headKey string
	head    head.Head
	parts   map[string][]resource.Resource
}

func (c *fetchCache) getHead(key string) (h head.Head, found bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.head, c.headKey == key
}

func (c *fetchCache) putHead(key string, h head.Head) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.headKey, c.head = key, h
}

func (c *fetchCache) get(key string) (resources []resource.Resource, found bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	resources, found = c.parts[key]
	return resources, found
}

func (c *fetchCache) put(key string, resources []resource.Resource) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.parts == nil {
		c.parts = map[string][]resource.Resource{}
	}
	c.parts[key] = resources
}

// retain discards all parts except those wanted.
func (c *fetchCache) retain(wanted map[string]bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for key := range c.parts {
		if !wanted[key] {
			delete(c.parts, key)
		}
	}
}
