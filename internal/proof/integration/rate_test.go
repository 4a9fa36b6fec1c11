package integration

// No workspace gets more than its rate and burst over all instances together, and few requests within
// the rate are refused. The oracle adds up what the engines generated, not what the instances counted.

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lacewingrock.example/lacewingrock/internal/standin/engine"
	"lacewingrock.example/lacewingrock/internal/standin/kv"
)

const (
	measuredRate  = 120
	measuredBurst = 360
	measuredModel = "open@1"
	// askedTokens is what each request asks for.
	askedTokens = 30
	// hammerWords is the length of hammer's prompts in tokens, as the engines count them.
	hammerWords = 3
)

// A workspace sends several times its rate to all instances at once, while instances die and come
// back, stand still, or lose the store. Whatever the instances each think, all together must not let
// more through than was bought.
func TestRateOverAllInstances(t *testing.T) {
	for _, tt := range []struct {
		name    string
		disturb func(w *world)
		// least is the part of what was bought that must get through all the same.
		least float64
	}{
		{name: "nothing fails", least: 0.9, disturb: func(*world) { time.Sleep(8 * time.Second) }},
		{name: "instances killed in turn", disturb: func(w *world) { w.eachInstance(w.killAndStart) }},
		{name: "instances frozen in turn", disturb: func(w *world) { w.eachInstance(w.freezeAndWake) }},
		{name: "store out", least: 0.9, disturb: func(w *world) {
			w.storeFaults(kv.Faults{Outage: true})
			time.Sleep(10 * time.Second)
			w.storeFaults(kv.Faults{})
			time.Sleep(2 * time.Second)
		}},
		{name: "store out and an instance replaced", disturb: func(w *world) {
			w.storeFaults(kv.Faults{Outage: true})
			w.must(w.d.InstanceProcesses[2].Kill())
			time.Sleep(4 * time.Second)
			w.storeFaults(kv.Faults{})
			w.must(w.d.InstanceProcesses[2].Start(w.ctx))
			time.Sleep(4 * time.Second)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, options{rate: measuredRate, burst: measuredBurst})
			w.warm(w.keyA, measuredModel)
			begun := time.Now()
			stop := make(chan struct{})
			var callers sync.WaitGroup
			seen := &tally{}
			for number := range 6 {
				callers.Go(func() { w.hammer(number, stop, seen) })
			}
			tt.disturb(w)
			close(stop)
			callers.Wait()
			t.Logf("outcomes: %s", seen)
			w.checkLine(t, begun, tt.least)
		})
	}
}

func (w *world) hammer(number int, stop <-chan struct{}, seen *tally) {
	using := w.caller(w.measured).within(20 * time.Second)
	for round := 0; ; round++ {
		select {
		case <-stop:
			return
		default:
		}
		came := using.completion((number+round)%len(w.d.InstanceProcesses), measuredModel,
			fmt.Sprintf("hammer %d %d", number, round), askedTokens)
		seen.add(came.outcome())
		if !came.ok() {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// checkLine adds up the tokens of hammer's requests, prompt and answer as the engines counted them, by
// the time at which each request began, and holds them against burst + rate * time since the workspace's
// buckets were full at the latest. Of what the rate alone bought in that time, the given part must have
// got through.
func (w *world) checkLine(t *testing.T, begun time.Time, least float64) {
	t.Helper()
	const rate, burst = float64(measuredRate), float64(measuredBurst)
	total, worst := 0.0, -burst
	requests := 0
	for _, request := range sortedByStart(w.ran()) {
		if request.StartedAt.Before(begun) || !isHammer(request.Prompt) {
			continue
		}
		requests++
		total += float64(request.Tokens + hammerWords)
		allowed := burst + rate*request.StartedAt.Sub(begun).Seconds()
		worst = max(worst, total-allowed)
	}
	elapsed := time.Since(begun).Seconds()
	t.Logf("%d requests, %.0f tokens in %.1f s; the line ends at %.0f; nearest to it %.0f below",
		requests, total, elapsed, burst+rate*elapsed, -worst)
	if worst > 0 {
		t.Errorf("%.0f tokens above the line of burst %.0f and rate %.0f", worst, burst, rate)
	}
	if requests == 0 {
		t.Error("nothing ran, so nothing was proved")
	}
	if total < least*rate*elapsed {
		t.Errorf("%.0f tokens got through, of %.0f bought by the rate alone", total, rate*elapsed)
	}
}

// The balancer sends all of a workspace's requests to one instance of three. That instance has a third
// of the rate; the rest lies with the others and must be fetched from them, or the workspace is refused
// what it bought.
func TestSkewedBalancer(t *testing.T) {
	w := newWorld(t, options{rate: measuredRate, burst: measuredBurst})
	w.warm(w.keyA, measuredModel)
	// A joining member's share starts empty and fills at the rate.
	time.Sleep(time.Duration(measuredBurst/measuredRate) * time.Second)
	using := w.caller(w.measured)
	var refused atomic.Int64
	sent := 0
	// A request costs its prompt too; a third of the rate in generated tokens leaves room for that.
	interval := 3 * askedTokens * time.Second / measuredRate
	for begun := time.Now(); time.Since(begun) < 10*time.Second; time.Sleep(interval) {
		sent++
		if came := using.completion(0, measuredModel, fmt.Sprintf("skew %d", sent), askedTokens); !came.ok() {
			refused.Add(1)
			t.Logf("request %d: %s", sent, came)
		}
	}
	t.Logf("%d of %d requests within the rate were refused", refused.Load(), sent)
	if int(refused.Load())*10 > sent {
		t.Errorf("%d of %d requests within the rate were refused", refused.Load(), sent)
	}
}

func sortedByStart(requests []engine.Request) []engine.Request {
	sort.Slice(requests, func(i, j int) bool { return requests[i].StartedAt.Before(requests[j].StartedAt) })
	return requests
}

func isHammer(prompt string) bool { return strings.HasPrefix(prompt, "hammer ") }
