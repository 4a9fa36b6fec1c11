package node_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/entry/node"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// streams are upstreams of several software versions that stream. Their events name the version that wrote them.
type streams struct {
	store *store
	// breaking: streams break after half of their events.
	breaking atomic.Bool
	begun    atomic.Int64
	// callerTimeout is what callers state when they begin a stream, if it is not 0. They state what is left of it when they
	// take the stream up.
	callerTimeout time.Duration
}

// streamEvents is the number of events of a stream.
const streamEvents = 4

// declare starts an upstream and writes its entry.
func (s *streams) declare(t *testing.T, id, software string) {
	s.register(id, s.start(t, software), software)
}

// register writes the entry of an upstream that has just started.
func (s *streams) register(id, address, software string) {
	s.registerAt("streams", id, address, software)
}

func (s *streams) registerAt(service, id, address, software string) {
	s.store.put(prefixUpstreams+id, encoded(traffic.Upstream{
		Service: service, Address: address, DataCentre: "here", BatchSlots: 6, StartedMillis: time.Now().UnixMilli(), Software: software,
	}))
}

func (s *streams) start(t *testing.T, software string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerID, r.Header.Get(headerID))
		w.Header().Set(headerSigned, "s")
		last, _ := strconv.Atoi(r.Header.Get(headerLastEvent)) // 0 for a new stream
		for number := last + 1; number <= streamEvents; number++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, software)
			w.(http.Flusher).Flush()
			if s.breaking.Load() && number == streamEvents/2 {
				time.Sleep(10 * time.Millisecond)
				connection, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				_ = connection.(*net.TCPConn).SetLinger(0)
				connection.Close()
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// taken is a stream as its caller has it.
type taken struct {
	id     string
	status int
	// software are the versions that wrote its events, one for each.
	software []string
	began    time.Time
}

func (c taken) isComplete() bool { return c.status == http.StatusOK && len(c.software) == streamEvents }

func (c taken) isMixed() bool {
	for _, software := range c.software {
		if software != c.software[0] {
			return true
		}
	}
	return false
}

// request sends a request for a stream, or for the rest of one.
func (s *streams) request(member *instance, before taken) (after taken) {
	after = taken{id: fmt.Sprint("stream-", s.begun.Add(1)), software: before.software}
	request, err := http.NewRequest(http.MethodGet, "http://"+member.address("CallerAddress")+pathStream+after.id, nil)
	if err != nil {
		return after
	}
	request.Host = "a.example"
	request.Header.Set(headerID, after.id)
	after.began = before.began
	if after.began.IsZero() {
		after.began = time.Now()
	}
	if s.callerTimeout > 0 {
		request.Header.Set(headerCallerTimeout, time.Until(after.began.Add(s.callerTimeout)).String())
	}
	if before.id != "" {
		request.Header.Set(headerResumes, before.id)
		request.Header.Set(headerLastEvent, fmt.Sprint(len(before.software)))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return after
	}
	defer response.Body.Close()
	after.status = response.StatusCode
	body, _ := io.ReadAll(response.Body) // a broken stream has an error and some events
	for line := range strings.Lines(string(body)) {
		if software, found := strings.CutPrefix(strings.TrimSpace(line), "data: "); found {
			after.software = append(after.software, software)
		}
	}
	return after
}

// begin begins streams at an instance that break.
func (s *streams) begin(t *testing.T, member *instance, count int) (broken []taken) {
	t.Helper()
	s.breaking.Store(true)
	defer s.breaking.Store(false)
	for range count {
		stream := s.request(member, taken{})
		if len(stream.software) != streamEvents/2 {
			t.Fatalf("a stream that should break: %+v", stream)
		}
		broken = append(broken, stream)
	}
	return broken
}

// takeUp has the callers take streams up, all at the same time.
func (s *streams) takeUp(member *instance, broken []taken) (complete, mixed, refused int) {
	var mutex sync.Mutex
	var callers sync.WaitGroup
	for _, stream := range broken {
		callers.Go(func() {
			after := s.request(member, stream)
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case after.isMixed():
				mixed++
			case after.isComplete():
				complete++
			case after.status == http.StatusServiceUnavailable:
				refused++
			}
		})
	}
	callers.Wait()
	return complete, mixed, refused
}

