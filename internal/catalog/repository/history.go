// What changed between the snapshots that an instance took up, for operators who watch.

package repository

import (
	"context"
	"slices"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// maxHistory bounds the changes kept, in resources: some 10 MB. A watcher that is further behind is
// told so and reads everything again.
const maxHistory = 100_000

// ResourceChange is one resource that was declared, with its resource version, or removed.
type ResourceChange struct {
	ID      resource.ID
	Version int64
	Removed bool
}

// step is what changed from one snapshot to the next.
type step struct {
	from    int64
	to      int64
	changed []ResourceChange
}

// history is a ring of the newest steps, bounded by the resources in them.
type history struct {
	steps []step
	size  int
}

// stepBetween compares two snapshots.
func stepBetween(before, after Snapshot) step {
	s := step{from: before.Head.Revision, to: after.Head.Revision}
	if s.to <= s.from {
		return s
	}
	for _, d := range after.Configuration.DifferencesFrom(before.Configuration) {
		changed := ResourceChange{ID: d.ID, Removed: d.After == nil}
		if d.After != nil {
			changed.Version = d.After.ResourceVersion()
		}
		s.changed = append(s.changed, changed)
	}
	return s
}

// record keeps a step; it is called with the repository's mutex held.
func (h *history) record(s step) {
	h.steps = append(h.steps, s)
	h.size += len(s.changed) + 1
	for h.size > maxHistory && len(h.steps) > 0 {
		h.size -= len(h.steps[0].changed) + 1
		h.steps = slices.Delete(h.steps, 0, 1)
	}
}

// since lists what changed after a revision; complete says whether the steps reach back that far.
func (h *history) since(revision, current int64) (changed []ResourceChange, complete bool) {
	if revision >= current {
		return nil, true
	}
	for _, s := range h.steps {
		if s.to <= revision {
			continue
		}
		if s.from <= revision {
			complete = true
		}
		changed = append(changed, s.changed...)
	}
	if !complete {
		return nil, false
	}
	return changed, true
}

// ChangesAfter waits until the current revision is above after, or the context ends, and lists what
// changed since. complete is false when after lies further back than is kept: then the caller reads
// everything again. A resource that changed several times may be listed as often.
func (r *Repository) ChangesAfter(
	ctx context.Context, after int64,
) (current Snapshot, changed []ResourceChange, complete bool) {
	for {
		current, advanced := r.currentAndAdvanced()
		if current.Head.Revision > after || ctx.Err() != nil {
			return r.changesSince(after)
		}
		select {
		case <-advanced:
		case <-ctx.Done():
		}
	}
}

func (r *Repository) changesSince(revision int64) (current Snapshot, changed []ResourceChange, complete bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changed, complete = r.history.since(revision, r.current.Head.Revision)
	return r.current, changed, complete
}
