// Changes between the snapshots that an instance installed, for operators who watch the configuration.

package repository

import (
	"context"
	"slices"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// maxHistoryResources bounds the recorded changes, in resources; that is about 10 MB. A watcher that is
// further behind is notified and has to read everything again.
const maxHistoryResources = 100_000

// ResourceChange is one resource that was declared, with its resource version, or removed.
type ResourceChange struct {
	ID      resource.ID
	Version int64
	Removed bool
}

// snapshotDiff is the difference between one snapshot and the next.
type snapshotDiff struct {
	from    int64
	to      int64
	changed []ResourceChange
}

// history is a buffer of the newest diffs, bounded by the number of resources in them.
type history struct {
	diffs []snapshotDiff
	size  int
}

// diffSnapshots returns the difference between two snapshots.
func diffSnapshots(before, after Snapshot) snapshotDiff {
	diff := snapshotDiff{from: before.Head.Revision, to: after.Head.Revision}
	if diff.to <= diff.from {
		return diff
	}
	for _, d := range after.Configuration.DifferencesFrom(before.Configuration) {
		changed := ResourceChange{ID: d.ID, Removed: d.After == nil}
		if d.After != nil {
			changed.Version = d.After.ResourceVersion()
		}
		diff.changed = append(diff.changed, changed)
	}
	return diff
}

// record appends a diff and drops the oldest ones above the bound; the repository's mutex must be held.
func (h *history) record(diff snapshotDiff) {
	h.diffs = append(h.diffs, diff)
	h.size += len(diff.changed) + 1
	for h.size > maxHistoryResources && len(h.diffs) > 0 {
		h.size -= len(h.diffs[0].changed) + 1
		h.diffs = slices.Delete(h.diffs, 0, 1)
	}
}

// changesSince returns what changed after a revision. complete is false if the recorded diffs do not
// reach back that far.
func (h *history) changesSince(revision, current int64) (changed []ResourceChange, complete bool) {
	if revision >= current {
		return nil, true
	}
	for _, diff := range h.diffs {
		if diff.to <= revision {
			continue
		}
		if diff.from <= revision {
			complete = true
		}
		changed = append(changed, diff.changed...)
	}
	if !complete {
		return nil, false
	}
	return changed, true
}

// ChangesAfter waits until the current revision is above after, or the context ends, and returns what
// changed since. complete is false when after is older than the recorded changes; the caller then has to
// read everything again. A resource that changed several times may be listed several times.
func (r *Repository) ChangesAfter(
	ctx context.Context, after int64,
) (current Snapshot, changed []ResourceChange, complete bool) {
	for {
		current, advanced := r.currentAndNext()
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
	changed, complete = r.history.changesSince(revision, r.current.Head.Revision)
	return r.current, changed, complete
}