// startStreaming starts a fleet before streaming upstreams of the given versions.
func startStreaming(t *testing.T, software []string, names ...string) (*streams, []*instance) {
	t.Helper()
	s := newStore()
	upstreams := &streams{store: s}
	for number, version := range software {
		upstreams.declare(t, fmt.Sprint("stream", number), version)
	}
	return upstreams, startFleetBefore(t, s, fleetOptions{
		shared: &engines{}, upstream: func(t *testing.T) string { return newUpstream(t, 0) }, change: func(*node.Settings) {},
	}, names...)
}

// routeTo makes services the targets of the route of streams.
func (s *streams) routeTo(t *testing.T, version int, services ...string) {
	t.Helper()
	s.changeRoute(t, version, func(route *traffic.Route) {
		route.Targets = nil
		for _, service := range services {
			route.Targets = append(route.Targets, traffic.Target{Service: service, Weight: 1})
		}
	})
}

// changeRoute writes a configuration in which the route of streams is changed.
func (s *streams) changeRoute(t *testing.T, version int, change func(*traffic.Route)) {
	t.Helper()
	var declared traffic.Configuration
	if err := json.Unmarshal([]byte(configuration(version, "/p/")), &declared); err != nil {
		t.Fatal(err)
	}
	for i := range declared.Routes {
		if declared.Routes[i].Prefix == pathStream {
			change(&declared.Routes[i])
		}
	}
	s.store.put(keyConfiguration, encoded(declared))
}

const (
	streamsEach = 12
	// provenAfter is the time after the start of a fleet within which nothing can be proven: the time of a stream.
	provenAfter = 2 * time.Second
	// proofLimit is the time within which a fleet has a proof.
	proofLimit = 4 * streamTimeout
)

// Guards against a stream that goes on at another software version, or nowhere, because its caller takes it up at an
// instance that has not seen it begin.
func TestStreamIsTakenUpAtAnyInstance(t *testing.T) {
	for _, c := range []struct {
		name string
		// meanwhile happens between the break and the return of the caller. It returns the instance that the caller comes to.
		meanwhile func(t *testing.T, s *store, fleet []*instance) *instance
	}{
		{"the same", func(_ *testing.T, _ *store, fleet []*instance) *instance { return fleet[0] }},
		{"another", func(_ *testing.T, _ *store, fleet []*instance) *instance { return fleet[1] }},
		{"another, after the first has stopped", func(_ *testing.T, _ *store, fleet []*instance) *instance {
			fleet[0].stop()
			<-fleet[0].ended
			return fleet[2]
		}},
		{"another, while the store is down", func(_ *testing.T, s *store, fleet []*instance) *instance {
			s.setDown(true)
			time.Sleep(2 * time.Second)
			return fleet[3]
		}},
		{"one that has just started", func(t *testing.T, s *store, _ []*instance) *instance {
			added := start(t, s, "added")
			eventually(t, 5*time.Second, "the added instance serves", func() bool { return added.ready() && added.status("/p/") == 200 })
			return added
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			upstreams, fleet := startStreaming(t, []string{"v1", "v1", "v2", "v2"}, "a", "b", "c", "d")
			broken := upstreams.begin(t, fleet[0], streamsEach)
			complete, mixed, _ := upstreams.takeUp(c.meanwhile(t, upstreams.store, fleet), broken)
			is.Equal(mixed, 0)
			is.Equal(complete, streamsEach)
		})
	}
}

// Guards against a caller that returns within a millisecond, before the record of its stream has arrived at the peers.
func TestStreamIsTakenUpAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	upstreams, fleet := startStreaming(t, []string{"v1", "v1", "v2", "v2"}, "a", "b", "c", "d")
	for number := range 2 * streamsEach {
		broken := upstreams.begin(t, fleet[number%len(fleet)], 1)
		complete, mixed, _ := upstreams.takeUp(fleet[(number+1)%len(fleet)], broken)
		is.Equal(mixed, 0)
		is.Equal(complete, 1)
	}
}

