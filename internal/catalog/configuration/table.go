// The persistent map behind the configuration: values are found by key in one of head.PartCount
// buckets, and a change copies only the buckets it writes to. With 45,000 adapters and their versions
// a bucket holds some 1,400 entries, so a change of one resource copies a sixty-fourth of the whole.

package configuration

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
)

// bucket is shared between the tables that have the same entries in it, and never written then.
type bucket[V any] struct {
	entries map[string]V
}

// table is an immutable map in buckets. The zero value is empty.
type table[V any] struct {
	buckets [head.PartCount]*bucket[V]
}

// bucketOf tells which bucket, and so which part of the store, a key belongs to. Parts in the store
// are laid out by it: it must never change.
func bucketOf(key string) int {
	return int(xxhash.Sum64String(key) % head.PartCount)
}

func (t *table[V]) get(key string) (value V, found bool) {
	b := t.buckets[bucketOf(key)]
	if b == nil {
		return value, false
	}
	value, found = b.entries[key]
	return value, found
}

// entries gives the map of one bucket, for reading only.
func (t *table[V]) entries(index int) map[string]V {
	if t.buckets[index] == nil {
		return nil
	}
	return t.buckets[index].entries
}

// draft is a table being changed: it owns the buckets it has copied and writes only to those.
type draft[V any] struct {
	table table[V]
	owned [head.PartCount]bool
}

func (d *draft[V]) set(key string, value V) {
	d.own(bucketOf(key)).entries[key] = value
}

func (d *draft[V]) remove(key string) {
	if _, found := d.table.get(key); found {
		delete(d.own(bucketOf(key)).entries, key)
	}
}

func (d *draft[V]) own(index int) *bucket[V] {
	if !d.owned[index] {
		entries := maps.Clone(d.table.entries(index))
		if entries == nil {
			entries = map[string]V{}
		}
		d.table.buckets[index] = &bucket[V]{entries: entries}
		d.owned[index] = true
	}
	return d.table.buckets[index]
}
