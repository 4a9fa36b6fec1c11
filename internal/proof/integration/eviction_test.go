package integration

// An adapter version that is serving a request is never evicted, and every request runs on the requested adapter
// version. The engines of these tests execute every eviction order and record it.

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"lacewingrock.example/lacewingrock/internal/standin/engine"
)

// Callers request more adapter versions than the engines have adapter slots, with long answers, so that adapters are
// evicted constantly. Meanwhile the instance that orders loads and evictions at an engine is killed, or is frozen and
// resumes with outdated orders. An answer whose adapter version is evicted breaks off, or continues with the weights
// of another version.
func TestServingAdapterIsNeverEvicted(t *testing.T) {
	for _, tt := range []struct {
		name          string
		ignoreFencing bool
		disturb       func(w *world)
	}{
		{name: "nothing fails", disturb: func(w *world) { time.Sleep(6 * time.Second) }},
		{name: "holder killed", disturb: func(w *world) { w.eachInstance(w.killAndStart) }},
		{name: "holder frozen and woken", disturb: func(w *world) { w.eachInstance(w.freezeAndWake) }},
		{name: "holder killed, engine ignores fencing", ignoreFencing: true, disturb: func(w *world) { w.eachInstance(w.killAndStart) }},
		{name: "holder frozen and woken, engine ignores fencing", ignoreFencing: true, disturb: func(w *world) { w.eachInstance(w.freezeAndWake) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, options{slots: 1, ignoreFencing: tt.ignoreFencing})
			w.warm(w.keyA, "bid-estimates@1")
			stop := make(chan struct{})
			var callers sync.WaitGroup
			seen := &outcomeCounts{}
			for number := range 6 {
				callers.Go(func() { w.requestChangingAdapters(number, stop, seen) })
			}
			tt.disturb(w)
			close(stop)
			callers.Wait()
			t.Logf("outcomes: %s", seen)
			w.checkEvictions(t)
			if seen.count("answered") == 0 {
				t.Error("no request was answered")
			}
		})
	}
}

// requestChangingAdapters requests randomly chosen adapter versions, with answers long enough for an eviction to occur while
// they are generated.
func (w *world) requestChangingAdapters(number int, stop <-chan struct{}, seen *outcomeCounts) {
	models := []string{"bid-estimates@1", "bid-estimates@2", "site-summaries@1", "safety-briefings@1"}
	chance := rand.New(rand.NewPCG(uint64(number), 1))
	using := w.caller(w.keyA).withTimeout(20 * time.Second)
	for round := 0; ; round++ {
		select {
		case <-stop:
			return
		default:
		}
		model := models[chance.IntN(len(models))]
		prompt := fmt.Sprintf("shift %d %d", number, round)
		tokens := 10 + chance.IntN(100)
		got := using.stream(chance.IntN(len(w.d.InstanceProcesses)), model, prompt, tokens)
		seen.add(got.outcome())
		if !got.ok() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if err := checkText(got, model, prompt, tokens); err != nil {
			w.t.Errorf("%s: %v", prompt, err)
		}
	}
}

func (w *world) eachInstance(disturb func(instance int)) {
	for instance := range w.d.InstanceProcesses {
		time.Sleep(time.Second)
		disturb(instance)
	}
	time.Sleep(time.Second)
}

func (w *world) killAndStart(instance int) {
	w.requireNoError(w.d.InstanceProcesses[instance].Kill())
	time.Sleep(2 * time.Second)
	w.requireNoError(w.d.InstanceProcesses[instance].Start(w.ctx))
}

func (w *world) freezeAndWake(instance int) {
	w.requireNoError(w.d.InstanceProcesses[instance].Freeze())
	time.Sleep(6 * time.Second)
	w.requireNoError(w.d.InstanceProcesses[instance].Unfreeze())
}

// checkEvictions checks in the engines' records that no serving adapter version was evicted, and that evictions
// took place.
func (w *world) checkEvictions(t *testing.T) {
	t.Helper()
	evicted := 0
	for number, record := range w.engineRecords() {
		for _, eviction := range record.Evictions {
			if eviction.Outcome != "done" {
				continue
			}
			evicted++
			if eviction.Serving > 0 {
				t.Errorf("engine %d evicted %s@%s (fence %d) while it served %d requests",
					number+1, eviction.Adapter, eviction.Version, eviction.Fence, eviction.Serving)
			}
		}
		for _, request := range record.Requests {
			if request.Outcome == engine.OutcomeEvicted {
				t.Errorf("engine %d: request %s lost its adapter version", number+1, request.RequestID)
			}
		}
	}
	t.Logf("%d evictions", evicted)
	if evicted == 0 {
		t.Error("no eviction took place, so the test checked nothing")
	}
}

// -----------------------------------------------------------------------------------------------

// Loads fail, are reported as done although they are not, or the engine restarts with nothing loaded after it was
// chosen and before it gets the request. The caller must get an answer from the requested adapter version, or a
// refusal, and never an answer from another version.
func TestRunsOnTheVersionAskedFor(t *testing.T) {
	for _, tt := range []struct {
		name string
		fail func(w *world, number int)
	}{
		{name: "loads fail", fail: func(w *world, number int) { w.engineFaults(number, engine.Faults{FailLoads: 2}) }},
		{name: "loads are lied about", fail: func(w *world, number int) { w.engineFaults(number, engine.Faults{LieAboutLoads: 2}) }},
		{name: "the engine restarts", fail: func(w *world, number int) {
			w.requireNoError(w.d.EngineProcesses[number].Kill())
			w.requireNoError(w.d.EngineProcesses[number].Start(w.ctx))
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, options{})
			w.warm(w.keyA, "bid-estimates@1")
			for number := range w.d.EngineProcesses {
				tt.fail(w, number)
			}
			for _, model := range []string{"bid-estimates@1", "bid-estimates@2", "site-summaries@1"} {
				prompt := tt.name + " " + model
				w.eventually("answered on "+model, settleLimit, func() bool {
					got := w.caller(w.keyA).completion(1, model, prompt, 5)
					if !got.ok() {
						t.Logf("not yet: %s", got)
						time.Sleep(200 * time.Millisecond)
						return false
					}
					if err := checkText(got, model, prompt, 5); err != nil {
						t.Fatal(err)
					}
					return true
				})
				for _, request := range w.executedWithPrompt(prompt) {
					if engine.Model(request.Adapter, request.Version) != model {
						t.Errorf("ran on %s@%s", request.Adapter, request.Version)
					}
				}
			}
		})
	}
}
