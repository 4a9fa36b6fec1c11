package integration

// A planned stop cuts no request, and a leaving upstream gets no new work after a few seconds.

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

// longTokens makes an answer that streams for longer than a stopping instance goes on serving anyway;
// a shorter one ends by itself and proves nothing.
const longTokens = 1600

// An instance is told to stop while a long answer streams through it, in one case while the store is
// out. The caller must get the answer to its end, and the instance must end well.
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
			var came reply
			var stream sync.WaitGroup
			stream.Go(func() { came = w.caller(w.keyA).stream(0, model, "long", longTokens) })
			w.eventually("the stream runs", settleLimit, func() bool { return len(w.ranWith("long")) == 1 })
			w.must(w.d.InstanceProcesses[0].Stop(w.ctx))
			stream.Wait()
			if !came.ok() {
				t.Fatalf("the stream was cut: %s", came)
			}
			if err := checkText(came, model, "long", longTokens); err != nil {
				t.Error(err)
			}
			if code := w.d.InstanceProcesses[0].ExitCode(); code != 0 {
				t.Errorf("exit code %d", code)
			}
		})
	}
}

// All instances are replaced one after the other while members keep their connections open and go on
// sending. The members' clients see an instance that is stopping as gone and go to the next; no
// request that an instance took may break off.
func TestRollingReplacement(t *testing.T) {
	w := newWorld(t, options{})
	model := deployment.AdapterA + "@2"
	w.warm(w.keyA, model)
	stop := make(chan struct{})
	seen := &tally{}
	var callers sync.WaitGroup
	for number := range 4 {
		callers.Go(func() { w.roll(number, stop, seen) })
	}
	for _, process := range w.d.InstanceProcesses {
		w.must(process.Stop(w.ctx))
		w.must(process.Start(w.ctx))
		w.must(w.d.AwaitKeys(w.ctx, w.keyA))
	}
	close(stop)
	callers.Wait()
	t.Logf("outcomes: %s", seen)
	if cut := seen.count("cut"); cut > 0 {
		t.Errorf("%d requests were cut", cut)
	}
	if seen.count("answered") == 0 {
		t.Error("nothing was answered")
	}
}

// roll sends requests, each to the next instance when one is not there or not ready. A broken answer
// counts as cut when the engines' records show that the request had run.
func (w *world) roll(number int, stop <-chan struct{}, seen *tally) {
	using := w.caller(w.keyA)
	for round := 0; ; round++ {
		select {
		case <-stop:
			return
		default:
		}
		prompt := fmt.Sprintf("roll %d %d", number, round)
		came := using.stream((number+round)%len(w.d.InstanceProcesses), deployment.AdapterA+"@2", prompt, 20)
		switch {
		case came.ok():
			seen.add("answered")
			if err := checkText(came, deployment.AdapterA+"@2", prompt, 20); err != nil {
				w.t.Error(err)
			}
		case came.err != nil && len(w.ranWith(prompt)) > 0:
			seen.add("cut")
			w.t.Logf("cut: %s", came)
		default:
			seen.add(came.outcome())
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// -----------------------------------------------------------------------------------------------

// leavingWatched is how long requests are sent after an upstream was said to leave. "A few seconds" is
// held to half of it.
const leavingWatched = 16 * time.Second

// An upstream is about to stop. The platform's list says so, seconds late; or only the operators'
// resource does, with the list unreachable. Work sent there later is lost when it goes.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for _, tt := range []struct {
		name  string
		leave func(w *world)
	}{
		{name: "the list says so, late", leave: func(w *world) {
			w.must(w.d.Control(w.ctx, w.d.List, "faults", list.Faults{LagMillis: 2000}))
			members := w.d.Members()
			for i := range members {
				members[i].Leaving = members[i].Name == "engine-1"
			}
			w.must(w.d.Control(w.ctx, w.d.List, "members", members))
		}},
		{name: "only the operators say so", leave: func(w *world) {
			w.must(w.d.Control(w.ctx, w.d.List, "faults", list.Faults{Unreachable: true}))
			w.apply(w.leavingEngine(0))
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, options{})
			w.warm(w.keyA, "bid-estimates@1", "bid-estimates@2", "site-summaries@1")
			tt.leave(w)
			told := time.Now()
			using := w.caller(w.keyA)
			seen := &tally{}
			sent := 0
			for time.Since(told) < leavingWatched {
				sent++
				model := []string{"bid-estimates@1", "bid-estimates@2", "site-summaries@1"}[sent%3]
				seen.add(using.completion(sent%len(w.d.InstanceProcesses), model, fmt.Sprintf("leave %d", sent), 2).outcome())
				time.Sleep(30 * time.Millisecond)
			}
			if len(w.engineRecords()[0].Requests) == 0 {
				t.Error("the leaving engine never had work, so nothing was proved")
			}
			last := w.lastWork(0, "leave ", told).Sub(told)
			t.Logf("outcomes: %s; the leaving engine's last new request came after %.1f s", seen, last.Seconds())
			if last > leavingWatched/2 {
				t.Errorf("new work reached the leaving engine %s after it was said to leave", last)
			}
			if seen.count("answered")*2 < sent {
				t.Errorf("fewer than half of %d were answered by the engine that stays", sent)
			}
		})
	}
}

// leavingEngine is an engine's resource as declared, marked as leaving.
func (w *world) leavingEngine(number int) string {
	return fmt.Sprintf(`{"Kind":"Upstream","Name":"%s","Address":"%s","DataCentre":"kingston","BaseModel":"base",`+
		`"Slots":%d,"Batch":%d,"ChecksFencing":true,"Leaving":true}`,
		w.d.EngineProcesses[number].Name, w.engineProxy(number).address(), w.d.EngineSlots, w.d.EngineBatch)
}

// lastWork is when an engine began its last request whose prompt has a prefix, or since if it had none.
func (w *world) lastWork(number int, prefix string, since time.Time) time.Time {
	last := since
	for _, request := range w.engineRecords()[number].Requests {
		if strings.HasPrefix(request.Prompt, prefix) && request.StartedAt.After(last) {
			last = request.StartedAt
		}
	}
	return last
}
