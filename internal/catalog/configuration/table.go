// The persistent map behind the configuration. Keys are hashed into head.PartCount buckets, and a change
// copies only the buckets it writes to. With 45,000 adapters and their versions a bucket holds about
// 1,400 entries, so a change of one resource copies a sixty-fourth of the whole.

package configuration

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
)

// bucket is shared between the tables that have the same entries in it, and is then read-only.
type bucket[V any] struct {
	entries map[string]V
}

// table is an immutable hash map. The zero value is empty.
type table[V any] struct {
	buckets [head.PartCount]*bucket[V]
}

// bucketOf returns the bucket of a key, which is also the index of the part it is stored in. The layout
// of the stored parts depends on it, so it must never change.
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

// entries returns the map of one bucket, for reading only.
func (t *table[V]) entries(index int) map[string]V {
	if t.buckets[index] == nil {
		return nil
	}
	return t.buckets[index].entries
}

// draft is a table being changed. It copies a bucket before the first write to it and writes only to
// copies.
type draft[V any] struct {
	table  table[V]
	copied [head.PartCount]bool
}

func (d *draft[V]) set(key string, value V) {
	d.writableBucket(bucketOf(key)).entries[key] = value
}

func (d *draft[V]) remove(key string) {
	if _, found := d.table.get(key); found {
		delete(d.writableBucket(bucketOf(key)).entries, key)
	}
}

func (d *draft[V]) writableBucket(index int) *bucket[V] {
	if !d.copied[index] {
		entries := maps.Clone(d.table.entries(index))
		if entries == nil {
			entries = map[string]V{}
		}
		d.table.buckets[index] = &bucket[V]{entries: entries}
		d.copied[index] = true
	}
	return d.table.buckets[index]
}
