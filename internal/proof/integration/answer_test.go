package integration

// Each caller gets the complete answer to its own request, or a refusal. It never gets part of an answer or the
// answer to another request. One request that crashes engines does not crash all of them.

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"lacewingrock.example/lacewingrock/internal/standin/deployment"
	"lacewingrock.example/lacewingrock/internal/standin/engine"
)

// Many callers send requests concurrently while the engines return answers to other requests, answer late, cut
// streams in the middle, or have connections that go silent. A caller cannot detect that it got the answer to
// another request, or half of its own.
func TestWholeAnswerToOnesOwnRequest(t *testing.T) {
	for _, tt := range []struct {
		name   string
		faults engine.Faults
		during func(w *world)
	}{
		{name: "crossed answers", faults: engine.Faults{CrossAnswers: true}},
		{name: "late answers", faults: engine.Faults{LateMillis: 700}},
		{name: "streams cut in the middle", faults: engine.Faults{CutAfterTokens: 5}},
		{name: "engine connections silent", faults: engine.Faults{SilentConnections: true}},
		{name: "connections on the way silent", during: func(w *world) {
			for number := range w.d.EngineProcesses {
				w.engineProxy(number).silenceOpen()
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, options{})
			model := deployment.AdapterA + "@2"
			w.warm(w.keyA, model)
			for number := range w.d.EngineProcesses {
				w.engineFaults(number, tt.faults)
			}
			var callers sync.WaitGroup
			var mu sync.Mutex
			answered, failed := 0, 0
			for number := range 12 {
				callers.Go(func() {
					prompt := fmt.Sprintf("%s %d", tt.name, number)
					ask := w.caller(w.keyA).stream
					if number%2 == 0 {
						ask = w.caller(w.keyA).completion
					}
					got := ask(number%len(w.d.InstanceProcesses), model, prompt, 40)
					mu.Lock()
					defer mu.Unlock()
					if !got.ok() {
						failed++
						t.Logf("%s: %s", prompt, got)
						return
					}
					answered++
					if err := checkText(got, model, prompt, 40); err != nil {
						t.Errorf("%s: %v", prompt, err)
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
			if tt.during != nil {
				tt.during(w)
			}
			callers.Wait()
			t.Logf("%d answered, %d failed", answered, failed)
			if answered == 0 {
				t.Error("no request was answered, although every request can be resumed")
			}
		})
	}
}

// One request crashes every engine that runs it, and its caller retries it repeatedly. Each crash also fails the
// other requests in the same batch, and the restarted engine, which is cold, does not answer for a while.
func TestPoisonousRequest(t *testing.T) {
	w := newWorld(t, options{engines: 3})
	model := deployment.AdapterA + "@2"
	w.warm(w.keyA, model)
	stop := make(chan struct{})
	var restarters sync.WaitGroup
	for number := range w.d.EngineProcesses {
		w.engineFaults(number, engine.Faults{CrashOn: "poison"})
		restarters.Go(func() { w.keepEngineRunning(number, stop) })
	}
	var otherCallers sync.WaitGroup
	for number := range 4 {
		otherCallers.Go(func() { w.sendInnocent(number, model) })
	}
	for round := range 8 {
		got := w.caller(w.keyA).withTimeout(20*time.Second).completion(round%3, model, "a poison pill", 5)
		t.Logf("send %d: %s", round, got)
	}
	otherCallers.Wait()
	close(stop)
	restarters.Wait()
	crashes := 0
	for _, record := range w.engineRecords() {
		for _, request := range record.Requests {
			if strings.Contains(request.Prompt, "poison") && request.Outcome == engine.OutcomeCrashed {
				crashes++
			}
		}
	}
	t.Logf("8 sends of one poison request crashed %d engines", crashes)
	if crashes > 3 {
		t.Errorf("one request caused %d crashes, want at most 3", crashes)
	}
}

// keepEngineRunning restarts an engine with the same fault whenever it has crashed.
func (w *world) keepEngineRunning(number int, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-w.d.EngineProcesses[number].Ended():
			if err := w.d.EngineProcesses[number].Start(w.ctx); err != nil {
				w.t.Error(err)
				return
			}
			if err := w.d.Control(w.ctx, w.d.EngineProcesses[number], "faults", engine.Faults{CrashOn: "poison"}); err != nil {
				w.t.Error(err)
				return
			}
		}
	}
}

// sendInnocent sends requests that share batches with the poison request. Each must eventually be answered.
func (w *world) sendInnocent(number int, model string) {
	using := w.caller(w.keyA)
	for round := range 10 {
		prompt := fmt.Sprintf("innocent %d %d", number, round)
		begun := time.Now()
		for {
			got := using.stream((number+round)%len(w.d.InstanceProcesses), model, prompt, 30)
			if got.ok() {
				if err := checkText(got, model, prompt, 30); err != nil {
					w.t.Error(err)
				}
				break
			}
			if time.Since(begun) > settleLimit {
				w.t.Errorf("%s was not answered: %s", prompt, got)
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
}
