package replica_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lacewingrock.example/lacewingrock/internal/fleet/replica"
)

func item(key, value string, revision int64) replica.Item {
	return replica.Item{Key: key, Value: []byte(value), Revision: revision}
}

func value(r *replica.Replica, key string) string {
	found, ok := r.Get(key)
	if !ok {
		return ""
	}
	return string(found.Value)
}

// A peer's response is in flight while the store's watch delivers a newer value. If the late response were applied, the
// instance would return to an older configuration.
func TestOlderValueIsDropped(t *testing.T) {
	is := is.New(t)
	var r replica.Replica
	_, contiguous := r.Merge(replica.Batch{Snapshot: true, Through: 10, Items: []replica.Item{item("a", "old", 5)}})
	is.True(contiguous)
	_, contiguous = r.Merge(replica.Batch{After: 10, Through: 12, Items: []replica.Item{item("a", "new", 12)}})
	is.True(contiguous)
	changed, contiguous := r.Merge(replica.Batch{After: 8, Through: 11, Items: []replica.Item{item("a", "late", 11)}})
	is.True(contiguous)
	is.Equal(len(changed), 0)
	is.Equal(value(&r, "a"), "new")
	is.Equal(r.Revision(), int64(12))
}

// An instance missed changes and then receives later ones. If it merged them, a key revoked in the gap would work
// forever; it has to request a snapshot.
func TestBatchAfterAGapIsNotMerged(t *testing.T) {
	is := is.New(t)
	var r replica.Replica
	r.Merge(replica.Batch{Snapshot: true, Through: 10})
	_, contiguous := r.Merge(replica.Batch{After: 11, Through: 13, Items: []replica.Item{item("a", "x", 13)}})
	is.True(!contiguous)
	is.Equal(r.Revision(), int64(10))
}

// The store compacted its history, and with it the removal of a key. The snapshot that follows lacks the key, so the
// replica must remove it: otherwise an upstream that left would still be used.
func TestSnapshotRemovesWhatItLacks(t *testing.T) {
	is := is.New(t)
	var r replica.Replica
	r.Merge(replica.Batch{Snapshot: true, Through: 10, Items: []replica.Item{item("gone", "x", 3), item("kept", "y", 4)}})
	changed, _ := r.Merge(replica.Batch{Snapshot: true, Through: 20, Items: []replica.Item{item("kept", "y", 4), item("new", "z", 15)}})
	is.Equal(len(changed), 2)
	is.Equal(value(&r, "gone"), "")
	is.Equal(value(&r, "kept"), "y")
	is.Equal(value(&r, "new"), "z")
	changed, _ = r.Merge(replica.Batch{Snapshot: true, Through: 12, Items: []replica.Item{item("kept", "y", 4)}})
	is.Equal(len(changed), 0) // a late snapshot reverts nothing
	is.Equal(value(&r, "new"), "z")
}

// An instance starts with a snapshot, in which a removed key is missing. A peer's response to an earlier request then
// contains the key's last value. If it were applied, the upstream that left would be used again.
func TestLateAnswerDoesNotBringARemovedKeyBack(t *testing.T) {
	is := is.New(t)
	var r replica.Replica
	r.Merge(replica.Batch{Snapshot: true, Through: 3})
	_, contiguous := r.Merge(replica.Batch{After: 0, Through: 1, Items: []replica.Item{item("a", "x", 1)}})
	is.True(contiguous)
	is.Equal(value(&r, "a"), "")
}

// A key is set and removed while an instance is disconnected, and the snapshot with which it catches up does not show
// it. A peer that saw the key set must get a snapshot from that instance: with an empty list of changes it would keep
// the key.
func TestPeerBehindASnapshotGetsASnapshot(t *testing.T) {
	is := is.New(t)
	var returned, peer replica.Replica
	returned.Merge(replica.Batch{Snapshot: true, Through: 1})
	peer.Merge(replica.Batch{Snapshot: true, Through: 1})
	peer.Merge(replica.Batch{After: 1, Through: 3, Items: []replica.Item{item("b", "x", 3)}})
	returned.Merge(replica.Batch{Snapshot: true, Through: 4}) // b was removed at 4
	peer.Merge(returned.ChangesSince(peer.Revision()))
	is.Equal(value(&peer, "b"), "")
	is.Equal(peer.Revision(), int64(4))
}

