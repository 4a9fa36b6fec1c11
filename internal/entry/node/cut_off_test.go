package node_test

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/entry/node"
)

// contactTime is how long after the links of an instance were cut its callers may be served worse than those of others.
const contactTime = 3 * time.Second

// triesEach is how many requests each instance gets, and minTries how many of them must be served, by how often the
// others serve theirs: two thirds.
const (
	triesEach = 30
	minTries  = triesEach * 2 / 3
)

// startFleet starts instances before two plain upstreams and three engines, and waits until all serve.
func startFleet(t *testing.T, s *store, names ...string) (fleet []*instance) {
	t.Helper()
	upstream := func(t *testing.T) string { return newUpstream(t, 5*time.Millisecond) }
	return startFleetBefore(t, s, fleetOptions{shared: &engines{}, upstream: upstream, change: func(*node.Settings) {}}, names...)
}

// fleetOptions are the engines' state, a function that starts an upstream, and a change of the settings.
type fleetOptions struct {
	shared   *engines
	upstream func(t *testing.T) string
	change   func(*node.Settings)
}

// startFleetBefore is startFleet with options.
func startFleetBefore(t *testing.T, s *store, options fleetOptions, names ...string) (fleet []*instance) {
	t.Helper()
	s.put(keyConfiguration, configuration(1, "/p/"))
	for number := range 2 {
		s.put(fmt.Sprintf("%sapp%d", prefixUpstreams, number), upstreamEntry("app", options.upstream(t)))
	}
	for number := range 3 {
		s.put(fmt.Sprintf("%sengine%d", prefixUpstreams, number), upstreamEntry("llm", options.upstream(t)))
	}
	for _, name := range names {
		fleet = append(fleet, startWith(t, s, name, options.shared, options.change))
	}
	for _, member := range fleet {
		eventually(t, 5*time.Second, member.name+" serves", func() bool {
			return member.ready() && member.status("/p/") == 200 && member.generate("warm") == 200
		})
		eventually(t, 5*time.Second, member.name+" has found the others", func() bool {
			for _, other := range fleet {
				if other != member && !member.log.has(fmt.Sprintf(`"Peer":%q`, other.name)) {
					return false
				}
			}
			return true
		})
	}
	return fleet
}

// served sends requests to each instance at the same time and counts those that are served.
func served(fleet []*instance, send func(member *instance, number int) int) map[string]int {
	var mutex sync.Mutex
	var callers sync.WaitGroup
	counts := map[string]int{}
	for _, member := range fleet {
		callers.Go(func() {
			for number := range triesEach {
				if send(member, number) == 200 {
					mutex.Lock()
					counts[member.name]++
					mutex.Unlock()
				}
			}
		})
	}
	callers.Wait()
	return counts
}

// Guards against callers who are refused or get no response because their instance has lost its links to all upstreams,
// although other instances reach the upstreams: half of the instances, a whole data centre, or all but one.
func TestInstancesCutOffFromUpstreamsServe(t *testing.T) {
	for _, c := range []struct {
		name  string
		state cut
		off   []string
	}{
		{"some are silent", linksSilent, []string{"a", "b"}},
		{"some are reset", linksReset, []string{"a", "b"}},
		{"some get no new connections", linksClosedToNew, []string{"b", "c"}},
		{"all but one are silent", linksSilent, []string{"a", "b", "c"}},
		{"all but one are reset", linksReset, []string{"b", "c", "d"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newStore()
			fleet := startFleet(t, s, "a", "b", "c", "d")
			for _, member := range fleet {
				if strings.Contains(strings.Join(c.off, " "), member.name) {
					member.links.set(c.state)
				}
			}
			time.Sleep(contactTime)
			checkFollowed(t, fleet, c.off[0])
			for _, kind := range []struct {
				name string
				send func(member *instance, number int) int
			}{
				{"plain", func(member *instance, _ int) int { return member.status("/p/") }},
				{"loaded adapter", func(member *instance, _ int) int { return member.generate("warm") }},
				{"new adapter", func(member *instance, number int) int {
					return member.generate(fmt.Sprintf("%s%d", member.name, number/10))
				}},
			} {
				counts := served(fleet, kind.send)
				t.Logf("%s: served of %d: %v", kind.name, triesEach, counts)
				for _, member := range fleet {
					if counts[member.name] < minTries {
						t.Errorf("%s: %s served %d of %d", kind.name, member.name, counts[member.name], triesEach)
					}
				}
			}
		})
	}
}

