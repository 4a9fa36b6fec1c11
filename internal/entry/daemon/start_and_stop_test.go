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

// TestMain finds goroutines that a stopped instance leaves behind: an instance started in a test again
// and again would otherwise slow down, and one of them could act on what it knew before.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// platform is the stand-ins of one test.
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

// instance is a daemon that runs.
type instance struct {
	daemon *Daemon
	log    *logged
	stop   context.CancelFunc
	ended  chan error
}

// logged keeps an instance's log.
type logged struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (l *logged) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(line)
}

func (l *logged) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.String()
}

// start runs an instance and waits until it would be given requests.
func (p *platform) start(t *testing.T) *instance {
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
	log := &logged{}
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{
		daemon: &Daemon{Settings: parsed, Log: zerolog.New(log)},
		log:    log, stop: cancel, ended: make(chan error, 1),
	}
	t.Cleanup(cancel)
	go func() { i.ended <- i.daemon.Run(ctx) }()
	address := regexp.MustCompile(`"OperatorAddress":"([^"]+)"`)
	within(t, 10*time.Second, "the instance is ready", func() bool {
		found := address.FindStringSubmatch(log.String())
		return found != nil && ready(found[1])
	})
	return i
}

func ready(address string) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	answer, err := client.Get("http://" + address + "/ready")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func within(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// end waits for the instance's end.
func (i *instance) end(t *testing.T, limit time.Duration) error {
	t.Helper()
	select {
	case err := <-i.ended:
		return err
	case <-time.After(limit):
		t.Fatalf("not ended within %v: %s", limit, i.log)
		return nil
	}
}

// members lists the fleet as the store has it.
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

// An instance is replaced as planned. It must be out of the fleet when it ends, or the others would keep
// its shares and upstreams from being used until they take it for dead.
func TestPlannedStopLeavesTheFleet(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startPlatform(t)
	i := p.start(t)
	is.Equal(p.members(t), []string{"i1"})
	i.stop()
	is.NoErr(i.end(t, 10*time.Second))
	is.Equal(len(p.members(t)), 0)
	is.True(strings.Contains(i.log.String(), "MemberLeaves"))
}

// The store is down when an instance is told to stop. It cannot hand over, and must end all the same
// before the platform kills it.
func TestPlannedStopDuringAnOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startPlatform(t)
	i := p.start(t)
	p.kv.SetFaults(kv.Faults{Outage: true})
	began := time.Now()
	i.stop()
	is.NoErr(i.end(t, 20*time.Second))
	is.True(time.Since(began) >= leaveWithin)
	is.True(strings.Contains(i.log.String(), "MemberCouldNotLeave"))
}

// One of an instance's listeners breaks. An instance that went on with the others would, without its
// peers' one, slowly lose its share and upstreams, and look alive to the balancer. It has to end and say
// why, so that the platform starts it anew.
func TestInstanceEndsWithAListener(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		broken func(l listeners) net.Listener
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
			is.NoErr(c.broken(i.daemon.listeners).Close())
			err := i.end(t, 10*time.Second)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.name))
		})
	}
}

// Another process has an address of this instance. It must end at once with everything given back, or its
// next start would find the other addresses taken.
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
