package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lacewingrock.example/lacewingrock/internal/entry/node"
)

// instance is a node that runs in the process of the test, on loopback.
type instance struct {
	name     string
	settings node.Settings
	client   *client
	stop     context.CancelFunc
	ended    chan error
	mutex    sync.Mutex
	reload   func() (node.Settings, error)
	log      *logBuffer
	links    *upstreamLinks
}

// logBuffer collects the log of an instance.
type logBuffer struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) has(text string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return strings.Contains(l.text.String(), text)
}

// hasLine reports whether a line has all texts.
func (l *logBuffer) hasLine(texts ...string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for line := range strings.Lines(l.text.String()) {
		if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
			return true
		}
	}
	return false
}

// anyPort makes an instance listen on a free port, which it logs.
const anyPort = "127.0.0.1:0"

// peerHosts counts the loopback addresses that instances have got for their peers.
var peerHosts atomic.Uint32

// newPeerAddress returns an address for the peers of an instance that no other instance of the process has or had. An
// instance at the former address of one of another fleet takes over what that fleet states, see
// TestInstancesOfAnotherFleetAreIgnored.
func newPeerAddress() string {
	number := peerHosts.Add(1)
	return fmt.Sprintf("127.1.%d.%d:0", number/250, 1+number%250)
}

// address returns the listen address that an instance has logged under a field.
func (i *instance) address(field string) string {
	i.log.mutex.Lock()
	defer i.log.mutex.Unlock()
	found := regexp.MustCompile(`"` + field + `":"([^"]+)"`).FindStringSubmatch(i.log.text.String())
	if found == nil {
		return ""
	}
	return found[1]
}

func start(t testing.TB, s *store, name string) *instance {
	t.Helper()
	return startWith(t, s, name, &engines{})
}

// startWith starts an instance before engines that it shares with others, with changes of its settings.
func startWith(t testing.TB, s *store, name string, shared *engines, changes ...func(*node.Settings)) *instance {
	t.Helper()
	return startWithout(t, s, name, shared, nil, changes...)
}

// startWithout is startWith for an instance that does not learn the addresses of some others.
func startWithout(
	t testing.TB, s *store, name string, shared *engines, unreachable []string, changes ...func(*node.Settings),
) *instance {
	t.Helper()
	i := &instance{name: name, client: &client{store: s, unreachable: unreachable}, ended: make(chan error, 1), log: &logBuffer{}, links: &upstreamLinks{}}
	i.settings = node.Settings{
		Instance: node.InstanceSettings{
			Name: name, DataCentre: "here", CallerAddress: anyPort, ReadyAddress: anyPort,
			PeerAddress: newPeerAddress(), MetricsAddress: anyPort,
		},
		Platform:  node.PlatformSettings{StoreTimeout: time.Second},
		Callers:   node.CallerSettings{HeaderBytes: 16384, HeaderTimeout: time.Second, IdleTimeout: time.Second, StopWithin: 5 * time.Second, ChangeWithin: 2 * time.Second},
		Upstreams: node.UpstreamSettings{FencesChecked: true},
		Retries:   node.RetrySettings{Ratio: 0.2, Slack: 54},
	}
	for _, change := range changes {
		change(&i.settings)
	}
	i.reload = func() (node.Settings, error) { return i.settings, nil }
	n := &node.Node{
		Settings: i.settings, Store: i.client, Decoder: decoder{}, Dialect: dialect{},
		Orders: &linkedOrders{links: i.links, engines: shared}, DialUpstream: i.links.dial, ReadyPath: pathReady, Log: zerolog.New(i.log).With().Timestamp().Logger(),
		DroppedLogEvents: func() int { return 0 },
		ApplySettings:    func(node.Settings) {},
		ReloadSettings: func() (node.Settings, error) {
			i.mutex.Lock()
			defer i.mutex.Unlock()
			return i.reload()
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	i.stop = cancel
	go func() { i.ended <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if t.Failed() {
			i.log.mutex.Lock()
			defer i.log.mutex.Unlock()
			t.Logf("log of %s:\n%s", name, i.log.text.String())
		}
	})
	return i
}

// eventually waits until a condition holds.
func eventually(t testing.TB, within time.Duration, what string, condition func() bool) {
	t.Helper()
	began := time.Now()
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %s since %s: %s", within, began.Format(time.RFC3339Nano), what)
}

func (i *instance) status(path string) int { return i.send(path, "") }

// generate sends a request for an adapter to the service with engines.
func (i *instance) generate(adapter string) int { return i.send("/p/generate/", adapter) }

func (i *instance) send(path, adapter string) int { return i.sendAs("id1", path, adapter) }

// sendAs sends a request with an id and returns the status of the response to it, 0 if there was none.
func (i *instance) sendAs(id, path, adapter string) int {
	header := http.Header{}
	if adapter != "" {
		header.Set(headerAdapter, adapter)
	}
	return i.sendWith(id, path, header)
}

// sendWithKey is sendAs for a request that needs a key.
func (i *instance) sendWithKey(id, path, key string) int {
	return i.sendWith(id, path, http.Header{headerKey: {key}})
}

func (i *instance) sendWith(id, path string, header http.Header) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+i.address("CallerAddress")+path, nil)
	if err != nil {
		return 0
	}
	request.Host = "a.example"
	request.Header = header
	request.Header.Set(headerID, id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	if response.Header.Get(headerID) != id {
		return -1
	}
	return response.StatusCode
}