// Guards against streams of which no record exists: they must go on while one version is all that can have begun them, and
// must not once another one serves, also at an instance that has just started and has seen nothing.
func TestStreamWithoutARecordNeedsAProof(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	began := time.Now()
	upstreams, fleet := startStreaming(t, []string{"v1", "v1"}, "a", "b", "c")
	unrecorded := func(count int) (list []taken) {
		for number := range count {
			list = append(list, taken{id: fmt.Sprint("unrecorded-", number), software: []string{"v1", "v1"}})
		}
		return list
	}
	if _, _, refused := upstreams.takeUp(fleet[0], unrecorded(1)); time.Since(began) < provenAfter {
		is.Equal(refused, 1) // the whole fleet has just started
	}
	eventually(t, proofLimit, "one version is proven", func() bool {
		complete, _, _ := upstreams.takeUp(fleet[0], unrecorded(1))
		return complete == 1
	})
	added := start(t, upstreams.store, "added")
	eventually(t, 5*time.Second, "the added instance serves", func() bool { return added.ready() && added.status("/p/") == 200 })
	complete, mixed, _ := upstreams.takeUp(added, unrecorded(streamsEach))
	is.Equal(mixed, 0)
	is.Equal(complete, streamsEach)

	early := upstreams.begin(t, fleet[1], streamsEach) // not sent to peers, as one version is proven
	upstreams.declare(t, "stream2", "v2")
	upstreams.declare(t, "stream3", "v2")
	for _, member := range append(fleet, added) {
		eventually(t, 5*time.Second, member.name+" knows both versions", func() bool {
			_, _, refused := upstreams.takeUp(member, unrecorded(1))
			return refused == 1
		})
	}
	complete, mixed, _ = upstreams.takeUp(added, early)
	is.Equal(mixed, 0)
	is.Equal(complete, streamsEach) // the records were sent when the second version appeared
}

// Guards against a stream that counts as begun at the version that an upstream had before it started again in place: its
// entry is late, and names the life and the version before.
func TestStreamBegunUnderALateEntryIsNotContinued(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	upstreams, fleet := startStreaming(t, []string{"v1", "v1", "v2", "v2"}, "a", "b", "c", "d")
	replaced := upstreams.start(t, "v2")
	upstreams.register("stream0", replaced, "v1") // the entry of the life before
	upstreams.store.drop(prefixUpstreams + "stream1")
	upstreams.store.drop(prefixUpstreams + "stream2")
	upstreams.store.drop(prefixUpstreams + "stream3")
	upstreams.declare(t, "stream4", "v1")
	var broken []taken
	eventually(t, 5*time.Second, "streams begin at the upstream that was replaced", func() bool {
		for _, stream := range upstreams.begin(t, fleet[0], streamsEach) {
			if stream.software[0] == "v2" {
				broken = append(broken, stream)
			}
		}
		return len(broken) >= streamsEach
	})
	upstreams.register("stream0", replaced, "v2")
	eventually(t, 5*time.Second, "the entry has arrived", func() bool {
		return fleet[1].log.hasLine("UpstreamDeclared", "stream0", `"Software":"v2"`, replaced)
	})
	_, mixed, _ := upstreams.takeUp(fleet[1], broken)
	is.Equal(mixed, 0)
}

