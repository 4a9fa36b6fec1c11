// Package replica is an instance's copy of the store's keys. It is fed by the store's watch or by other
// instances, in any order and more than once, and never goes back to an older value. So an instance that
// the store turns away follows the others, and a restarted one does not undercut what it hears.
package replica

import "sort"

// Item is a key as of its last change. A removed one has no value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
}

// Batch is all changes after one revision up to and including another. A snapshot has every key that is
// left instead, whatever it changed last.
type Batch struct {
	After    int64
	Through  int64
	Snapshot bool
	Items    []Item
}

// mostRemoved bounds how many removed keys are remembered for instances that are behind. A fleet of some
// hundred upstreams removes a few keys a minute; one that is further behind gets a snapshot.
const mostRemoved = 1024

// Replica is the copy. The zero value is empty and knows nothing. It is not safe for use by several
// goroutines.
type Replica struct {
	items    map[string]Item
	revision int64
	// horizon is the oldest revision after which all changes are known, removals included.
	horizon int64
	removed int
}

// Revision up to which the copy is complete; 0 while it knows nothing.
func (r *Replica) Revision() int64 { return r.revision }

// Get reads a key.
func (r *Replica) Get(key string) (Item, bool) {
	item, found := r.items[key]
	return item, found && !item.Removed
}

// Merge takes a batch in and gives the keys that it changed. A batch that leaves a gap to what is known
// changes nothing and is not joined.
func (r *Replica) Merge(batch Batch) (changed []Item, joined bool) {
	if batch.Snapshot {
		return r.mergeSnapshot(batch), true
	}
	if batch.After > r.revision || r.items == nil {
		return nil, false
	}
	for _, item := range batch.Items {
		changed = r.put(item, changed)
	}
	r.revision = max(r.revision, batch.Through)
	r.prune()
	return changed, true
}

// mergeSnapshot also removes what the snapshot lacks. What changed after the snapshot began stays.
func (r *Replica) mergeSnapshot(batch Batch) (changed []Item) {
	if r.items == nil {
		r.items = make(map[string]Item)
	}
	if batch.Through < r.revision {
		return nil // everything in it is known, and what it lacks may have come later
	}
	present := make(map[string]bool, len(batch.Items))
	for _, item := range batch.Items {
		present[item.Key] = true
		changed = r.put(item, changed)
	}
	for key, item := range r.items {
		if !present[key] && !item.Removed && item.Revision <= batch.Through && batch.Through > r.revision {
			changed = r.put(Item{Key: key, Revision: batch.Through, Removed: true}, changed)
		}
	}
	if batch.Through > r.revision {
		r.horizon = batch.Through // keys that came and went since the last revision are missing without a word
	}
	r.revision = max(r.revision, batch.Through)
	r.prune()
	return changed
}

// ChangesSince gives what an instance lacks that is complete up to a revision.
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

// put takes one change over unless it is known already. All changes up to the replica's revision are: one
// of them whose key is missing was undone by a removal that a snapshot left out, and taking it over would
// bring the key back.
func (r *Replica) put(item Item, changed []Item) []Item {
	known, found := r.items[item.Key]
	if item.Revision <= r.revision || found && known.Revision >= item.Revision {
		return changed
	}
	if item.Removed {
		item.Value = nil
		r.removed++
	}
	if found && known.Removed {
		r.removed--
	}
	r.items[item.Key] = item
	return append(changed, item)
}

// prune forgets the oldest removals, and with them the ability to tell of them.
func (r *Replica) prune() {
	if r.removed <= mostRemoved {
		return
	}
	var revisions []int64
	for _, item := range r.items {
		if item.Removed {
			revisions = append(revisions, item.Revision)
		}
	}
	sort.Slice(revisions, func(i, j int) bool { return revisions[i] < revisions[j] })
	r.horizon = revisions[len(revisions)-mostRemoved/2]
	for key, item := range r.items {
		if item.Removed && item.Revision <= r.horizon {
			delete(r.items, key)
			r.removed--
		}
	}
}
