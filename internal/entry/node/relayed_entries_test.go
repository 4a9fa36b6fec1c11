package node

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// relayFleet is a store with the entries of upstreams, and instances that read it or catch up with each other.
type relayFleet struct {
	instances []*Node
	log       []replica.Item
}

func newRelayFleet(size int) *relayFleet {
	f := &relayFleet{}
	var suspended time.Duration
	for range size {
		n := nodeWithoutFenceChecks(&suspended)
		n.Decoder = upstreamDecoder{}
		n.merge(replica.Batch{Snapshot: true}, time.Now(), sourceStore)
		f.instances = append(f.instances, n)
	}
	return f
}

func (f *relayFleet) put(upstream traffic.Upstream) {
	value, err := json.Marshal(upstream)
	if err != nil {
		panic(err) // a plain value can be encoded
	}
	f.log = append(f.log, replica.Item{Key: upstream.ID, Value: value, Revision: int64(len(f.log) + 1)})
}

func (f *relayFleet) remove(id string) {
	f.log = append(f.log, replica.Item{Key: id, Revision: int64(len(f.log) + 1), Removed: true})
}

// read has an instance read the changes that it lacks.
func (f *relayFleet) read(instance int) {
	n := f.instances[instance]
	after := n.view.replica.Revision()
	n.merge(replica.Batch{After: after, Through: int64(len(f.log)), Items: f.log[after:]}, time.Now(), sourceStore)
}

// readSnapshot has an instance read what is there, as after the loss of the store's history.
func (f *relayFleet) readSnapshot(instance int) {
	batch := replica.Batch{Snapshot: true, Through: int64(len(f.log))}
	for _, item := range f.current() {
		batch.Items = append(batch.Items, item)
	}
	f.instances[instance].merge(batch, time.Now(), sourceStore)
}

func (f *relayFleet) current() map[string]replica.Item {
	items := make(map[string]replica.Item)
	for _, item := range f.log {
		items[item.Key] = item
		if item.Removed {
			delete(items, item.Key)
		}
	}
	return items
}

func (f *relayFleet) catchUp(instance, peer int) {
	n := f.instances[instance]
	n.merge(f.instances[peer].CatchUp(n.view.replica.Revision()), time.Now(), "peer")
}

// report has an instance learn of the life of an upstream from its holder.
func (f *relayFleet) report(instance int, life traffic.Life) {
	n := f.instances[instance]
	residency := pool.Residency{Upstream: life.Upstream}
	residency.StartedMillis = life.StartedMillis
	n.sharedState.Pool.RecordResidency(time.Now(), residency)
}

// endOutage has the store return after an outage for all instances.
func (f *relayFleet) endOutage() {
	for _, n := range f.instances {
		n.view.outageEnded = time.Now()
	}
}

// endGracePeriod lets the grace period of expired entries end.
func (f *relayFleet) endGracePeriod() {
	time.Sleep(entryGracePeriod + time.Millisecond)
	for _, n := range f.instances {
		revision := n.view.replica.Revision()
		n.merge(replica.Batch{After: revision, Through: revision}, time.Now(), sourceStore) // the store is still there
		n.removeExpired(time.Now())
	}
}

// known returns what an instance knows of its upstreams, without what is not relayed.
func (f *relayFleet) known(instance int) (upstreams []string) {
	for _, upstream := range f.instances[instance].sharedState.Pool.Declared(func(*traffic.Upstream) bool { return true }) {
		upstreams = append(upstreams, describeRelayed(upstream))
	}
	slices.Sort(upstreams)
	return upstreams
}

func describeRelayed(u traffic.Upstream) string {
	u.Models = nil
	u.ColdRemaining = min(u.ColdRemaining, 1)
	return fmt.Sprintf("%+v", u)
}

// stored returns the same of the store.
func (f *relayFleet) stored() (upstreams []string) {
	for _, item := range f.current() {
		declaration, err := upstreamDecoder{}.Decode(item.Key, item.Value)
		if err != nil {
			panic(err)
		}
		upstreams = append(upstreams, describeRelayed(declaration.(traffic.Upstream)))
	}
	slices.Sort(upstreams)
	return upstreams
}