// Guards against a stream that goes on at another service than the one that began it, because its route was moved or is
// split, although each of the services has one version only.
func TestStreamStaysWithItsService(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	upstreams, fleet := startStreaming(t, []string{"v1", "v1"}, "a", "b", "c")
	for number := range 2 {
		// The service is named in the events, so that a stream that changes it shows as mixed.
		upstreams.registerAt("others", fmt.Sprint("other", number), upstreams.start(t, "v1 of others"), "v1")
	}
	awaitProof := func(member *instance) {
		t.Helper()
		eventually(t, proofLimit, "one version is proven", func() bool {
			complete, _, _ := upstreams.takeUp(member, []taken{{id: "unrecorded", software: []string{"v1", "v1"}}})
			return complete == 1
		})
	}
	for _, member := range fleet {
		awaitProof(member)
	}
	early := upstreams.begin(t, fleet[0], streamsEach)
	upstreams.routeTo(t, 2, "others")
	for _, member := range fleet {
		eventually(t, 5*time.Second, "the route has moved", func() bool { return member.log.hasLine("ConfigurationInForce", `"Version":2`) })
	}
	complete, mixed, refused := upstreams.takeUp(fleet[1], early)
	is.Equal([]int{complete, mixed, refused}, []int{0, 0, streamsEach}) // the service gets no requests of the route any more

	upstreams.routeTo(t, 3, "streams", "others")
	for _, member := range fleet {
		eventually(t, 5*time.Second, "the route is split", func() bool { return member.log.hasLine("ConfigurationInForce", `"Version":3`) })
	}
	complete, mixed, _ = upstreams.takeUp(fleet[1], early)
	is.Equal([]int{complete, mixed}, []int{streamsEach, 0})
	complete, mixed, _ = upstreams.takeUp(fleet[1], upstreams.begin(t, fleet[2], streamsEach))
	is.Equal([]int{complete, mixed}, []int{streamsEach, 0})
}

// Guards against a stream that goes on at another software version, because a configuration has shortened the timeout of its
// route, or made the route's streams no longer resumable for a moment, after the stream began.
func TestStreamStaysWithItsSoftwareAfterAShorterTimeout(t *testing.T) {
	const (
		longTimeout  = 15 * time.Second
		shortTimeout = 500 * time.Millisecond
		// forgottenAfter is when a stream that began under the short timeout is forgotten at the latest.
		forgottenAfter = 2*(shortTimeout+5*time.Second) + 500*time.Millisecond
	)
	shorten := func(route *traffic.Route) { route.Timeout = shortTimeout }
	for _, c := range []struct {
		name    string
		changes []func(route *traffic.Route)
	}{
		{"shortened", []func(*traffic.Route){shorten}},
		{"not resumable for a moment, then shortened", []func(*traffic.Route){func(route *traffic.Route) { route.Resumable = false }, shorten}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			upstreams, fleet := startStreaming(t, []string{"v1", "v1"}, "a", "b", "c")
			apply := func(version int, change func(*traffic.Route)) {
				upstreams.changeRoute(t, version, change)
				for _, member := range fleet {
					eventually(t, 5*time.Second, "the configuration is in force", func() bool {
						return member.log.hasLine("ConfigurationInForce", fmt.Sprintf(`"Version":%d,`, version))
					})
				}
			}
			apply(2, func(route *traffic.Route) { route.Timeout = longTimeout })
			broken := upstreams.begin(t, fleet[0], streamsEach)
			upstreams.declare(t, "stream2", "v2")
			for number, change := range c.changes {
				apply(3+number, change)
			}
			upstreams.store.drop(prefixUpstreams + "stream0")
			upstreams.store.drop(prefixUpstreams + "stream1")
			for end := time.Now().Add(forgottenAfter); time.Now().Before(end); time.Sleep(shortTimeout) {
				for _, member := range fleet {
					upstreams.request(member, taken{}) // records of new streams replace those of older ones
				}
			}
			for _, member := range fleet {
				_, mixed, refused := upstreams.takeUp(member, broken)
				is.Equal([]int{mixed, refused}, []int{0, streamsEach})
			}
		})
	}
}