// checkFollowed checks that a request which is sent through a peer has its id in the log lines of both instances.
func checkFollowed(t *testing.T, fleet []*instance, off string) {
	t.Helper()
	lines := map[string]bool{}
	for _, member := range fleet {
		if member.name == off {
			member.sendAs("followed", "/p/", "")
			lines["ConnectedThroughPeer"] = member.log.hasLine(`"RequestId":"followed"`, "ConnectedThroughPeer")
		}
	}
	for _, member := range fleet {
		lines["ConnectedForPeer"] = lines["ConnectedForPeer"] || member.log.hasLine(`"RequestId":"followed"`, "ConnectedForPeer")
	}
	if !lines["ConnectedThroughPeer"] || !lines["ConnectedForPeer"] {
		t.Errorf("the request cannot be followed: %v", lines)
	}
}

// Guards against a holder that takes an upstream from all instances because it has lost its own link there: the upstream
// idles, no adapter is loaded there, and callers of the other instances are refused. Where fencing tokens are not checked,
// the holder first waits until none of its orders can arrive any more.
func TestHolderThatIsCutOffHandsItsUpstreamsOver(t *testing.T) {
	const returnAfter = time.Second
	for _, c := range []struct {
		name    string
		checked bool
		within  time.Duration
	}{{"fences checked", true, contactTime}, {"fences not checked", false, contactTime + returnAfter}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newStore()
			upstream := func(t *testing.T) string { return newUpstream(t, 5*time.Millisecond) }
			fleet := startFleetBefore(t, s, fleetOptions{shared: &engines{}, upstream: upstream, change: func(settings *node.Settings) {
				settings.Upstreams = node.UpstreamSettings{FencesChecked: c.checked, ReturnAfter: returnAfter}
			}}, "a", "b", "c")
			key := "fleet/holders/engine0"
			eventually(t, 4*time.Second, "the engine has a holder", func() bool { _, found := s.get(key); return found })
			before, _ := s.get(key)
			var holder *instance
			for _, member := range fleet {
				if strings.Contains(string(before.Value), fmt.Sprintf("%q", member.name)) {
					holder = member
				}
			}
			holder.links.set(linksSilent)
			callers := 0
			eventually(t, c.within, "another instance is the holder", func() bool {
				callers++
				fleet[callers%len(fleet)].generate(fmt.Sprintf("new%d", callers%10))
				now, found := s.get(key)
				return found && !strings.Contains(string(now.Value), fmt.Sprintf("%q", holder.name))
			})
			after, _ := s.get(key)
			time.Sleep(contactTime)
			still, _ := s.get(key)
			is.Equal(still.Revision, after.Revision) // one change of holder, and none back
		})
	}
}

