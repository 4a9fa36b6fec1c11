package integration

// Each caller gets the whole answer to its own request, or a refusal; never a part of it and never
// another's. One request that crashes engines does not take them all down.

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"lacewingrock.example/lacewingrock/internal/standin/deployment"
	"lacewingrock.example/lacewingrock/internal/standin/engine"
)

// Many members ask at once while the engines answer with another request's identity, late, cut their
// streams in the middle, or lose their connections without a word. A member who is given another's
// feeding plan, or half of one, has no way to tell.
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
					came := ask(number%len(w.d.InstanceProcesses), model, prompt, 40)
					mu.Lock()
					defer mu.Unlock()
					if !came.ok() {
						failed++
						t.Logf("%s: %s", prompt, came)
						return
					}
					answered++
					if err := checkText(came, model, prompt, 40); err != nil {
						t.Errorf("%s: %v", prompt, err)
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
			if tt.during != nil {
				tt.during(w)
			}
			callers.Wait()
			t.Logf("%d answered, %d not", answered, failed)
			if answered == 0 {
				t.Error("nothing was answered, though every request can be resumed")
			}
		})
	}
}

// One request makes every engine that runs it crash, and its caller sends it again and again. Each
// crash takes the innocent requests of the same batch along, and a cold engine after it answers
// nobody for a while.
func TestPoisonousRequest(t *testing.T) {
	w := newWorld(t, options{engines: 3})
	model := deployment.AdapterA + "@2"
	w.warm(w.keyA, model)
	stop := make(chan struct{})
	var keepers sync.WaitGroup
	for number := range w.d.EngineProcesses {
		w.engineFaults(number, engine.Faults{CrashOn: "poison"})
		keepers.Go(func() { w.keepRunning(number, stop) })
	}
	var innocents sync.WaitGroup
	for number := range 4 {
		innocents.Go(func() { w.innocent(number, model) })
	}
	for round := range 8 {
		came := w.caller(w.keyA).within(20*time.Second).completion(round%3, model, "a poison pill", 5)
		t.Logf("send %d: %s", round, came)
	}
	innocents.Wait()
	close(stop)
	keepers.Wait()
	crashes := 0
	for _, record := range w.engineRecords() {
		for _, request := range record.Requests {
			if strings.Contains(request.Prompt, "poison") && request.Outcome == engine.OutcomeCrashed {
				crashes++
			}
		}
	}
	t.Logf("8 sends of one poisonous request crashed %d engines", crashes)
	if crashes > 3 {
		t.Errorf("%d crashes by one request", crashes)
	}
}

// keepRunning starts an engine again whenever it has crashed, with the same fault.
func (w *world) keepRunning(number int, stop <-chan struct{}) {
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

// innocent sends requests that share batches with the poisonous one. Each must be answered in the end.
func (w *world) innocent(number int, model string) {
	using := w.caller(w.keyA)
	for round := range 10 {
		prompt := fmt.Sprintf("innocent %d %d", number, round)
		begun := time.Now()
		for {
			came := using.stream((number+round)%len(w.d.InstanceProcesses), model, prompt, 30)
			if came.ok() {
				if err := checkText(came, model, prompt, 30); err != nil {
					w.t.Error(err)
				}
				break
			}
			if time.Since(begun) > settleLimit {
				w.t.Errorf("%s is not answered: %s", prompt, came)
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
}
