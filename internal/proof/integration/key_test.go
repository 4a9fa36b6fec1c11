package integration

// A request runs only for the workspace of its key, no upstream gets the key, and a withdrawn key stops working
// within seconds.

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"lacewingrock.example/lacewingrock/internal/standin/deployment"
	"lacewingrock.example/lacewingrock/internal/standin/kv"
	"lacewingrock.example/lacewingrock/internal/standin/service"
)

// A caller uses a key of one workspace with an adapter of another, by mistake or as an attack, or sends no key or an
// invalid one. These requests must be refused and must not run. A request that runs must reach the upstream without
// the key.
func TestRunsOnlyForItsKeysWorkspace(t *testing.T) {
	w := newWorld(t, options{})
	w.warm(w.keyA, deployment.AdapterA+"@2")
	for _, tt := range []struct {
		name, key, model string
		status           []int
		runs             bool
	}{
		{name: "own adapter", key: w.keyA, model: deployment.AdapterA + "@2", status: []int{200}, runs: true},
		{name: "another's adapter", key: w.keyA, model: deployment.AdapterB + "@2", status: []int{403, 404}},
		{name: "the other way round", key: w.keyB, model: deployment.AdapterA + "@2", status: []int{403, 404}},
		{name: "unknown key", key: "made-up", model: deployment.AdapterA, status: []int{401}},
		{name: "no key", key: "", model: deployment.AdapterA, status: []int{401}},
	} {
		for instance := range w.d.InstanceProcesses {
			prompt := fmt.Sprintf("%s %d", tt.name, instance)
			got := w.caller(tt.key).completion(instance, tt.model, prompt, 3)
			if !containsStatus(tt.status, got.status) {
				t.Errorf("%s at instance %d: %s", tt.name, instance, got)
			}
			if ran := len(w.executedWithPrompt(prompt)) > 0; ran != tt.runs {
				t.Errorf("%s at instance %d: ran = %t", tt.name, instance, ran)
			}
		}
	}
	if got := w.caller(w.keyA).book(0, "seen", "{}"); !got.ok() {
		t.Errorf("booking: %s", got)
	}
	w.checkNoUpstreamSawKeys(w.keyA, w.keyB)
}

func containsStatus(statuses []int, status int) bool {
	for _, one := range statuses {
		if one == status {
			return true
		}
	}
	return false
}

// checkNoUpstreamSawKeys checks every header that reached an upstream.
func (w *world) checkNoUpstreamSawKeys(keys ...string) {
	w.t.Helper()
	check := func(headers map[string]string) {
		for name, value := range headers {
			if name == "Authorization" || name == "X-Workspace" {
				w.t.Errorf("an upstream got the header %s", name)
			}
			for _, key := range keys {
				if strings.Contains(value, key) {
					w.t.Errorf("an upstream got a key in the header %s", name)
				}
			}
		}
	}
	for _, request := range w.executedRequests() {
		check(request.Headers)
	}
	var record service.Record
	w.requireNoError(w.d.Record(w.ctx, w.d.ServiceProcesses[0], &record))
	for _, call := range record.Calls {
		check(call.Headers)
	}
}

// -----------------------------------------------------------------------------------------------

// An operator withdraws a key while callers continue to use it over open connections. At that time one instance may
// be partitioned from the store, its store connections may have gone silent, or the store may have an outage right
// afterwards. Every instance must refuse the key within seconds. Otherwise the workspace pays for requests made with
// a stolen key.
func TestWithdrawnKeyStops(t *testing.T) {
	for _, tt := range []struct {
		name   string
		before func(w *world)
		after  func(w *world)
	}{
		{name: "nothing else fails"},
		{name: "one instance is cut from the store", before: func(w *world) { w.storeProxy(2).refuse() }},
		{name: "one instance's store connections are silent", before: func(w *world) { w.storeProxy(2).silenceOpen() }},
		{name: "one instance reaches the store not at all and is not told", before: func(w *world) { w.storeProxy(2).partition(true) }},
		{name: "the store goes out right after", after: func(w *world) { w.storeFaults(kv.Faults{Outage: true}) }},
		{name: "the answer to the change is lost", before: func(w *world) { w.storeFaults(kv.Faults{LoseAnswers: 1}) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, options{})
			w.warm(w.keyA, deployment.AdapterA+"@2")
			if tt.before != nil {
				tt.before(w)
			}
			w.withdraw("key-a")
			if tt.after != nil {
				tt.after(w)
			}
			w.awaitRefusedEverywhere(w.keyA)
			if got := w.caller(w.keyB).send(0, http.MethodGet, "/v1/models", "", nil); tt.after == nil && !got.ok() {
				t.Errorf("the other workspace's key: %s", got)
			}
		})
	}
}