// More keys were removed since a peer's last update than there are tombstones. It gets a snapshot, not a list of changes
// that lacks removals.
func TestReplicaFarBehindGetsASnapshot(t *testing.T) {
	is := is.New(t)
	var ahead, behind replica.Replica
	start := replica.Batch{Snapshot: true, Through: 1, Items: []replica.Item{item("first", "x", 1)}}
	ahead.Merge(start)
	behind.Merge(start)
	revision := int64(1)
	for i := range 3000 {
		key := fmt.Sprint("key", i)
		ahead.Merge(replica.Batch{After: revision, Through: revision + 1, Items: []replica.Item{item(key, "v", revision+1)}})
		removal := replica.Item{Key: key, Revision: revision + 2, Removed: true}
		ahead.Merge(replica.Batch{After: revision + 1, Through: revision + 2, Items: []replica.Item{removal}})
		revision += 2
	}
	batch := ahead.ChangesSince(behind.Revision())
	is.True(batch.Snapshot)
	is.Equal(len(batch.Items), 1)
	_, contiguous := behind.Merge(batch)
	is.True(contiguous)
	is.Equal(behind.Revision(), ahead.Revision())
}

// Replicas get changes from the store and from each other in any order, twice, or not at all. No key ever returns to an
// older revision, and a replica at a revision has every change up to it.
func TestAnyOrderEndsInTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := []string{"a", "b", "c"}
		var log []replica.Item
		for revision := int64(1); revision <= int64(rapid.IntRange(1, 25).Draw(t, "changes")); revision++ {
			key := rapid.SampledFrom(keys).Draw(t, "key")
			removed := rapid.Bool().Draw(t, "removed")
			one := replica.Item{Key: key, Revision: revision, Removed: removed}
			if !removed {
				one.Value = []byte(fmt.Sprint(revision))
			}
			log = append(log, one)
		}
		upTo := func(revision int64) map[string]replica.Item {
			state := map[string]replica.Item{}
			for _, one := range log {
				if one.Revision <= revision {
					state[one.Key] = one
				}
			}
			return state
		}
		snapshot := func(through int64) replica.Batch {
			batch := replica.Batch{Snapshot: true, Through: through}
			for _, one := range upTo(through) {
				if !one.Removed {
					batch.Items = append(batch.Items, one)
				}
			}
			return batch
		}
		replicas := make([]replica.Replica, 3)
		seen := make([]map[string]int64, len(replicas))
		for i := range replicas {
			replicas[i].Merge(snapshot(0))
			seen[i] = map[string]int64{}
		}
		last := int64(len(log))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(replicas)-1).Draw(t, "who")
			r := &replicas[i]
			var batch replica.Batch
			switch rapid.IntRange(0, 2).Draw(t, "how") {
			case 0:
				after := rapid.Int64Range(0, last).Draw(t, "after")
				through := rapid.Int64Range(after, last).Draw(t, "through")
				batch = replica.Batch{After: after, Through: through, Items: log[after:through]}
			case 1:
				batch = snapshot(rapid.Int64Range(0, last).Draw(t, "snapshot"))
			case 2:
				other := &replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "peer")]
				batch = other.ChangesSince(r.Revision())
			}
			changed, _ := r.Merge(batch)
			for _, one := range changed {
				if one.Revision <= seen[i][one.Key] {
					t.Fatalf("key %s returned from revision %d to %d", one.Key, seen[i][one.Key], one.Revision)
				}
				seen[i][one.Key] = one.Revision
			}
			for key, want := range upTo(r.Revision()) {
				got, found := r.Get(key)
				if found && got.Revision > r.Revision() {
					continue // a later change is known already
				}
				if found == want.Removed && !(found && got.Revision > want.Revision) {
					t.Fatalf("at revision %d, key %s: found %v, want removed %v", r.Revision(), key, found, want.Removed)
				}
			}
		}
	})
}
