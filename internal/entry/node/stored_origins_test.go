package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/fleet/coordination"
	"lacewingrock.example/lacewingrock/internal/fleet/originrecord"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/origin"
)

// valueStore keeps the last value of each key, and counts the writes.
type valueStore struct {
	leaseStore
	values map[string][]byte
	writes int
	err    error
}

func (s *valueStore) Commit(_ context.Context, transaction coordination.Transaction) (int64, error) {
	if s.err != nil {
		return 0, s.err
	}
	s.writes++
	for _, write := range transaction.Writes {
		s.values[write.Key] = write.Value
	}
	return int64(s.writes), nil
}

// snapshot returns what an instance reads that starts.
func (s *valueStore) snapshot() replica.Batch {
	batch := replica.Batch{Snapshot: true, Through: 100}
	for key, value := range s.values {
		batch.Items = append(batch.Items, replica.Item{Key: key, Value: value, Revision: 50})
	}
	return batch
}

func nodeWithStreams(s *valueStore, versions ...string) *Node {
	var suspended time.Duration
	n := nodeWithoutFenceChecks(&suspended)
	n.Store = s
	n.scope = tally.NoopScope
	n.current.Load().Platform.StoreTimeout = time.Second
	n.origins.setLifetime(time.Now(), 20*time.Second)
	n.updateStreamLifetime(time.Now())
	for _, version := range versions {
		n.sharedState.Pool.Declare(time.Now(), traffic.Upstream{ID: "u" + version, Service: "s", Software: version})
	}
	return n
}

// Guards against streams that go on nowhere after all instances have ended, and against calls to the store that nobody needs: with
// one version the record of versions says where all streams began.
func TestOriginsAreStoredBesideSeveralVersions(t *testing.T) {
	stream := origin.Stream{Workspace: "w", ID: "1"}
	for _, c := range []struct {
		name     string
		versions []string
		happens  func(n *Node)
		writes   int
	}{
		{"one version", []string{"v1"}, func(*Node) {}, 0},
		{"two versions", []string{"v1", "v2"}, func(*Node) {}, 1},
		{"the second version comes later", []string{"v1"}, func(n *Node) {
			n.sharedState.Pool.Declare(time.Now(), traffic.Upstream{ID: "u2", Service: "s", Software: "v2"})
		}, 1},
		{"the stream has ended for long when the second version comes", []string{"v1"}, func(n *Node) {
			time.Sleep(21 * time.Second)
			n.sharedState.Pool.Declare(time.Now(), traffic.Upstream{ID: "u2", Service: "s", Software: "v2"})
		}, 0},
		{"a version has left", []string{"v1", "v2"}, func(n *Node) { n.sharedState.Pool.Remove(time.Now(), "uv1") }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &valueStore{values: make(map[string][]byte)}
				n := nodeWithStreams(s, c.versions...)
				n.RecordOrigin(stream, origin.Origin{Service: "s", Software: "v1", Upstream: "uv1"}, 0)
				is.NoErr(n.storeOrigins(t.Context(), time.Now()))
				time.Sleep(time.Second)
				c.happens(n)
				is.NoErr(n.storeOrigins(t.Context(), time.Now()))
				is.NoErr(n.storeOrigins(t.Context(), time.Now())) // nothing has begun since
				is.Equal(s.writes, c.writes)

				started := nodeWithStreams(s, "v1", "v2")
				started.merge(s.snapshot(), time.Now(), sourceStore)
				found := started.FindOrigin(t.Context(), stream, "s")
				is.Equal(found.Origin.Software == "v1", c.writes > 0)
				is.Equal(found.Source == origin.SourceNone, c.writes == 0)
			})
		})
	}
}