func (i *instance) ready() bool {
	response, err := http.Get("http://" + i.address("ReadyAddress") + pathReady)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// newUpstream starts a plain service that responds after a delay.
func newUpstream(t *testing.T, after time.Duration) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(after)
		if r.URL.Path == pathLong {
			time.Sleep(longDelay)
		}
		w.Header().Set(headerID, r.Header.Get(headerID))
		w.Header().Set(headerSigned, "s")
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against an old configuration at an instance whose calls the store refuses while it serves the other two. The
// refused instance gets the change from its peers.
func TestChangeReachesAnInstanceThatTheStoreTurnsAway(t *testing.T) {
	t.Parallel()
	s := newStore()
	s.put(keyConfiguration, configuration(1, "/old/"))
	s.put(prefixUpstreams+"u", upstreamEntry("app", newUpstream(t, 0)))
	fleet := []*instance{start(t, s, "a"), start(t, s, "b"), start(t, s, "c")}
	for _, member := range fleet {
		eventually(t, 2*time.Second, member.name+" serves", func() bool { return member.ready() && member.status("/old/") == 200 })
	}
	eventually(t, 3*time.Second, "all instances have found each other", func() bool {
		return len(fleet) == 3 && fleet[0].log.has(`"Peer":"b"`) && fleet[0].log.has(`"Peer":"c"`) && fleet[1].log.has(`"Peer":"c"`)
	})
	for _, refused := range fleet {
		refused.client.setRefused(true)
		version := time.Now().UnixNano()
		prefix := "/" + refused.name + "/"
		s.put(keyConfiguration, configuration(int(version), prefix))
		eventually(t, 2*time.Second, refused.name+" applies the change", func() bool { return refused.status(prefix) == 200 })
		refused.client.setRefused(false)
	}
}

// Guards against an instance whose calls the store refuses and that keeps sending to an evacuated data centre, or that
// still avoids the data centre after the evacuation has ended.
func TestEvacuationReachesAnInstanceThatTheStoreTurnsAway(t *testing.T) {
	t.Parallel()
	s := newStore()
	s.put(keyConfiguration, configuration(1, "/p/"))
	s.put(prefixUpstreams+"u", upstreamEntry("app", newUpstream(t, 0)))
	fleet := []*instance{start(t, s, "a"), start(t, s, "b")}
	for _, member := range fleet {
		eventually(t, 2*time.Second, member.name+" serves", func() bool { return member.ready() && member.status("/p/") == 200 })
	}
	eventually(t, 3*time.Second, "both instances have found each other", func() bool { return fleet[0].log.has(`"Peer":"b"`) })
	for _, refused := range fleet {
		refused.client.setRefused(true)
		s.put(prefixEvacuations+"here", "{}")
		eventually(t, 2*time.Second, "requests to the evacuated data centre are refused", func() bool { return refused.status("/p/") == 503 })
		s.drop(prefixEvacuations + "here")
		eventually(t, 2*time.Second, "the evacuation has ended", func() bool { return refused.status("/p/") == 200 })
		refused.client.setRefused(false)
	}
}

// Guards against an instance that starts during the evacuation of a data centre and still sends there.
func TestInstanceThatStartsKnowsWhatIsEvacuated(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore()
	s.put(keyConfiguration, configuration(1, "/p/"))
	s.put(prefixUpstreams+"u", upstreamEntry("app", newUpstream(t, 0)))
	s.put(prefixEvacuations+"here", "{}")
	member := start(t, s, "a")
	eventually(t, 2*time.Second, "the instance is ready", member.ready)
	is.Equal(member.status("/p/"), 503)
}

// Guards against an upstream whose holder disappears without revoking its lease. No instance could load adapters there
// until another one becomes holder, with a higher fencing token, after the lease has expired.
func TestLostHolderIsReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore()
	s.put(keyConfiguration, configuration(1, "/p/"))
	s.put(prefixUpstreams+"e", upstreamEntry("llm", "127.0.0.1:1"))
	fleet := map[string]*instance{"a": start(t, s, "a"), "b": start(t, s, "b")}
	const key = "fleet/holders/e"
	eventually(t, 4*time.Second, "the upstream has a holder", func() bool { _, found := s.get(key); return found })
	before, _ := s.get(key)
	for name, member := range fleet {
		if strings.Contains(string(before.Value), fmt.Sprintf("%q", name)) {
			member.client.setRefused(true) // its lease expires as if the instance were gone
		}
	}
	eventually(t, 6*time.Second, "another instance is the holder", func() bool {
		now, found := s.get(key)
		return found && string(now.Value) != string(before.Value)
	})
	after, _ := s.get(key)
	is.True(after.Revision > before.Revision)
}

