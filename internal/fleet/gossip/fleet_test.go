package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/gossip"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
)

// heartbeatInterval is how often each link carries a message in these tests, in simulated time.
const heartbeatInterval = 250 * time.Millisecond

// member is an instance of a simulated fleet.
type member struct {
	instance roster.Instance
	table    gossip.Table
	failed   bool
	messages int
	received map[string]int
}

// fleet simulates instances that all know each other. Each call of exchange sends a message in each direction over each
// link.
type fleet struct {
	now     time.Time
	members []*member
	links   map[[2]string][2]*gossip.Link
}

func newFleet(instances, dataCentres int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), links: make(map[[2]string][2]*gossip.Link)}
	for i := range instances {
		name := fmt.Sprintf("instance%04d", i)
		m := &member{
			instance: roster.Instance{Name: name, DataCentre: fmt.Sprint("dc", i%dataCentres)},
			received: make(map[string]int),
		}
		m.table.Self = name
		m.table.SetOwn(gossip.PartGeneral, []byte("first"), false)
		f.members = append(f.members, m)
	}
	return f
}

func (f *fleet) live() (instances []roster.Instance, byName map[string]*member) {
	byName = make(map[string]*member)
	for _, m := range f.members {
		if !m.failed {
			instances = append(instances, m.instance)
			byName[m.instance.Name] = m
		}
	}
	return instances, byName
}

// exchange sends a message in each direction over each link between live instances.
func (f *fleet) exchange() {
	f.now = f.now.Add(heartbeatInterval)
	instances, byName := f.live()
	topology := gossip.NewTopology(instances)
	kept := make(map[[2]string][2]*gossip.Link)
	for _, m := range f.members {
		if m.failed {
			continue
		}
		for _, peer := range topology.Links(m.instance, func(string) bool { return true }) {
			bothRelays := topology.IsRelay(m.instance.Name) && topology.IsRelay(peer.Name)
			if bothRelays && m.instance.Name > peer.Name {
				continue
			}
			key := [2]string{m.instance.Name, peer.Name}
			ends, found := f.links[key]
			if !found {
				ends = [2]*gossip.Link{{}, {Attached: !bothRelays}}
			}
			kept[key] = ends
			f.send(m, byName[peer.Name], ends[0], ends[1])
			f.send(byName[peer.Name], m, ends[1], ends[0])
		}
	}
	f.links = kept
}

func (f *fleet) send(from, to *member, near, far *gossip.Link) {
	from.messages++
	for _, record := range to.table.Merge(f.now, far, from.table.TakeDue(f.now, near, to.instance.Name)) {
		to.received[record.Instance]++
	}
}

// Guards against states that do not reach every instance, or reach an instance more than once: with a copy over each
// link, the bytes between data centres would grow with the number of links.
func TestEveryStateReachesEveryInstanceOnce(t *testing.T) {
	for _, c := range []struct{ instances, dataCentres int }{{2, 1}, {7, 3}, {12, 3}, {81, 3}, {195, 5}, {330, 11}} {
		t.Run(fmt.Sprint(c.instances), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(c.instances, c.dataCentres)
			for range 4 {
				f.exchange()
			}
			for _, m := range f.members {
				is.Equal(len(m.received), c.instances-1)
				for _, count := range m.received {
					is.Equal(count, 1)
				}
			}
		})
	}
}

// The number of links of an instance must grow slower than the fleet.
func TestLinksOfOneInstanceGrowSlowerThanTheFleet(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ instances, dataCentres, mostRelay, mostOther int }{
		{7, 3, 6, 6}, {81, 3, 30, 1}, {195, 5, 40, 1}, {330, 11, 60, 1}, {1000, 11, 90, 1},
	} {
		f := newFleet(c.instances, c.dataCentres)
		instances, _ := f.live()
		topology := gossip.NewTopology(instances)
		links := make(map[string]int)
		for _, m := range instances {
			for _, peer := range topology.Links(m, func(string) bool { return true }) {
				if topology.IsRelay(m.Name) && topology.IsRelay(peer.Name) && m.Name > peer.Name {
					continue
				}
				links[m.Name]++
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

// Guards against states that no longer reach an instance after the relay between them has failed.
func TestStatesArriveAfterRelaysAreLost(t *testing.T) {
	is := is.New(t)
	f := newFleet(195, 5)
	for range 4 {
		f.exchange()
	}
	instances, _ := f.live()
	topology := gossip.NewTopology(instances)
	lost := 0
	for _, m := range f.members {
		if topology.IsRelay(m.instance.Name) && lost < 8 {
			m.failed = true
			lost++
		}
	}
	for _, m := range f.members {
		m.table.SetOwn(gossip.PartGeneral, []byte("second"), true)
	}
	for range 4 {
		f.exchange()
	}
	for _, m := range f.members {
		if m.failed {
			continue
		}
		for _, other := range f.members {
			if other.failed || other == m {
				continue
			}
			is.True(m.received[other.instance.Name] >= 2)
			is.True(f.now.Sub(m.table.LastAlive(other.instance.Name)) <= time.Second)
		}
	}
}

// Guards against an instance that restarts with its clock set back: its new state would have a lower version than the
// state that the others have stored, and would be ignored.
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