// Guards against instances that lose upstreams which are alive, or their software version, since the instance that they catch
// up with knew them already from something else than the entry.
func TestEntriesReachInstancesThatLackThem(t *testing.T) {
	upstream := upstreamOfLife(7)
	next := upstreamOfLife(8)
	software, moved, wider := upstream, upstream, upstream
	software.Software = "v2"
	moved.DataCentre = "there"
	wider.BatchSlots = 2
	rewrite := func(entry traffic.Upstream) func(f *relayFleet) {
		return func(f *relayFleet) {
			f.put(entry)
			f.read(0)
		}
	}
	for _, c := range []struct {
		name    string
		happens func(f *relayFleet)
	}{
		{"written again within the grace period after an outage", func(f *relayFleet) {
			f.endOutage()
			f.remove("u")
			f.read(0)
			f.catchUp(1, 0)
			f.put(upstream)
			f.read(0)
		}},
		{"the same after two outages in a row", func(f *relayFleet) {
			for range 2 {
				f.endOutage()
				f.remove("u")
				f.read(0)
				f.catchUp(1, 0)
				f.put(upstream)
				f.read(0)
				f.catchUp(1, 0)
			}
		}},
		{"written again, and the instance asked has not seen the removal", func(f *relayFleet) {
			f.remove("u")
			f.read(1)
			f.put(upstream)
			f.read(2)
			f.catchUp(0, 2)
		}},
		{"written again, and the reader has read a snapshot", func(f *relayFleet) {
			f.remove("u")
			f.read(1)
			f.put(upstream)
			f.readSnapshot(0)
		}},
		{"of a life that a report has stated to the reader", func(f *relayFleet) {
			f.report(0, next.Life())
			f.report(1, next.Life())
			f.put(next)
			f.read(0)
		}},
		{"of a life that a report has stated to the reader only", func(f *relayFleet) {
			f.report(0, next.Life())
			f.put(next)
			f.read(0)
		}},
		{"with another software version only", rewrite(software)},
		{"with another data centre only", rewrite(moved)},
		{"with more slots only", rewrite(wider)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newRelayFleet(3)
				f.put(upstream)
				for instance := range f.instances {
					f.read(instance)
				}
				time.Sleep(time.Minute)
				c.happens(f)
				f.catchUp(1, 0)
				f.endGracePeriod()
				is.Equal(f.known(0), f.stored())
				is.Equal(f.known(1), f.stored())
			})
		})
	}
}

// relayStep is one event of a random history.
type relayStep struct {
	what     int
	instance int
	peer     int
	upstream traffic.Upstream
}

func drawRelayStep(t *rapid.T) relayStep {
	return relayStep{
		what:     rapid.IntRange(0, 7).Draw(t, "what"),
		instance: rapid.IntRange(0, 2).Draw(t, "instance"),
		peer:     rapid.IntRange(0, 2).Draw(t, "peer"),
		upstream: traffic.Upstream{
			ID: rapid.SampledFrom([]string{"u", "v"}).Draw(t, "upstream"), Service: "s",
			Address:       rapid.SampledFrom([]string{"127.0.0.1:1", "127.0.0.1:2"}).Draw(t, "address"),
			Software:      rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "software"),
			Draining:      rapid.Bool().Draw(t, "draining"),
			DataCentre:    rapid.SampledFrom([]string{"here", "there"}).Draw(t, "data centre"),
			BatchSlots:    rapid.IntRange(1, 2).Draw(t, "slots"),
			ColdRemaining: time.Duration(rapid.IntRange(0, 1).Draw(t, "cold")) * time.Minute,
			Models:        []traffic.LoadedModel{{Name: "m", Version: int64(rapid.IntRange(1, 2).Draw(t, "model"))}},
		},
	}
}

// relayHistory plays a random history. lives is the latest life of each upstream that the store or a report has named.
type relayHistory struct {
	fleet *relayFleet
	lives map[string]int64
}

func (h *relayHistory) play(step relayStep) {
	f := h.fleet
	id := step.upstream.ID
	switch step.what {
	case 0, 1:
		upstream := step.upstream
		upstream.StartedMillis = h.lives[id]
		f.put(upstream)
	case 2:
		f.remove(id)
	case 3:
		h.lives[id]++
		f.report(step.instance, traffic.Life{Upstream: id, StartedMillis: h.lives[id]})
	case 4:
		f.endOutage()
	case 5:
		f.readSnapshot(step.instance)
	case 6:
		f.read(step.instance)
	case 7:
		f.catchUp(step.instance, step.peer)
	}
	time.Sleep(300 * time.Millisecond)
}

// end has the upstreams of reported lives write their entries, and all instances get them from one that reads the store.
func (h *relayHistory) end() {
	f := h.fleet
	for id, item := range f.current() {
		declaration, err := upstreamDecoder{}.Decode(id, item.Value)
		if err != nil {
			panic(err)
		}
		upstream := declaration.(traffic.Upstream)
		if upstream.StartedMillis != h.lives[id] {
			upstream.StartedMillis = h.lives[id]
			f.put(upstream)
		}
	}
	f.read(0)
	f.catchUp(1, 0)
	f.catchUp(2, 1)
	f.endGracePeriod()
}

// Guards against a difference between instances that lasts: whatever has shaped what each of them knows, and in whatever order
// changes reached them, all know the same upstreams once they have caught up with the store.
func TestInstancesThatCaughtUpKnowTheSameUpstreams(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var steps []relayStep
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			steps = append(steps, drawRelayStep(rt))
		}
		var known [][]string
		var stored []string
		synctest.Test(t, func(*testing.T) {
			h := relayHistory{fleet: newRelayFleet(3), lives: map[string]int64{"u": 1, "v": 1}}
			time.Sleep(time.Minute)
			for _, step := range steps {
				h.play(step)
			}
			h.end()
			stored = h.fleet.stored()
			for instance := range h.fleet.instances {
				known = append(known, h.fleet.known(instance))
			}
		})
		for instance := range known {
			if !slices.Equal(known[instance], stored) {
				rt.Fatalf("instance %d knows %q, the store has %q", instance, known[instance], stored)
			}
		}
	})
}
