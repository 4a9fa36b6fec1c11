package integration

// The world of a test: a deployment of real processes with proxies between them, keys of two
// workspaces, and calls to its instances. Each test starts its own.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"lacewingrock.example/lacewingrock/internal/standin/deployment"
	"lacewingrock.example/lacewingrock/internal/standin/engine"
	"lacewingrock.example/lacewingrock/internal/standin/service"
)

// Bounds of waits. They are generous: what must hold within seconds is given several times that, so
// that a busy machine gives the same verdict; the seconds that it took are logged.
const (
	// soonLimit bounds what must be so "within seconds".
	soonLimit = 20 * time.Second
	// settleLimit bounds everything else that is waited for.
	settleLimit  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
	testLimit    = 4 * time.Minute
)

// worldsAtOnce bounds how many deployments of ten processes run side by side: more would only slow each
// other down, and a test that waits for seconds would see the machine and not the system.
const worldsAtOnce = 3

var (
	binaries string
	places   = make(chan struct{}, worldsAtOnce)
)

// TestMain builds the programs, so that the tests never run against older ones.
func TestMain(m *testing.M) { os.Exit(runAll(m)) }

func runAll(m *testing.M) int {
	directory, err := os.MkdirTemp("", "lacewingrock-integration")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	build := exec.Command("go", "build", "-o", directory, "./cmd/...")
	build.Dir = filepath.Join("..", "..", "..")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	binaries = directory
	// The proxy's library logs each connection that it opens and cuts; a failure would drown in that.
	logrus.SetOutput(io.Discard)
	return m.Run()
}

// options of a world. The zero value is three instances, two engines and one service.
type options struct {
	instances       int
	engines         int
	slots           int
	batch           int
	engineArguments []string
	weightArguments []string
	ignoreFencing   bool
	extraSettings   string
	// rate and burst of a workspace "measured" with the key world.measured; 0: none.
	rate, burst float64
}

// world is a running deployment.
type world struct {
	t        *testing.T
	ctx      context.Context
	d        *deployment.Deployment
	proxies  map[string]*testProxy
	keyA     string
	keyB     string
	measured string
}

// newWorld starts a deployment beside those of other tests, as soon as there is a place.
func newWorld(t *testing.T, o options) *world {
	t.Helper()
	t.Parallel()
	places <- struct{}{}
	t.Cleanup(func() { <-places })
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	w := &world{t: t, ctx: ctx, proxies: make(map[string]*testProxy)}
	w.d = &deployment.Deployment{
		Binaries:        binaries,
		Directory:       t.TempDir(),
		Template:        filepath.Join("..", "..", "..", "examples", "cooperatives.json.tmpl"),
		Engines:         orUsual(o.engines, 2),
		EngineSlots:     o.slots,
		EngineBatch:     o.batch,
		Services:        1,
		Instances:       orUsual(o.instances, 3),
		EngineArguments: o.engineArguments,
		// The tests shift adapters faster than two loads a second; a test of the budget sets its own.
		WeightArguments: append([]string{"-loads=20", "-burst=40"}, o.weightArguments...),
		CheckFencing:    func(int) bool { return !o.ignoreFencing },
		ProxyAddress:    w.through,
		ExtraSettings:   o.extraSettings,
	}
	t.Cleanup(w.end)
	w.must(w.d.Start(ctx))
	w.grantKeys(o)
	return w
}

func orUsual(value, usual int) int {
	if value == 0 {
		return usual
	}
	return value
}

// end kills what is left, and shows what the processes last wrote when the test failed.
func (w *world) end() {
	w.d.KillAll()
	if !w.t.Failed() {
		return
	}
	for _, process := range w.d.InstanceProcesses {
		w.t.Logf("%s wrote last:\n%s", process.Name, process.Tail())
	}
}

// through puts a proxy between a client and a process. The store and the list have one for each
// instance, so that one instance alone can be cut off. Instances reach each other directly, as each
// tells its own address.
func (w *world) through(client, name, address string) string {
	if strings.HasPrefix(name, "instance-") {
		return address
	}
	key := client + ">" + name
	if _, ok := w.proxies[key]; !ok {
		w.proxies[key] = newProxy(w.t, key, address)
	}
	return w.proxies[key].address()
}

// storeOf is the proxy between an instance and the store; engineProxy and serviceProxy stand before
// an upstream for all instances.
func (w *world) storeOf(instance int) *testProxy {
	return w.proxies[fmt.Sprintf("instance-%d>kv", instance+1)]
}