// Guards against holders that take turns at an upstream because each loses its link there shortly after the other's has
// healed: an order of the first, still on its way, would be carried out in its new tenure, and the two undo each other's
// loads.
func TestHoldersWithFailingLinksDoNotTakeTurns(t *testing.T) {
	t.Parallel()
	const returnAfter = 3 * time.Second
	s := newStore()
	shared := &engines{turnTime: returnAfter}
	upstream := func(t *testing.T) string { return newUpstream(t, 5*time.Millisecond) }
	fleet := startFleetBefore(t, s, fleetOptions{shared: shared, upstream: upstream, change: func(settings *node.Settings) {
		settings.Upstreams.ReturnAfter = returnAfter
	}}, "a", "b")
	key := "fleet/holders/engine0"
	eventually(t, 4*time.Second, "the engine has a holder", func() bool { _, found := s.get(key); return found })
	holds := func(member *instance) bool {
		now, found := s.get(key)
		return found && strings.Contains(string(now.Value), fmt.Sprintf("%q", member.name))
	}
	number := 0
	load := func() {
		number++
		for _, member := range fleet {
			member.generate(fmt.Sprint("new", number%40))
		}
	}
	for round := range 4 {
		holder, other := fleet[0], fleet[1]
		if holds(other) {
			holder, other = other, holder
		}
		holder.links.set(linksReset)
		eventually(t, contactTime+returnAfter, fmt.Sprint("another instance is the holder in round ", round), func() bool {
			load()
			return holds(other)
		})
		holder.links.set(linksWhole)
		for begun := time.Now(); time.Since(begun) < 700*time.Millisecond; {
			load()
		}
	}
	eventually(t, contactTime+returnAfter, "new adapters are loaded", func() bool {
		number++
		return fleet[0].generate(fmt.Sprint("last", number)) == 200 && fleet[1].generate(fmt.Sprint("late", number)) == 200
	})
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	if len(shared.violations) > 0 {
		t.Errorf("%d orders: %v", len(shared.violations), shared.violations[:min(len(shared.violations), 5)])
	}
}

// Guards against callers who are refused because their instance reaches the store and all upstreams but no other instance,
// and the others hold all engines, so that nobody loads an adapter for it; and against instances that then take engines from
// each other in turn.
func TestInstanceCutOffFromOthersServes(t *testing.T) {
	for _, c := range []struct {
		name        string
		unreachable map[string][]string
		late        []string
	}{
		{"from all others", map[string][]string{"a": {"b", "c"}, "b": {"a", "c"}, "c": {"a", "b"}}, []string{"b", "c"}},
		{"from others that reach each other", map[string][]string{"a": {"c"}, "b": {"c"}, "c": {"a", "b"}}, []string{"c"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newStore()
			shared := &engines{turnTime: contactTime}
			change := func(settings *node.Settings) { settings.Upstreams.ReturnAfter = contactTime }
			add := func(name string) *instance {
				member := startWithout(t, s, name, shared, c.unreachable[name], change)
				eventually(t, 5*time.Second, name+" serves", func() bool { return member.ready() && member.status("/p/") == 200 })
				return member
			}
			s.put(keyConfiguration, configuration(1, "/p/"))
			s.put(prefixUpstreams+"app0", upstreamEntry("app", newUpstream(t, 0)))
			for number := range 3 {
				s.put(fmt.Sprintf("%sengine%d", prefixUpstreams, number), upstreamEntry("llm", newUpstream(t, 0)))
			}
			var fleet []*instance
			for _, name := range []string{"a", "b", "c"} {
				if !slices.Contains(c.late, name) {
					fleet = append(fleet, add(name))
				}
			}
			revisions := func() (list []int64) {
				for number := range 3 {
					item, found := s.get(fmt.Sprint("fleet/holders/engine", number))
					if found {
						list = append(list, item.Revision)
					}
				}
				return list
			}
			eventually(t, 5*time.Second, "all engines have holders", func() bool { return len(revisions()) == 3 })
			for _, name := range c.late {
				fleet = append(fleet, add(name))
			}
			for _, member := range fleet {
				eventually(t, 2*contactTime, member.name+" loads an adapter", func() bool {
					return member.generate("of-"+member.name) == 200
				})
			}
			before := revisions()
			for begun := time.Now(); time.Since(begun) < 2*contactTime; time.Sleep(100 * time.Millisecond) {
				for _, member := range fleet {
					is.Equal(member.generate(fmt.Sprint("later-", member.name, time.Since(begun)/time.Second)), 200)
				}
			}
			is.Equal(revisions(), before)
			shared.mutex.Lock()
			defer shared.mutex.Unlock()
			is.Equal(len(shared.violations), 0)
		})
	}
}

