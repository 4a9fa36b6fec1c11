// Package replica holds an instance's copy of the store's keys. It merges changes from the store's watch and from other
// instances, in any order and with duplicates, and never returns to an older value. So an instance that the store
// refuses follows the others, and a restarted one does not replace the values it receives by older ones.
package replica

import "sort"

// Item is a key as of its last change. A removed key has no value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
}

// Batch holds all changes after the revision After up to and including Through. A snapshot holds all existing keys
// instead, whenever they changed last.
type Batch struct {
	After    int64
	Through  int64
	Snapshot bool
	Items    []Item
}

// maxTombstones limits how many removed keys are kept for instances that are behind. A fleet of some hundred upstreams
// removes a few keys a minute; an instance that is further behind gets a snapshot.
const maxTombstones = 1024

// Replica is the copy. The zero value is empty and has seen no revision. It is not safe for concurrent use.
type Replica struct {
	items    map[string]Item
	revision int64
	// horizon is the oldest revision after which all changes, removals included, are known.
	horizon    int64
	tombstones int
}

// Revision returns the revision up to which the copy is complete; 0 before the first snapshot.
func (r *Replica) Revision() int64 { return r.revision }

// Get returns an existing key.
func (r *Replica) Get(key string) (Item, bool) {
	item, found := r.items[key]
	return item, found && !item.Removed
}

// Merge merges a batch and returns the keys that it changed. A batch that leaves a gap after the known revisions is not
// contiguous and changes nothing.
func (r *Replica) Merge(batch Batch) (changed []Item, contiguous bool) {
	if batch.Snapshot {
		return r.mergeSnapshot(batch), true
	}
	if batch.After > r.revision || r.items == nil {
		return nil, false
	}
	for _, item := range batch.Items {
		changed = r.apply(item, changed)
	}
	r.revision = max(r.revision, batch.Through)
	r.pruneTombstones()
	return changed, true
}

// mergeSnapshot also removes the keys that the snapshot lacks. Keys that changed after the snapshot's revision stay.
func (r *Replica) mergeSnapshot(batch Batch) (changed []Item) {
	if r.items == nil {
		r.items = make(map[string]Item)
	}
	if batch.Through < r.revision {
		return nil // all of it is known, and keys that it lacks may have been added later
	}
	inSnapshot := make(map[string]bool, len(batch.Items))
	for _, item := range batch.Items {
		inSnapshot[item.Key] = true
		changed = r.apply(item, changed)
	}
	for key, item := range r.items {
		if !inSnapshot[key] && !item.Removed && item.Revision <= batch.Through && batch.Through > r.revision {
			changed = r.apply(Item{Key: key, Revision: batch.Through, Removed: true}, changed)
		}
	}
	if batch.Through > r.revision {
		r.horizon = batch.Through // keys set and removed since the last revision leave no trace in a snapshot
	}
	r.revision = max(r.revision, batch.Through)
	r.pruneTombstones()
	return changed
}

// ChangesSince returns what an instance lacks whose copy is complete up to a revision.
func (r *Replica) ChangesSince(after int64) Batch {
	batch := Batch{After: after, Through: r.revision, Snapshot: after < r.horizon}
	for _, item := range r.items {
		if batch.Snapshot && !item.Removed || !batch.Snapshot && item.Revision > after {
			batch.Items = append(batch.Items, item)
		}
	}
	sort.Slice(batch.Items, func(i, j int) bool { return batch.Items[i].Revision < batch.Items[j].Revision })
	return batch
}

// ---------------------------------------------------------------------------------------------

// apply applies one change unless it is known already. All changes up to the replica's revision are known: if the key
// of one is missing, the key was removed later and a snapshot left it out. Applying the change would bring the key back.
func (r *Replica) apply(item Item, changed []Item) []Item {
	known, found := r.items[item.Key]
	if item.Revision <= r.revision || found && known.Revision >= item.Revision {
		return changed
	}
	if item.Removed {
		item.Value = nil
		r.tombstones++
	}
	if found && known.Removed {
		r.tombstones--
	}
	r.items[item.Key] = item
	return append(changed, item)
}

// pruneTombstones drops the oldest removals. Instances that lack one of them get a snapshot from then on.
func (r *Replica) pruneTombstones() {
	if r.tombstones <= maxTombstones {
		return
	}
	var revisions []int64
	for _, item := range r.items {
		if item.Removed {
			revisions = append(revisions, item.Revision)
		}
	}
	sort.Slice(revisions, func(i, j int) bool { return revisions[i] < revisions[j] })
	r.horizon = revisions[len(revisions)-maxTombstones/2]
	for key, item := range r.items {
		if item.Removed && item.Revision <= r.horizon {
			delete(r.items, key)
			r.tombstones--
		}
	}
}