// withdraw withdraws a key through the first instance. While the store fails, the change may be refused or its outcome
// unknown; it is then retried.
func (w *world) withdraw(name string) {
	w.t.Helper()
	w.requireNoError(w.d.Retry(w.ctx, func() error {
		_, err := w.d.Operate(w.ctx, 0, "key", "withdraw", "-name", name)
		return err
	}))
}

// awaitRefusedEverywhere polls every instance until it refuses the key, and then checks that all instances continue to
// refuse it. A refusal is status 401 or 403, or 503 from an instance that cannot confirm its configuration.
func (w *world) awaitRefusedEverywhere(key string) {
	w.t.Helper()
	using := w.caller(key)
	begun := time.Now()
	attempt := 0
	for instance := range w.d.InstanceProcesses {
		w.eventually("refused at "+w.d.InstanceProcesses[instance].Name, promptLimit, func() bool {
			attempt++
			return !using.completion(instance, deployment.AdapterA+"@2", fmt.Sprintf("poll %d", attempt), 1).ok()
		})
		w.t.Logf("%s refuses %.2f s after the withdrawal", w.d.InstanceProcesses[instance].Name, time.Since(begun).Seconds())
	}
	for round := range 20 {
		prompt := fmt.Sprintf("after the withdrawal %d", round)
		got := using.completion(round%len(w.d.InstanceProcesses), deployment.AdapterA+"@2", prompt, 1)
		if got.ok() || len(w.executedWithPrompt(prompt)) > 0 {
			w.t.Fatalf("ran with a withdrawn key: %s", got)
		}
	}
}

// An instance is frozen for longer than the freshness bound, as a paused machine is. Meanwhile a key is withdrawn and
// requests with it arrive at the frozen instance's socket. When the instance resumes, it must not run them: it has to
// check the freshness of its configuration at the time of use.
func TestWithdrawnKeyDoesNotRunAtAWokenInstance(t *testing.T) {
	w := newWorld(t, options{})
	model := deployment.AdapterA + "@2"
	w.warm(w.keyA, model)
	using := w.caller(w.keyA)
	for round := range 3 {
		name := fmt.Sprintf("key-frozen-%d", round)
		using.key = w.grant(deployment.WorkspaceA, name)
		w.requireNoError(w.d.AwaitKeys(w.ctx, using.key))
		w.requireNoError(w.d.InstanceProcesses[2].Freeze())
		w.withdraw(name)
		var sent sync.WaitGroup
		prompt := func(i int) string { return fmt.Sprintf("sent while frozen %d %d", round, i) }
		for i := range 4 {
			sent.Go(func() { using.completion(2, model, prompt(i), 1) })
		}
		time.Sleep(2 * deployment.FreshnessBound)
		w.requireNoError(w.d.InstanceProcesses[2].Unfreeze())
		sent.Wait()
		for i := range 4 {
			if len(w.executedWithPrompt(prompt(i))) > 0 {
				t.Errorf("round %d: a request with a withdrawn key ran after the freeze", round)
			}
		}
		w.warm(w.keyA, model)
	}
}

// The store has an outage longer than the freshness bound of a single read, and nothing changes meanwhile. The
// instances confirm each other's configuration, so callers must be answered throughout. A withdrawal requested during
// the outage must be refused and must not be partly applied.
func TestStoreOutage(t *testing.T) {
	w := newWorld(t, options{})
	model := deployment.AdapterA + "@2"
	w.warm(w.keyA, model)
	w.storeFaults(kv.Faults{Outage: true})
	if _, err := w.d.Operate(w.ctx, 0, "key", "withdraw", "-name", "key-b"); err == nil {
		t.Error("a withdrawal was accepted during the store outage")
	}
	using := w.caller(w.keyA)
	begun, sent, refused := time.Now(), 0, 0
	for time.Since(begun) < 4*deployment.FreshnessBound {
		sent++
		if got := using.completion(sent%len(w.d.InstanceProcesses), model, fmt.Sprintf("outage %d", sent), 2); !got.ok() {
			refused++
			t.Logf("%.1f s into the outage: %s", time.Since(begun).Seconds(), got)
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("%d of %d requests were not answered in an outage of %s", refused, sent, 4*deployment.FreshnessBound)
	if refused*20 > sent {
		t.Errorf("%d of %d requests were refused during the store outage", refused, sent)
	}
	if got := using.book(0, "during-outage", "{}"); got.ok() || got.runHeader() != "not-run" {
		t.Errorf("a booking during the outage, which cannot be claimed: %s", got)
	}
	if ran := w.executedBookings("during-outage"); len(ran) > 0 {
		t.Error("a booking ran without a claim")
	}
	w.storeFaults(kv.Faults{})
	w.withdraw("key-b")
	w.awaitRefusedEverywhere(w.keyB)
}
