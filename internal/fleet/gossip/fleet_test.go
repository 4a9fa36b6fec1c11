package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/gossip"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
)

// beat is how often each link carries a message in these tests, in simulated time.
const beat = 250 * time.Millisecond

// member is an instance of a simulated fleet.
type member struct {
	instance roster.Instance
	table    gossip.Table
	dead     bool
	messages int
	received map[string]int
}

// fleet is instances that all know each other, with a message each way over each link at every step.
type fleet struct {
	now     time.Time
	members []*member
	links   map[[2]string][2]*gossip.Link
}

func newFleet(instances, dataCentres int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), links: make(map[[2]string][2]*gossip.Link)}
	for i := range instances {
		name := fmt.Sprintf("instance%04d", i)
		one := &member{
			instance: roster.Instance{Name: name, DataCentre: fmt.Sprint("dc", i%dataCentres)},
			received: make(map[string]int),
		}
		one.table.Self = name
		one.table.SetOwn(gossip.PartGeneral, []byte("first"), false)
		f.members = append(f.members, one)
	}
	return f
}

func (f *fleet) live() (instances []roster.Instance, byName map[string]*member) {
	byName = make(map[string]*member)
	for _, one := range f.members {
		if !one.dead {
			instances = append(instances, one.instance)
			byName[one.instance.Name] = one
		}
	}
	return instances, byName
}

// step carries a message each way over each link of the fleet that lives.
func (f *fleet) step() {
	f.now = f.now.Add(beat)
	instances, byName := f.live()
	topology := gossip.NewTopology(instances)
	kept := make(map[[2]string][2]*gossip.Link)
	for _, one := range f.members {
		if one.dead {
			continue
		}
		for _, peer := range topology.Links(one.instance, func(string) bool { return true }) {
			bothRelays := topology.IsRelay(one.instance.Name) && topology.IsRelay(peer.Name)
			if bothRelays && one.instance.Name > peer.Name {
				continue
			}
			key := [2]string{one.instance.Name, peer.Name}
			ends, found := f.links[key]
			if !found {
				ends = [2]*gossip.Link{{}, {Attached: !bothRelays}}
			}
			kept[key] = ends
			f.carry(one, byName[peer.Name], ends[0], ends[1])
			f.carry(byName[peer.Name], one, ends[1], ends[0])
		}
	}
	f.links = kept
}

func (f *fleet) carry(from, to *member, near, far *gossip.Link) {
	from.messages++
	for _, record := range to.table.Merge(f.now, far, from.table.TakeDue(f.now, near, to.instance.Name)) {
		to.received[record.Instance]++
	}
}

// Guards against states that do not reach everybody, or reach the same instance more than once: with copies over
// each link the bytes between data centres would grow with the number of links.
func TestEveryStateReachesEveryInstanceOnce(t *testing.T) {
	for _, c := range []struct{ instances, dataCentres int }{{2, 1}, {7, 3}, {12, 3}, {81, 3}, {195, 5}, {330, 11}} {
		t.Run(fmt.Sprint(c.instances), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(c.instances, c.dataCentres)
			for range 4 {
				f.step()
			}
			for _, one := range f.members {
				is.Equal(len(one.received), c.instances-1)
				for _, count := range one.received {
					is.Equal(count, 1)
				}
			}
		})
	}
}

// Guards against a cost of one instance that grows as the fleet does.
func TestLinksOfOneInstanceGrowSlowerThanTheFleet(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ instances, dataCentres, mostRelay, mostOther int }{
		{7, 3, 6, 6}, {81, 3, 30, 1}, {195, 5, 40, 1}, {330, 11, 60, 1}, {1000, 11, 90, 1},
	} {
		f := newFleet(c.instances, c.dataCentres)
		instances, _ := f.live()
		topology := gossip.NewTopology(instances)
		links := make(map[string]int)
		for _, one := range instances {
			for _, peer := range topology.Links(one, func(string) bool { return true }) {
				if topology.IsRelay(one.Name) && topology.IsRelay(peer.Name) && one.Name > peer.Name {
					continue
				}
				links[one.Name]++
				links[peer.Name]++
			}
		}
		most := 0
		for name, count := range links {
			if !topology.IsRelay(name) {
				is.True(count <= c.mostOther)
			}
			most = max(most, count)
		}
		t.Logf("%d instances: at most %d links", c.instances, most)
		is.True(most <= c.mostRelay)
	}
}

// Guards against instances that are not heard of any more because the relay between them is gone.
func TestStatesArriveAfterRelaysAreLost(t *testing.T) {
	is := is.New(t)
	f := newFleet(195, 5)
	for range 4 {
		f.step()
	}
	instances, _ := f.live()
	topology := gossip.NewTopology(instances)
	lost := 0
	for _, one := range f.members {
		if topology.IsRelay(one.instance.Name) && lost < 8 {
			one.dead = true
			lost++
		}
	}
	for _, one := range f.members {
		one.table.SetOwn(gossip.PartGeneral, []byte("second"), true)
	}
	for range 4 {
		f.step()
	}
	for _, one := range f.members {
		if one.dead {
			continue
		}
		for _, other := range f.members {
			if other.dead || other == one {
				continue
			}
			is.True(one.received[other.instance.Name] >= 2)
			is.True(f.now.Sub(one.table.LastAlive(other.instance.Name)) <= time.Second)
		}
	}
}

// Guards against an instance that restarts with a clock set back, whose new state would count as older than the one
// that the others remember.
func TestStateOfARestartedInstanceIsNewer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	known := gossip.Table{Self: "a"}
	known.Merge(now, &gossip.Link{}, []gossip.Record{{Instance: "b", Version: 900, Content: []byte("before")}})
	restarted := gossip.Table{Self: "b", Version: 500}
	restarted.SetOwn(gossip.PartGeneral, []byte("after"), false)
	toRestarted := &gossip.Link{Attached: true}
	fromKnown := known.TakeDue(now, toRestarted, "")
	is.Equal(len(restarted.Merge(now, &gossip.Link{}, fromKnown)), 0)
	restarted.SetOwn(gossip.PartGeneral, []byte("after"), false)
	changed := known.Merge(now, &gossip.Link{}, restarted.TakeDue(now, &gossip.Link{}, "a"))
	is.Equal(len(changed), 1)
	is.Equal(string(changed[0].Content), "after")
}
