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

// A peer's answer was under way while the store's own watch brought a newer value. If the late one were
// taken over, the instance would go back to a configuration that it had already left.
func TestOlderValueIsDropped(t *testing.T) {
	is := is.New(t)
	var r replica.Replica
	_, joined := r.Merge(replica.Batch{Snapshot: true, Through: 10, Items: []replica.Item{item("a", "old", 5)}})
	is.True(joined)
	_, joined = r.Merge(replica.Batch{After: 10, Through: 12, Items: []replica.Item{item("a", "new", 12)}})
	is.True(joined)
	changed, joined := r.Merge(replica.Batch{After: 8, Through: 11, Items: []replica.Item{item("a", "late", 11)}})
	is.True(joined)
	is.Equal(len(changed), 0)
	is.Equal(value(&r, "a"), "new")
	is.Equal(r.Revision(), int64(12))
}

// An instance missed changes and then hears of later ones. If it joined them, a revoked key in the gap
// would work for ever; it has to ask for the whole.
func TestGapIsNotJoined(t *testing.T) {
	is := is.New(t)
	var r replica.Replica
	r.Merge(replica.Batch{Snapshot: true, Through: 10})
	_, joined := r.Merge(replica.Batch{After: 11, Through: 13, Items: []replica.Item{item("a", "x", 13)}})
	is.True(!joined)
	is.Equal(r.Revision(), int64(10))
}

// The store forgot its history, and a key was removed in the part that is gone. The snapshot that follows
// lacks the key, and an upstream that left must not be used for lack of a word that it did.
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
	is.Equal(len(changed), 0) // a late one takes nothing back
	is.Equal(value(&r, "new"), "z")
}

// An instance starts with a snapshot, in which a removed key is simply missing. A peer's answer that was
// asked for before then brings the key's last value; the upstream that left would be used again.
func TestLateAnswerDoesNotBringARemovedKeyBack(t *testing.T) {
	is := is.New(t)
	var r replica.Replica
	r.Merge(replica.Batch{Snapshot: true, Through: 3})
	_, joined := r.Merge(replica.Batch{After: 0, Through: 1, Items: []replica.Item{item("a", "x", 1)}})
	is.True(joined)
	is.Equal(value(&r, "a"), "")
}

// A key comes and goes while an instance is away, and the snapshot by which it returns does not show it. A
// peer that saw the key come must not be told "nothing has changed" by that instance, or it keeps the key.
func TestAfterASnapshotOlderPeersGetOne(t *testing.T) {
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

// Many keys were removed since a peer was last in touch, more than are remembered. It gets a snapshot, not
// a list of changes that leaves removals out.
func TestFarBehindGetsSnapshot(t *testing.T) {
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
	_, joined := behind.Merge(batch)
	is.True(joined)
	is.Equal(behind.Revision(), ahead.Revision())
}

// Instances hear of changes from the store and from each other in any order, twice, or not at all. Whatever
// they hear, no key goes back, and who has heard up to a revision has every change up to it.
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
					t.Fatalf("key %s went back from %d to %d", one.Key, seen[i][one.Key], one.Revision)
				}
				seen[i][one.Key] = one.Revision
			}
			for key, want := range upTo(r.Revision()) {
				got, found := r.Get(key)
				if found && got.Revision > r.Revision() {
					continue // a later change is known already
				}
				if found == want.Removed && !(found && got.Revision > want.Revision) {
					t.Fatalf("at %d key %s: found %v, want removed %v", r.Revision(), key, found, want.Removed)
				}
			}
		}
	})
}
