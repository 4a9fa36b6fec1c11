package daemon

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"lacewingrock.example/lacewingrock/internal/catalog/repository"
	"lacewingrock.example/lacewingrock/internal/entry/settings"
	"lacewingrock.example/lacewingrock/internal/platform/store"
	"lacewingrock.example/lacewingrock/internal/standin/kv"
	"lacewingrock.example/lacewingrock/internal/standin/list"
)

// TestMain fails if a stopped instance leaves goroutines running. Tests that start instances again and again would
// slow down, and such a goroutine could act on outdated configuration.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// platform is the stand-ins for the platform in one test.
type platform struct {
	kv   *kv.Server
	list *list.Server
}

func startPlatform(t *testing.T) *platform {
	t.Helper()
	p := &platform{kv: &kv.Server{}, list: &list.Server{}}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, server := range []interface {
		Listen() error
		Run(ctx context.Context) error
	}{p.kv, p.list} {
		if err := server.Listen(); err != nil {
			t.Fatal(err)
		}
		group.Go(func() { _ = server.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return p
}

// instance is a running daemon.
type instance struct {
	daemon *Daemon
	log    *logBuffer
	stop   context.CancelFunc
	done   chan error
}

// logBuffer holds an instance's log.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.String()
}

// start runs an instance and waits until its readiness probe succeeds.
func (p *platform) start(t *testing.T) *instance {
	t.Helper()
	return p.startWithin(t, 10*time.Second)
}

func (p *platform) startWithin(t *testing.T, limit time.Duration) *instance {
	t.Helper()
	text := fmt.Sprintf(`
[Instance]
Name = i1
DataCentre = south
CallerAddress = 127.0.0.1:0
OperatorAddress = 127.0.0.1:0
PeerAddress = 127.0.0.1:0
[Platform]
StoreAddress = %s
ListAddress = %s
[Operators]
TokenHashes = %s
`, p.kv.Address, p.list.Address, strings.Repeat("ab", 32))
	parsed, err := settings.Parse("test.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	log := &logBuffer{}
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{
		daemon: &Daemon{Settings: parsed, Log: zerolog.New(log)},
		log:    log, stop: cancel, done: make(chan error, 1),
	}
	t.Cleanup(cancel)
	go func() { i.done <- i.daemon.Run(ctx) }()
	address := regexp.MustCompile(`"OperatorAddress":"([^"]+)"`)
	waitUntil(t, limit, "the instance is ready", func() bool {
		found := address.FindStringSubmatch(log.String())
		return found != nil && ready(found[1])
	})
	return i
}

func ready(address string) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	response, err := client.Get("http://" + address + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func waitUntil(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", limit, what)
		}
	}
}

// waitForEnd waits until the instance has ended and returns its error.
func (i *instance) waitForEnd(t *testing.T, limit time.Duration) error {
	t.Helper()
	select {
	case err := <-i.done:
		return err
	case <-time.After(limit):
		t.Fatalf("instance did not end within %v; log: %s", limit, i.log)
		return nil
	}
}

// members returns the names of the members that the store lists.
func (p *platform) members(t *testing.T) (names []string) {
	t.Helper()
	stored := &repository.Repository{Store: &store.Client{Address: p.kv.Address}}
	if err := stored.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, m := range stored.Current().Head.Members {
		names = append(names, m.Name)
	}
	return names
}

// An instance is replaced in a planned stop. It must have left the fleet when it ends. Otherwise its shares and
// upstreams would be unused until the other members detect it as failed.
func TestPlannedStopLeavesTheFleet(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startPlatform(t)
	i := p.start(t)
	is.Equal(p.members(t), []string{"i1"})
	i.stop()
	is.NoErr(i.waitForEnd(t, 10*time.Second))
	is.Equal(len(p.members(t)), 0)
	is.True(strings.Contains(i.log.String(), "MemberLeaves"))
}

// The store is down when an instance is requested to stop. It cannot hand over, and must end anyway before the
// platform kills it.
func TestPlannedStopDuringAnOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startPlatform(t)
	i := p.start(t)
	p.kv.SetFaults(kv.Faults{Outage: true})
	startedAt := time.Now()
	i.stop()
	is.NoErr(i.waitForEnd(t, 20*time.Second))
	is.True(time.Since(startedAt) >= leaveTimeout)
	is.True(strings.Contains(i.log.String(), "MemberCouldNotLeave"))
}

// One of an instance's listeners fails. If the instance went on without its listener for peers, it would gradually
// lose its share and upstreams while the load balancer saw it as ready. It has to end and report why, so that the
// platform restarts it.
func TestInstanceEndsWithAListener(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		listener func(l listeners) net.Listener
	}{
		{"callers", func(l listeners) net.Listener { return l.caller }},
		{"operators", func(l listeners) net.Listener { return l.operator }},
		{"peers", func(l listeners) net.Listener { return l.peer }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			i := startPlatform(t).start(t)
			is.NoErr(c.listener(i.daemon.listeners).Close())
			err := i.waitForEnd(t, 10*time.Second)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.name))
		})
	}
}

// Another process is bound to an address of this instance. The instance must end at once and release all addresses,
// or its next start would fail to bind the others.
func TestInstanceThatCannotListen(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer taken.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	caller := free.Addr().String()
	is.NoErr(free.Close())
	d := &Daemon{Log: zerolog.Nop(), Settings: settings.Settings{Instance: settings.Instance{
		CallerAddress: caller, OperatorAddress: taken.Addr().String(), PeerAddress: "127.0.0.1:0",
	}}}
	is.True(d.Run(t.Context()) != nil)
	again, err := net.Listen("tcp", caller)
	is.NoErr(err)
	is.NoErr(again.Close())
}
