// Parts that were fetched for a head which could not be read whole yet. When many instances start at
// once, or a change touches every part, they ask for more than the store's rate allows, and some reads
// are refused. An instance that began from the first part each time might never get to the last one,
// and all of them together would keep the store at its limit; one would notice instances that stay
// unready after a rollout. So what was fetched once is kept until the head is taken up.

package repository

import (
	"sync"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// pendingParts holds fetched parts by their keys, and the head that names them; the zero value is empty.
type pendingParts struct {
	mutex   sync.Mutex
	headKey string
	head    head.Head
	parts   map[string][]resource.Resource
}

func (p *pendingParts) getHead(key string) (h head.Head, found bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.head, p.headKey == key
}

func (p *pendingParts) putHead(key string, h head.Head) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.headKey, p.head = key, h
}

func (p *pendingParts) get(key string) (resources []resource.Resource, found bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	resources, found = p.parts[key]
	return resources, found
}

func (p *pendingParts) put(key string, resources []resource.Resource) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.parts == nil {
		p.parts = map[string][]resource.Resource{}
	}
	p.parts[key] = resources
}

// keepOnly forgets the parts that are not wanted any more.
func (p *pendingParts) keepOnly(wanted map[string]bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for key := range p.parts {
		if !wanted[key] {
			delete(p.parts, key)
		}
	}
}