// Guards against a stream that goes on at another software version at an instance that has started after a configuration
// shortened the timeout of its route, in a deployment that is younger than the stream may become: all that the instance sees is the
// new version and the shorter timeout.
func TestInstanceThatStartsInAYoungDeploymentContinuesNoStreamOfAnotherSoftware(t *testing.T) {
	const (
		longTimeout  = 15 * time.Second
		shortTimeout = 500 * time.Millisecond
		// age is that of the deployment when the streams begin.
		age = 2 * time.Second
		// provenAfter is when an instance proves a version that is the only one under the short timeout.
		provenAfter = shortTimeout + 5*time.Second
	)
	t.Parallel()
	is := is.New(t)
	upstreams, fleet := startStreaming(t, []string{"v1", "v1"}, "a", "b", "c")
	apply := func(version int, timeout time.Duration, member *instance) {
		upstreams.changeRoute(t, version, func(route *traffic.Route) { route.Timeout = timeout })
		eventually(t, 5*time.Second, "the configuration is in force", func() bool {
			return member.log.hasLine("ConfigurationInForce", fmt.Sprintf(`"Version":%d,`, version))
		})
	}
	apply(2, longTimeout, fleet[0])
	time.Sleep(age)
	broken := upstreams.begin(t, fleet[0], streamsEach)
	upstreams.declare(t, "stream2", "v2")
	apply(3, shortTimeout, fleet[0])
	upstreams.store.drop(prefixUpstreams + "stream0")
	upstreams.store.drop(prefixUpstreams + "stream1")
	started := startWith(t, upstreams.store, "d", &engines{})
	eventually(t, 5*time.Second, "the instance serves", func() bool {
		return started.ready() && upstreams.request(started, taken{}).isComplete()
	})
	time.Sleep(provenAfter + time.Second)
	_, mixed, refused := upstreams.takeUp(started, broken)
	is.Equal([]int{mixed, refused}, []int{0, streamsEach})
}

// Guards against a stream that goes on at another software version because its caller waits for longer than its route
// allows, and takes it up when the instances have forgotten the stream and the version that began it.
func TestStreamStaysWithItsSoftwareAsLongAsItsCallerWaits(t *testing.T) {
	const (
		timeout       = 500 * time.Millisecond
		callerTimeout = 15 * time.Second
		// forgottenAfter is when a stream whose caller waits for the timeout of its route is forgotten at the latest.
		forgottenAfter = 2*(timeout+5*time.Second) + 500*time.Millisecond
	)
	t.Parallel()
	is := is.New(t)
	upstreams, fleet := startStreaming(t, []string{"v1", "v1"}, "a", "b", "c")
	upstreams.callerTimeout = callerTimeout
	upstreams.changeRoute(t, 2, func(route *traffic.Route) { route.Timeout = timeout })
	for _, member := range fleet {
		eventually(t, 5*time.Second, "the configuration is in force", func() bool {
			return member.log.hasLine("ConfigurationInForce", `"Version":2,`)
		})
	}
	time.Sleep(timeout + 6*time.Second) // the time of a stream under the configuration, so that the store has a record for it
	broken := upstreams.begin(t, fleet[0], streamsEach)
	upstreams.declare(t, "stream2", "v2")
	upstreams.store.drop(prefixUpstreams + "stream0")
	upstreams.store.drop(prefixUpstreams + "stream1")
	fleet = append(fleet, startWith(t, upstreams.store, "d", &engines{}))
	for end := time.Now().Add(forgottenAfter); time.Now().Before(end); time.Sleep(timeout) {
		for _, member := range fleet {
			upstreams.request(member, taken{}) // records of new streams replace those of older ones
		}
	}
	for _, member := range fleet {
		_, mixed, refused := upstreams.takeUp(member, broken)
		is.Equal([]int{mixed, refused}, []int{0, streamsEach})
	}
}

// Guards against streams that go on nowhere after a rolling restart: their instance stops, and one after the other those
// that keep their records.
func TestStreamIsTakenUpAfterARollingRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	upstreams, fleet := startStreaming(t, []string{"v1", "v1", "v2", "v2"}, "a", "b", "c", "d")
	broken := upstreams.begin(t, fleet[0], streamsEach)
	var added []*instance
	for _, name := range []string{"e", "f", "g", "h"} {
		added = append(added, start(t, upstreams.store, name))
	}
	for _, member := range added {
		eventually(t, 5*time.Second, member.name+" serves", func() bool { return member.ready() && member.status("/p/") == 200 })
	}
	for _, member := range fleet {
		member.stop()
		time.Sleep(300 * time.Millisecond)
	}
	for _, member := range fleet {
		<-member.ended
	}
	complete, mixed, _ := upstreams.takeUp(added[0], broken)
	is.Equal(mixed, 0)
	is.Equal(complete, streamsEach)
}
