package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lacewingrock.example/lacewingrock/internal/entry/node"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
)

// instance is a node that runs in the test's process, on loopback.
type instance struct {
	name     string
	settings node.Settings
	client   *client
	stop     context.CancelFunc
	ended    chan error
	mutex    sync.Mutex
	reread   func() (node.Settings, error)
	log      *lines
}

// lines collects what an instance logs.
type lines struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(p)
}

func (l *lines) has(text string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return strings.Contains(l.text.String(), text)
}

// orders accepts everything and keeps under which fence it was ordered.
type orders struct {
	mutex  sync.Mutex
	fences []int64
}

func (o *orders) Order(
	_ context.Context, _ traffic.Upstream, _ string, fence int64, _ residence.Order,
) (residence.Outcome, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.fences = append(o.fences, fence)
	return residence.Accepted, nil
}

func (*orders) Report(context.Context, traffic.Upstream) (residence.Report, error) {
	return residence.Report{Models: []traffic.LoadedModel{{Name: "m", Version: 1}}}, nil
}

// anyPort has an instance take free ports; it logs which.
const anyPort = "127.0.0.1:0"

// address is what an instance has logged for one of its doors.
func (i *instance) address(door string) string {
	i.log.mutex.Lock()
	defer i.log.mutex.Unlock()
	found := regexp.MustCompile(`"` + door + `":"([^"]+)"`).FindStringSubmatch(i.log.text.String())
	if found == nil {
		return ""
	}
	return found[1]
}

