package integration

// A planned stop interrupts no request, and a leaving upstream gets no new requests after a few seconds.

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"lacewingrock.example/lacewingrock/internal/standin/deployment"
	"lacewingrock.example/lacewingrock/internal/standin/kv"
	"lacewingrock.example/lacewingrock/internal/standin/list"
)

// longTokens makes an answer that streams for longer than a stopping instance continues to serve in any case. A
// shorter answer would end by itself and test nothing.
const longTokens = 1600

// An instance gets the signal to stop while a long answer streams through it, in one case during a store outage. The
// caller must get the complete answer, and the instance must exit with code 0.
func TestPlannedStopCutsNoStream(t *testing.T) {
	for _, tt := range []struct {
		name   string
		outage bool
	}{
		{name: "nothing else fails"},
		{name: "the store is out", outage: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, options{})
			model := deployment.AdapterA + "@2"
			w.warm(w.keyA, model)
			if tt.outage {
				w.storeFaults(kv.Faults{Outage: true})
			}
			var got reply
			var stream sync.WaitGroup
			stream.Go(func() { got = w.caller(w.keyA).stream(0, model, "long", longTokens) })
			w.eventually("the stream runs", settleLimit, func() bool { return len(w.executedWithPrompt("long")) == 1 })
			w.requireNoError(w.d.InstanceProcesses[0].Stop(w.ctx))
			stream.Wait()
			if !got.ok() {
				t.Fatalf("the stream was cut: %s", got)
			}
			if err := checkText(got, model, "long", longTokens); err != nil {
				t.Error(err)
			}
			if code := w.d.InstanceProcesses[0].ExitCode(); code != 0 {
				t.Errorf("exit code %d", code)
			}
		})
	}
}

// All instances are restarted one after the other while callers keep their connections open and continue to send
// requests. The callers go to the next instance when one is draining. No request that an instance accepted may be
// interrupted.
func TestRollingReplacement(t *testing.T) {
	w := newWorld(t, options{})
	model := deployment.AdapterA + "@2"
	w.warm(w.keyA, model)
	stop := make(chan struct{})
	seen := &outcomeCounts{}
	var callers sync.WaitGroup
	for number := range 4 {
		callers.Go(func() { w.sendDuringReplacement(number, stop, seen) })
	}
	for _, process := range w.d.InstanceProcesses {
		w.requireNoError(process.Stop(w.ctx))
		w.requireNoError(process.Start(w.ctx))
		w.requireNoError(w.d.AwaitKeys(w.ctx, w.keyA))
	}
	close(stop)
	callers.Wait()
	t.Logf("outcomes: %s", seen)
	if cut := seen.count("cut"); cut > 0 {
		t.Errorf("%d requests were cut", cut)
	}
	if seen.count("answered") == 0 {
		t.Error("no request was answered")
	}
}

// sendDuringReplacement sends requests to the instances in turn. A broken answer counts as cut if the engines'
// records show that the request ran.
func (w *world) sendDuringReplacement(number int, stop <-chan struct{}, seen *outcomeCounts) {
	using := w.caller(w.keyA)
	for round := 0; ; round++ {
		select {
		case <-stop:
			return
		default:
		}
		prompt := fmt.Sprintf("roll %d %d", number, round)
		got := using.stream((number+round)%len(w.d.InstanceProcesses), deployment.AdapterA+"@2", prompt, 20)
		switch {
		case got.ok():
			seen.add("answered")
			if err := checkText(got, deployment.AdapterA+"@2", prompt, 20); err != nil {
				w.t.Error(err)
			}
		case got.err != nil && len(w.executedWithPrompt(prompt)) > 0:
			seen.add("cut")
			w.t.Logf("cut: %s", got)
		default:
			seen.add(got.outcome())
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// -----------------------------------------------------------------------------------------------

// leavingObservation is how long requests are sent after an upstream was marked as leaving. The limit for "a few
// seconds" is half of it.
const leavingObservation = 16 * time.Second

// An upstream is about to stop. The platform's list marks it as leaving, seconds late, or only the operators'
// resource does, while the list is unreachable. Requests sent to it later are lost when it stops.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for _, tt := range []struct {
		name  string
		leave func(w *world)
	}{
		{name: "the list says so, late", leave: func(w *world) {
			w.requireNoError(w.d.Control(w.ctx, w.d.List, "faults", list.Faults{LagMillis: 2000}))
			members := w.d.Members()
			for i := range members {
				members[i].Leaving = members[i].Name == "engine-1"
			}
			w.requireNoError(w.d.Control(w.ctx, w.d.List, "members", members))
		}},
		{name: "only the operators say so", leave: func(w *world) {
			w.requireNoError(w.d.Control(w.ctx, w.d.List, "faults", list.Faults{Unreachable: true}))
			w.apply(w.leavingEngineJSON(0))
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, options{})
			w.warm(w.keyA, "bid-estimates@1", "bid-estimates@2", "site-summaries@1")
			tt.leave(w)
			marked := time.Now()
			using := w.caller(w.keyA)
			seen := &outcomeCounts{}
			sent := 0
			for time.Since(marked) < leavingObservation {
				sent++
				model := []string{"bid-estimates@1", "bid-estimates@2", "site-summaries@1"}[sent%3]
				seen.add(using.completion(sent%len(w.d.InstanceProcesses), model, fmt.Sprintf("leave %d", sent), 2).outcome())
				time.Sleep(30 * time.Millisecond)
			}
			if len(w.engineRecords()[0].Requests) == 0 {
				t.Error("the leaving engine never got a request, so the test checked nothing")
			}
			last := w.lastRequestStart(0, "leave ", marked).Sub(marked)
			t.Logf("outcomes: %s; the leaving engine's last new request came after %.1f s", seen, last.Seconds())
			if last > leavingObservation/2 {
				t.Errorf("a new request reached the leaving engine %s after it was marked as leaving", last)
			}
			if seen.count("answered")*2 < sent {
				t.Errorf("fewer than half of %d requests were answered by the remaining engine", sent)
			}
		})
	}
}

// leavingEngineJSON returns an engine's resource as declared, marked as leaving.
func (w *world) leavingEngineJSON(number int) string {
	return fmt.Sprintf(`{"Kind":"Upstream","Name":"%s","Address":"%s","DataCentre":"kingston","BaseModel":"base",`+
		`"Slots":%d,"Batch":%d,"ChecksFencing":true,"Leaving":true}`,
		w.d.EngineProcesses[number].Name, w.engineProxy(number).address(), w.d.EngineSlots, w.d.EngineBatch)
}

// lastRequestStart returns when an engine started its last request whose prompt has the prefix, or since if there is none.
func (w *world) lastRequestStart(number int, prefix string, since time.Time) time.Time {
	last := since
	for _, request := range w.engineRecords()[number].Requests {
		if strings.HasPrefix(request.Prompt, prefix) && request.StartedAt.After(last) {
			last = request.StartedAt
		}
	}
	return last
}