// Guards against a fleet that takes an upstream for gone, or gives it a new holder, because it is silent for a second and
// goes on: each change costs the requests that wait for its adapters.
func TestSilenceOfASecondChangesNoHolder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore()
	fleet := startFleet(t, s, "a", "b", "c")
	revisions := func() (list []int64) {
		for number := range 3 {
			item, found := s.get(fmt.Sprint("fleet/holders/engine", number))
			is.True(found)
			list = append(list, item.Revision)
		}
		return list
	}
	eventually(t, 4*time.Second, "all engines have holders", func() bool { _, found := s.get("fleet/holders/engine2"); return found })
	before := revisions()
	for range 3 {
		for _, member := range fleet {
			member.links.set(linksSilent)
		}
		for begun := time.Now(); time.Since(begun) < 1100*time.Millisecond; {
			for _, member := range fleet {
				member.generate("warm")
			}
		}
		for _, member := range fleet {
			member.links.set(linksWhole)
		}
		for _, member := range fleet {
			eventually(t, 1500*time.Millisecond, member.name+" serves again", func() bool {
				return member.status("/p/") == 200 && member.generate("warm") == 200
			})
		}
	}
	is.Equal(revisions(), before)
}

// Guards against a planned stop that cuts the requests which other instances send through the one that stops.
func TestPlannedStopWaitsForConnectionsOfPeers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore()
	fleet := startFleet(t, s, "a", "b")
	fleet[0].links.set(linksSilent)
	eventually(t, contactTime, "requests go through the other instance", func() bool {
		served := fleet[0].status("/p/") == 200
		// A request on a kept connection over a link that is not known as lost would not go through the other instance.
		return served && fleet[0].log.hasLine(`"UpstreamLink"`, `"app0"`, `"Lost":true`) &&
			fleet[0].log.hasLine(`"UpstreamLink"`, `"app1"`, `"Lost":true`)
	})
	statuses := make(chan int, 4)
	for range cap(statuses) {
		go func() { statuses <- fleet[0].status(pathLong) }()
	}
	time.Sleep(500 * time.Millisecond) // the requests run through b
	fleet[1].stop()
	for range cap(statuses) {
		is.Equal(<-statuses, 200)
	}
	select {
	case err := <-fleet[1].ended:
		is.NoErr(err)
	case <-time.After(6 * time.Second):
		t.Fatal("the instance did not stop")
	}
}

// Guards against requests that are refused as ones that crash upstreams because links were reset while they ran, and
// against crashes that go unnoticed.
func TestResetLinkIsNoCrash(t *testing.T) {
	for _, c := range []struct {
		name    string
		reset   []int
		crashed bool
	}{{"link reset", []int{0}, false}, {"links of all reset", []int{0, 1}, false}, {"upstream crashed", nil, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newStore()
			fleet := startFleet(t, s, "a", "b")
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			requests := make(chan net.Conn, 1)
			go acceptRequest(listener, requests)
			s.put(prefixUpstreams+"slow", upstreamEntry("app", listener.Addr().String()))
			s.drop(prefixUpstreams + "app0")
			s.drop(prefixUpstreams + "app1")
			go fleet[0].keepSending()
			connection := <-requests
			if c.crashed {
				listener.Close()
				connection.Close()
			} else {
				defer listener.Close()
				defer connection.Close()
				for _, number := range c.reset {
					fleet[number].links.set(linksReset)
				}
			}
			deadline := time.Now().Add(time.Second)
			for time.Now().Before(deadline) && !fleet[0].log.has("UpstreamCrashed") {
				time.Sleep(10 * time.Millisecond)
			}
			is.Equal(fleet[0].log.has("UpstreamCrashed"), c.crashed)
		})
	}
}

// acceptRequest accepts connections until one carries a request: holders open some only to check their links.
func acceptRequest(listener net.Listener, requests chan<- net.Conn) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := connection.Read(make([]byte, 1)); err == nil {
			requests <- connection
			return
		}
		connection.Close()
	}
}

// keepSending sends requests until one reaches no upstream that responds.
func (i *instance) keepSending() {
	for i.status("/p/") == 200 {
		continue
	}
}