func start(t testing.TB, s *store, name string) *instance {
	t.Helper()
	i := &instance{name: name, client: &client{store: s}, ended: make(chan error, 1), log: &lines{}}
	i.settings = node.Settings{
		Instance: node.InstanceSettings{
			Name: name, DataCentre: "here", CallerAddress: anyPort, ReadyAddress: anyPort,
			PeerAddress: anyPort, MetricsAddress: anyPort,
		},
		Platform:  node.PlatformSettings{StoreTimeout: time.Second},
		Callers:   node.CallerSettings{HeaderBytes: 16384, HeaderTimeout: time.Second, IdleTimeout: time.Second, StopWithin: 5 * time.Second, ChangeWithin: 2 * time.Second},
		Upstreams: node.UpstreamSettings{FencesChecked: true},
		Retries:   node.RetrySettings{Ratio: 0.2, Slack: 54},
	}
	i.reread = func() (node.Settings, error) { return i.settings, nil }
	n := &node.Node{
		Settings: i.settings, Store: i.client, Decoder: decoder{}, Dialect: dialect{},
		Orders: &orders{}, ReadyPath: pathReady, Log: zerolog.New(i.log).With().Timestamp().Logger(),
		Dropped: func() int { return 0 },
		Apply:   func(node.Settings) {},
		Reread: func() (node.Settings, error) {
			i.mutex.Lock()
			defer i.mutex.Unlock()
			return i.reread()
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
func eventually(t testing.TB, within time.Duration, what string, holds func() bool) {
	t.Helper()
	began := time.Now()
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within %s since %s: %s", within, began.Format(time.RFC3339Nano), what)
}

func (i *instance) status(path string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+i.address("CallerAddress")+path, nil)
	if err != nil {
		return 0
	}
	request.Host = "a.example"
	request.Header.Set(headerID, "id1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
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

// newUpstream is a plain service that answers after a while.
func newUpstream(t *testing.T, after time.Duration) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(after)
		w.Header().Set(headerID, r.Header.Get(headerID))
		w.Header().Set(headerSigned, "s")
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// The store turns one of three instances away and serves the others. Its callers would go on by the old
// configuration for as long as that lasts; the other instances tell it.
func TestChangeReachesAnInstanceThatTheStoreTurnsAway(t *testing.T) {
	t.Parallel()
	s := newStore()
	s.put(keyConfiguration, configuration(1, "/old/"))
	s.put(prefixUpstreams+"u", upstreamEntry("app", newUpstream(t, 0)))
	fleet := []*instance{start(t, s, "a"), start(t, s, "b"), start(t, s, "c")}
	for _, one := range fleet {
		eventually(t, 2*time.Second, one.name+" serves", func() bool { return one.ready() && one.status("/old/") == 200 })
	}
	eventually(t, 3*time.Second, "all know each other", func() bool {
		return len(fleet) == 3 && fleet[0].log.has(`"Peer":"b"`) && fleet[0].log.has(`"Peer":"c"`) && fleet[1].log.has(`"Peer":"c"`)
	})
	for _, turnedAway := range fleet {
		turnedAway.client.deny(true)
		version := time.Now().UnixNano()
		prefix := "/" + turnedAway.name + "/"
		s.put(keyConfiguration, configuration(int(version), prefix))
		eventually(t, 2*time.Second, turnedAway.name+" has the change", func() bool { return turnedAway.status(prefix) == 200 })
		turnedAway.client.deny(false)
	}
}

// Guards against an instance that the store turns away and that goes on sending to a data centre that operators empty,
// or that keeps out of it once it was taken back.
func TestEvacuationReachesAnInstanceThatTheStoreTurnsAway(t *testing.T) {
	t.Parallel()
	s := newStore()
	s.put(keyConfiguration, configuration(1, "/p/"))
	s.put(prefixUpstreams+"u", upstreamEntry("app", newUpstream(t, 0)))
	fleet := []*instance{start(t, s, "a"), start(t, s, "b")}
	for _, one := range fleet {
		eventually(t, 2*time.Second, one.name+" serves", func() bool { return one.ready() && one.status("/p/") == 200 })
	}
	eventually(t, 3*time.Second, "both know each other", func() bool { return fleet[0].log.has(`"Peer":"b"`) })
	for _, turnedAway := range fleet {
		turnedAway.client.deny(true)
		s.put(prefixEvacuations+"here", "{}")
		eventually(t, 2*time.Second, "nothing is sent there", func() bool { return turnedAway.status("/p/") == 503 })
		s.drop(prefixEvacuations + "here")
		eventually(t, 2*time.Second, "it is taken back", func() bool { return turnedAway.status("/p/") == 200 })
		turnedAway.client.deny(false)
	}
}

// Guards against an instance that starts while a data centre is evacuated and sends there all the same.
func TestInstanceThatStartsKnowsWhatIsEvacuated(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore()
	s.put(keyConfiguration, configuration(1, "/p/"))
	s.put(prefixUpstreams+"u", upstreamEntry("app", newUpstream(t, 0)))
	s.put(prefixEvacuations+"here", "{}")
	one := start(t, s, "a")
	eventually(t, 2*time.Second, "it is ready", one.ready)
	is.Equal(one.status("/p/"), 503)
}

// The instance that holds an upstream is gone without a word. Nobody could load adapters there until
// another takes over, under a higher fence, once its lease has ended.
func TestLostHolderIsReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore()
	s.put(keyConfiguration, configuration(1, "/p/"))
	s.put(prefixUpstreams+"e", upstreamEntry("llm", "127.0.0.1:1"))
	fleet := map[string]*instance{"a": start(t, s, "a"), "b": start(t, s, "b")}
	const key = "fleet/holders/e"
	eventually(t, 4*time.Second, "there is a holder", func() bool { _, found := s.get(key); return found })
	before, _ := s.get(key)
	for name, one := range fleet {
		if strings.Contains(string(before.Value), fmt.Sprintf("%q", name)) {
			one.client.deny(true) // its lease ends as if it were gone
		}
	}
	eventually(t, 6*time.Second, "another holds it", func() bool {
		now, found := s.get(key)
		return found && string(now.Value) != string(before.Value)
	})
	after, _ := s.get(key)
	is.True(after.Revision > before.Revision)
}

// The store is away for a while, and the entry of an upstream that lives lapses meanwhile. Dropped at once,
// the service would have no upstream; dropped never, requests would go on to one that is gone.
func TestEntriesLapsedInAnOutageMayComeBack(t *testing.T) {
	t.Parallel()
	s := newStore()
	s.put(keyConfiguration, configuration(1, "/p/"))
	address := newUpstream(t, 0)
	s.put(prefixUpstreams+"u", upstreamEntry("app", address))
	one := start(t, s, "a")
	eventually(t, 2*time.Second, "serves", func() bool { return one.status("/p/") == 200 })
	s.setDown(true)
	time.Sleep(2 * time.Second)
	s.drop(prefixUpstreams + "u")
	s.setDown(false)
	eventually(t, time.Second, "the outage is noticed", func() bool { return one.log.has("StoreReturned") })
	for range 10 {
		if status := one.status("/p/"); status != 200 {
			t.Fatalf("status %d right after the outage", status)
		}
		time.Sleep(50 * time.Millisecond)
	}
	eventually(t, 4*time.Second, "the upstream is gone", func() bool { return one.status("/p/") == 503 })
}

// The platform says by SIGHUP that the settings file has changed. The default of that signal ends the
// process and cuts all its requests; settings that cannot be read must not do so either.
func TestHangupReloads(t *testing.T) {
	s := newStore()
	s.put(keyConfiguration, configuration(1, "/p/"))
	one := start(t, s, "a")
	eventually(t, 2*time.Second, "ready", one.ready)
	one.mutex.Lock()
	one.reread = func() (node.Settings, error) { return node.Settings{}, errors.New("no such file") }
	one.mutex.Unlock()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	eventually(t, time.Second, "the failure is logged", func() bool { return one.log.has("ReloadFailed") })
	changed := one.settings
	changed.Retries.Slack = 5
	one.mutex.Lock()
	one.reread = func() (node.Settings, error) { return changed, nil }
	one.mutex.Unlock()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	eventually(t, time.Second, "the change is taken over", func() bool { return one.log.has(`"Changed":true`) })
	if !one.ready() {
		t.Fatal("not ready any more")
	}
}

// An instance is told to stop while a request runs. The balancer hears first; the request ends as usual.
func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStore()
	s.put(keyConfiguration, configuration(1, "/p/"))
	s.put(prefixUpstreams+"u", upstreamEntry("app", newUpstream(t, time.Second)))
	one := start(t, s, "a")
	eventually(t, 2*time.Second, "ready", one.ready)
	status := make(chan int)
	go func() { status <- one.status("/p/") }()
	time.Sleep(100 * time.Millisecond)
	one.stop()
	eventually(t, 500*time.Millisecond, "not ready any more", func() bool { return !one.ready() })
	is.Equal(<-status, 200)
	select {
	case err := <-one.ended:
		is.NoErr(err)
	case <-time.After(5 * time.Second):
		t.Fatal("still there")
	}
	_, found := s.get("fleet/instances/a")
	is.True(!found) // what it held is free at once
}