func (w *world) engineProxy(number int) *testProxy {
	return w.proxies[fmt.Sprintf(">engine-%d", number+1)]
}
func (w *world) serviceProxy() *testProxy { return w.proxies[">service-1"] }

func (w *world) grantKeys(o options) {
	w.t.Helper()
	w.keyA = w.grant(deployment.WorkspaceA, "key-a")
	w.keyB = w.grant(deployment.WorkspaceB, "key-b")
	keys := []string{w.keyA, w.keyB}
	if o.rate > 0 {
		w.apply(fmt.Sprintf(`{"Kind":"Workspace","Name":"measured","Rate":%g,"Burst":%g,"Weight":1}`, o.rate, o.burst),
			`{"Kind":"Adapter","Name":"open","BaseModel":"base","Workspaces":[],"Current":"1"}`,
			`{"Kind":"AdapterVersion","Name":"open@1","Adapter":"open","Version":"1","Source":"open/1"}`)
		w.measured = w.grant("measured", "key-measured")
		keys = append(keys, w.measured)
	}
	w.must(w.d.AwaitKeys(w.ctx, keys...))
}

func (w *world) grant(workspace, name string) string {
	w.t.Helper()
	secret, err := w.d.Grant(w.ctx, workspace, name)
	w.must(err)
	return secret
}

// apply applies resources, given as JSON, by the first instance.
func (w *world) apply(resources ...string) {
	w.t.Helper()
	w.must(w.d.Retry(w.ctx, func() error { return w.tryApply(0, resources...) }))
}

func (w *world) tryApply(instance int, resources ...string) error {
	list := make([]json.RawMessage, 0, len(resources))
	for _, resource := range resources {
		list = append(list, json.RawMessage(resource))
	}
	text, err := json.Marshal(map[string]any{"Resources": list})
	if err != nil {
		return err
	}
	file, err := os.CreateTemp(w.d.Directory, "resources-*.json")
	if err != nil {
		return err
	}
	if _, err := file.Write(text); err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	_, err = w.d.Operate(w.ctx, instance, "apply", "-f", file.Name())
	return err
}

func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// eventually waits until something holds and returns how long that took.
func (w *world) eventually(what string, limit time.Duration, holds func() bool) time.Duration {
	w.t.Helper()
	begun := time.Now()
	for time.Since(begun) < limit && w.ctx.Err() == nil {
		if holds() {
			return time.Since(begun)
		}
		time.Sleep(pollInterval)
	}
	w.t.Fatalf("not within %s: %s", limit, what)
	return 0
}

// -----------------------------------------------------------------------------------------------

// engineFaults sets the faults of an engine by name, service faults and store faults likewise.
func (w *world) engineFaults(number int, faults engine.Faults) {
	w.t.Helper()
	w.must(w.d.Control(w.ctx, w.d.EngineProcesses[number], "faults", faults))
}

func (w *world) serviceFaults(faults service.Faults) {
	w.t.Helper()
	w.must(w.d.Control(w.ctx, w.d.ServiceProcesses[0], "faults", faults))
}

func (w *world) storeFaults(faults any) {
	w.t.Helper()
	w.must(w.d.Control(w.ctx, w.d.Store, "faults", faults))
}

// engineRecords reads what the engines ran, from the files that outlive them.
func (w *world) engineRecords() []engine.Record {
	w.t.Helper()
	records := make([]engine.Record, 0, len(w.d.EngineProcesses))
	for _, process := range w.d.EngineProcesses {
		record, err := engine.ReadRecord(w.d.RecordPath(process.Name))
		w.must(err)
		records = append(records, record)
	}
	return records
}

// ran is every request that any engine ran.
func (w *world) ran() []engine.Request {
	w.t.Helper()
	var all []engine.Request
	for _, record := range w.engineRecords() {
		all = append(all, record.Requests...)
	}
	return all
}

// ranWith is the requests whose prompt is the given one.
func (w *world) ranWith(prompt string) []engine.Request {
	w.t.Helper()
	var found []engine.Request
	for _, request := range w.ran() {
		if request.Prompt == prompt {
			found = append(found, request)
		}
	}
	return found
}

// bookings is the calls that the service ran with an idempotency key.
func (w *world) bookings(key string) []service.Call {
	w.t.Helper()
	var record service.Record
	w.must(w.d.Record(w.ctx, w.d.ServiceProcesses[0], &record))
	var found []service.Call
	for _, call := range record.Calls {
		if call.IdempotencyKey == key && call.Ran() {
			found = append(found, call)
		}
	}
	return found
}