// Guards against streams of a service whose records are not written because those of another one were, in whose place it has
// several versions now.
func TestOriginsOfTheNextServiceAreStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &valueStore{values: make(map[string][]byte)}
		n := nodeWithStreams(s, "v1", "v2")
		n.sharedState.Pool.Declare(time.Now(), traffic.Upstream{ID: "other1", Service: "other", Software: "v1"})
		n.sharedState.Pool.Remove(time.Now(), "uv2")
		time.Sleep(15 * time.Second) // the second version of the first service still counts
		first, second := origin.Stream{Workspace: "w", ID: "1"}, origin.Stream{Workspace: "w", ID: "2"}
		n.RecordOrigin(first, origin.Origin{Service: "s", Software: "v1"}, 0)
		n.RecordOrigin(second, origin.Origin{Service: "other", Software: "v1"}, 0)
		is.NoErr(n.storeOrigins(t.Context(), time.Now()))
		time.Sleep(6 * time.Second)
		n.sharedState.Pool.Declare(time.Now(), traffic.Upstream{ID: "other2", Service: "other", Software: "v2"})
		is.NoErr(n.storeOrigins(t.Context(), time.Now()))
		records, err := originrecord.Decode("", s.values[originrecord.Key("self")])
		is.NoErr(err)
		is.Equal(len(records), 1)
		is.Equal(records[0].Stream, second)
	})
}

// Guards against records that are lost with the second end of all instances: the first write of an instance replaces the
// records of its life before.
func TestOriginsOfTheLifeBeforeAreStoredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &valueStore{values: make(map[string][]byte)}
		streams := []origin.Stream{{Workspace: "w", ID: "1"}, {Workspace: "w", ID: "2"}, {Workspace: "w", ID: "3"}}
		for _, stream := range streams {
			n := nodeWithStreams(s, "v1", "v2")
			n.merge(s.snapshot(), time.Now(), sourceStore)
			n.RecordOrigin(stream, origin.Origin{Service: "s", Software: "v1"}, 0)
			is.NoErr(n.storeOrigins(t.Context(), time.Now()))
			time.Sleep(5 * time.Second)
		}
		started := nodeWithStreams(s, "v1", "v2")
		started.merge(s.snapshot(), time.Now(), sourceStore)
		for _, stream := range streams {
			is.Equal(started.FindOrigin(t.Context(), stream, "s").Origin.Software, "v1")
		}
	})
}

// Guards against records that are not written after a write has failed, also if the lease has ended in an outage of the store.
func TestOriginsAreStoredAfterAFailure(t *testing.T) {
	for _, failure := range []error{coordination.ErrUnavailable, coordination.ErrUnknown, coordination.ErrLeaseEnded} {
		is := is.New(t)
		s := &valueStore{values: make(map[string][]byte), err: failure}
		n := nodeWithStreams(s, "v1", "v2")
		n.RecordOrigin(origin.Stream{Workspace: "w", ID: "1"}, origin.Origin{Service: "s", Software: "v1"}, 0)
		is.True(n.storeOrigins(t.Context(), time.Now()) != nil)
		s.err = nil
		is.NoErr(n.storeOrigins(t.Context(), time.Now()))
		is.Equal(s.writes, 1)
		is.Equal(s.granted > 1, failure == coordination.ErrLeaseEnded)
	}
}

// Guards against records that are relayed to all instances: peers send them to each other already, and each instance writes
// them twice a second.
func TestStoredOriginsAreNotRelayed(t *testing.T) {
	is := is.New(t)
	n := nodeWithPeers(t, 3, nil)
	const revision = 1
	n.merge(replica.Batch{Snapshot: true, Through: revision}, time.Now(), sourceStore)
	pendingLinks(n)
	item := replica.Item{Key: originrecord.Key("other"), Value: []byte("[]"), Revision: revision + 1}
	n.merge(replica.Batch{After: revision, Through: revision + 1, Items: []replica.Item{item}}, time.Now(), sourceStore)
	is.Equal(pendingLinks(n), 0)
	batch := n.CatchUp(revision)
	is.Equal(len(batch.Items), 0)
	is.Equal(batch.Through, int64(revision+1))
}

// Guards against a fleet whose instances write more often than the store allows.
func TestOriginWritesAreBoundedForTheFleet(t *testing.T) {
	is := is.New(t)
	for _, instances := range []int{1, 8, 40, 330, 1000} {
		perSecond := float64(instances) / originInterval(instances-1).Seconds()
		is.True(perSecond <= 80.01)
	}
	is.Equal(originInterval(7), originWriteInterval)
}
