package integration

// The test environment: a deployment of real processes with proxies between them, keys of two workspaces, and calls
// to its instances. Each test starts its own.

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

// Timeouts. They are generous: a condition that must hold within seconds gets several times as long, so that the
// result is the same on a busy machine. The actual time is logged.
const (
	// promptLimit is the timeout for conditions that must hold "within seconds".
	promptLimit = 20 * time.Second
	// settleLimit is the timeout for all other waits.
	settleLimit  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
	testLimit    = 4 * time.Minute
)

// maxDeployments limits how many deployments of ten processes run in parallel. More would slow each other down, and
// a test with a limit of seconds would measure the machine and not the system.
const maxDeployments = 3

var (
	binaries        string
	deploymentSlots = make(chan struct{}, maxDeployments)
)

// TestMain builds the programs, so that the tests never run outdated ones.
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
	// The proxy library logs each connection that it opens and cuts, which would hide the output of a failed test.
	logrus.SetOutput(io.Discard)
	return m.Run()
}

// options configures a world. The zero value means three instances, two engines and one service.
type options struct {
	instances       int
	engines         int
	slots           int
	batch           int
	engineArguments []string
	weightArguments []string
	ignoreFencing   bool
	extraSettings   string
	// rate and burst configure a workspace "measured" with the key world.measuredKey; 0 means no such workspace.
	rate, burst float64
}

// world is the test environment of one test, with a running deployment.
type world struct {
	t           *testing.T
	ctx         context.Context
	d           *deployment.Deployment
	proxies     map[string]*testProxy
	keyA        string
	keyB        string
	measuredKey string
}

// newWorld starts a deployment in parallel with those of other tests, as soon as fewer than maxDeployments run.
func newWorld(t *testing.T, o options) *world {
	t.Helper()
	t.Parallel()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	w := &world{t: t, ctx: ctx, proxies: make(map[string]*testProxy)}
	w.d = &deployment.Deployment{
		Binaries:        binaries,
		Directory:       t.TempDir(),
		Template:        filepath.Join("..", "..", "..", "examples", "cooperatives.json.tmpl"),
		Engines:         orDefault(o.engines, 2),
		EngineSlots:     o.slots,
		EngineBatch:     o.batch,
		Services:        1,
		Instances:       orDefault(o.instances, 3),
		EngineArguments: o.engineArguments,
		// The tests change adapters faster than the default of two loads per second. A test of the load
		// budget sets its own.
		WeightArguments: append([]string{"-loads=20", "-burst=40"}, o.weightArguments...),
		CheckFencing:    func(int) bool { return !o.ignoreFencing },
		ProxyAddress:    w.routeThroughProxy,
		ExtraSettings:   o.extraSettings,
	}
	t.Cleanup(w.stop)
	w.requireNoError(w.d.Start(ctx))
	w.grantKeys(o)
	return w
}

func orDefault(value, usual int) int {
	if value == 0 {
		return usual
	}
	return value
}

// stop kills the remaining processes and, if the test failed, logs the last output of the instances.
func (w *world) stop() {
	w.d.KillAll()
	if !w.t.Failed() {
		return
	}
	for _, process := range w.d.InstanceProcesses {
		w.t.Logf("last output of %s:\n%s", process.Name, process.Tail())
	}
}

// routeThroughProxy puts a proxy between a client and a process. The store and the list have one for each
// instance, so that a single instance can be partitioned. Instances connect to each other directly, because each
// advertises its own address.
func (w *world) routeThroughProxy(client, name, address string) string {
	if strings.HasPrefix(name, "instance-") {
		return address
	}
	key := client + ">" + name
	if _, ok := w.proxies[key]; !ok {
		w.proxies[key] = newProxy(w.t, key, address)
	}
	return w.proxies[key].address()
}

// storeProxy returns the proxy between an instance and the store. engineProxy and serviceProxy return the proxies
// between all instances and an upstream.
func (w *world) storeProxy(instance int) *testProxy {
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
		w.measuredKey = w.grant("measured", "key-measured")
		keys = append(keys, w.measuredKey)
	}
	w.requireNoError(w.d.AwaitKeys(w.ctx, keys...))
}

func (w *world) grant(workspace, name string) string {
	w.t.Helper()
	secret, err := w.d.Grant(w.ctx, workspace, name)
	w.requireNoError(err)
	return secret
}

// apply applies resources, given as JSON, through the first instance.
func (w *world) apply(resources ...string) {
	w.t.Helper()
	w.requireNoError(w.d.Retry(w.ctx, func() error { return w.applyOnce(0, resources...) }))
}

func (w *world) applyOnce(instance int, resources ...string) error {
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

func (w *world) requireNoError(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// eventually waits until a condition holds and returns how long that took. It fails the test after the limit.
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

// engineFaults injects faults into an engine. serviceFaults and storeFaults do so for the service and the store.
func (w *world) engineFaults(number int, faults engine.Faults) {
	w.t.Helper()
	w.requireNoError(w.d.Control(w.ctx, w.d.EngineProcesses[number], "faults", faults))
}

func (w *world) serviceFaults(faults service.Faults) {
	w.t.Helper()
	w.requireNoError(w.d.Control(w.ctx, w.d.ServiceProcesses[0], "faults", faults))
}

func (w *world) storeFaults(faults any) {
	w.t.Helper()
	w.requireNoError(w.d.Control(w.ctx, w.d.Store, "faults", faults))
}

// engineRecords reads the records of the engines from their files, which remain after the engines end.
func (w *world) engineRecords() []engine.Record {
	w.t.Helper()
	records := make([]engine.Record, 0, len(w.d.EngineProcesses))
	for _, process := range w.d.EngineProcesses {
		record, err := engine.ReadRecord(w.d.RecordPath(process.Name))
		w.requireNoError(err)
		records = append(records, record)
	}
	return records
}

// executedRequests returns every request that any engine ran.
func (w *world) executedRequests() []engine.Request {
	w.t.Helper()
	var all []engine.Request
	for _, record := range w.engineRecords() {
		all = append(all, record.Requests...)
	}
	return all
}

// executedWithPrompt returns the requests with the given prompt.
func (w *world) executedWithPrompt(prompt string) []engine.Request {
	w.t.Helper()
	var found []engine.Request
	for _, request := range w.executedRequests() {
		if request.Prompt == prompt {
			found = append(found, request)
		}
	}
	return found
}

// executedBookings returns the calls with the given idempotency key that the service ran.
func (w *world) executedBookings(key string) []service.Call {
	w.t.Helper()
	var record service.Record
	w.requireNoError(w.d.Record(w.ctx, w.d.ServiceProcesses[0], &record))
	var found []service.Call
	for _, call := range record.Calls {
		if call.IdempotencyKey == key && call.Ran() {
			found = append(found, call)
		}
	}
	return found
}