// Guards against two faults after an outage of the store in which the entry of a live upstream expires. If the upstream
// is removed immediately, its service has no upstream. If it is never removed, requests are sent to an upstream that is
// gone.
func TestEntriesLapsedInAnOutageMayComeBack(t *testing.T) {
	t.Parallel()
	s := newStore()
	s.put(keyConfiguration, configuration(1, "/p/"))
	address := newUpstream(t, 0)
	s.put(prefixUpstreams+"u", upstreamEntry("app", address))
	member := start(t, s, "a")
	eventually(t, 2*time.Second, "serves", func() bool { return member.status("/p/") == 200 })
	s.setDown(true)
	time.Sleep(2 * time.Second)
	s.drop(prefixUpstreams + "u")
	s.setDown(false)
	eventually(t, time.Second, "the outage is noticed", func() bool { return member.log.has("StoreReturned") })
	for range 10 {
		if status := member.status("/p/"); status != 200 {
			t.Fatalf("status %d right after the outage", status)
		}
		time.Sleep(50 * time.Millisecond)
	}
	eventually(t, 4*time.Second, "the upstream is removed", func() bool { return member.status("/p/") == 503 })
}

// The platform sends SIGHUP when the settings file has changed. The signal's default action would end the process and
// cut all its requests. Settings that cannot be read must not end the process either.
func TestHangupReloads(t *testing.T) {
	s := newStore()
	s.put(keyConfiguration, configuration(1, "/p/"))
	member := start(t, s, "a")
	eventually(t, 2*time.Second, "ready", member.ready)
	member.mutex.Lock()
	member.reload = func() (node.Settings, error) { return node.Settings{}, errors.New("no such file") }
	member.mutex.Unlock()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	eventually(t, time.Second, "the failure is logged", func() bool { return member.log.has("ReloadFailed") })
	changed := member.settings
	changed.Retries.Slack = 5
	member.mutex.Lock()
	member.reload = func() (node.Settings, error) { return changed, nil }
	member.mutex.Unlock()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	eventually(t, time.Second, "the changed settings are applied", func() bool { return member.log.has(`"Changed":true`) })
	if !member.ready() {
		t.Fatal("instance is not ready after the reload")
	}
}

// Guards against a planned stop that cuts a running request. The readiness check fails first, and the request finishes
// as usual.
func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore()
	s.put(keyConfiguration, configuration(1, "/p/"))
	s.put(prefixUpstreams+"u", upstreamEntry("app", newUpstream(t, time.Second)))
	member := start(t, s, "a")
	eventually(t, 2*time.Second, "ready", member.ready)
	status := make(chan int)
	go func() { status <- member.status("/p/") }()
	time.Sleep(100 * time.Millisecond)
	member.stop()
	eventually(t, 500*time.Millisecond, "the readiness check fails", func() bool { return !member.ready() })
	is.Equal(<-status, 200)
	select {
	case err := <-member.ended:
		is.NoErr(err)
	case <-time.After(5 * time.Second):
		t.Fatal("the instance did not stop within 5 s")
	}
	_, found := s.get("fleet/instances/a")
	is.True(!found) // its upstreams can be claimed immediately
}

// Guards against a planned stop that lasts until the platform kills the process, which cuts connections without a response: to requests
// that run, and to those that wait to be sent.
func TestPlannedStopEndsWithinTheGraceTime(t *testing.T) {
	for _, c := range []struct {
		grace time.Duration
		// busy: a request runs for longer than the grace time.
		busy bool
	}{{2 * time.Second, true}, {2 * time.Second, false}} {
		t.Run(fmt.Sprintf("%s, busy %v", c.grace, c.busy), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newStore()
			s.put(keyConfiguration, configuration(1, "/p/"))
			work := time.Duration(0)
			if c.busy {
				work = 4500 * time.Millisecond
			}
			s.put(prefixUpstreams+"u", upstreamEntry("app", newUpstream(t, work)))
			member := startWith(t, s, "a", &engines{}, func(settings *node.Settings) { settings.Callers.GraceTime = c.grace })
			eventually(t, 2*time.Second, "ready", member.ready)
			if c.busy {
				go member.status("/p/")
				time.Sleep(100 * time.Millisecond)
			}
			member.stop()
			late := make(chan int, 1)
			time.AfterFunc(c.grace*3/4, func() { late <- member.status("/p/") })
			select {
			case err := <-member.ended:
				is.NoErr(err)
			case <-time.After(c.grace):
				t.Fatal("the instance did not stop within its grace time")
			}
			is.True(slices.Contains([]int{0, 503}, <-late)) // refused, or its connection
		})
	}
}
