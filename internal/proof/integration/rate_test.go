package integration

// No workspace exceeds its rate limit and burst over all instances together, and few requests within the limit are
// refused. The oracle sums the tokens that the engines processed, not those that the instances counted.

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
	// requestedTokens is the number of tokens that each request asks for.
	requestedTokens = 30
	// promptTokens is the length of sendLoad's prompts in tokens, as the engines count them.
	promptTokens = 3
)

// A workspace sends several times its rate limit to all instances at once, while instances are killed and restarted,
// are frozen, or lose the store. Whatever the local state of each instance, all together must not admit more than
// the limit.
func TestRateOverAllInstances(t *testing.T) {
	for _, tt := range []struct {
		name    string
		disturb func(w *world)
		// least is the minimum share of the rate limit that must be admitted despite the fault.
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
			w.requireNoError(w.d.InstanceProcesses[2].Kill())
			time.Sleep(4 * time.Second)
			w.storeFaults(kv.Faults{})
			w.requireNoError(w.d.InstanceProcesses[2].Start(w.ctx))
			time.Sleep(4 * time.Second)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, options{rate: measuredRate, burst: measuredBurst})
			w.warm(w.keyA, measuredModel)
			begun := time.Now()
			stop := make(chan struct{})
			var callers sync.WaitGroup
			seen := &outcomeCounts{}
			for number := range 6 {
				callers.Go(func() { w.sendLoad(number, stop, seen) })
			}
			tt.disturb(w)
			close(stop)
			callers.Wait()
			t.Logf("outcomes: %s", seen)
			w.checkRateLimit(t, begun, tt.least)
		})
	}
}

func (w *world) sendLoad(number int, stop <-chan struct{}, seen *outcomeCounts) {
	using := w.caller(w.measuredKey).withTimeout(20 * time.Second)
	for round := 0; ; round++ {
		select {
		case <-stop:
			return
		default:
		}
		got := using.completion((number+round)%len(w.d.InstanceProcesses), measuredModel,
			fmt.Sprintf("hammer %d %d", number, round), requestedTokens)
		seen.add(got.outcome())
		if !got.ok() {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// checkRateLimit sums the tokens of sendLoad's requests, prompt and answer as the engines counted them, in the order
// in which the requests started, and compares the sum with burst + rate * time since begun, when the workspace's
// token buckets can be at most full. At least the given share of rate * time must have been admitted.
func (w *world) checkRateLimit(t *testing.T, begun time.Time, least float64) {
	t.Helper()
	const rate, burst = float64(measuredRate), float64(measuredBurst)
	total, worst := 0.0, -burst
	requests := 0
	for _, request := range sortedByStart(w.executedRequests()) {
		if request.StartedAt.Before(begun) || !isLoadPrompt(request.Prompt) {
			continue
		}
		requests++
		total += float64(request.Tokens + promptTokens)
		allowed := burst + rate*request.StartedAt.Sub(begun).Seconds()
		worst = max(worst, total-allowed)
	}
	elapsed := time.Since(begun).Seconds()
	t.Logf("%d requests, %.0f tokens in %.1f s; limit at the end %.0f; smallest distance below the limit %.0f",
		requests, total, elapsed, burst+rate*elapsed, -worst)
	if worst > 0 {
		t.Errorf("%.0f tokens above the limit of burst %.0f and rate %.0f", worst, burst, rate)
	}
	if requests == 0 {
		t.Error("no request ran, so the test checked nothing")
	}
	if total < least*rate*elapsed {
		t.Errorf("%.0f tokens were admitted, of %.0f allowed by the rate alone", total, rate*elapsed)
	}
}

// The load balancer sends all of a workspace's requests to one instance of three. That instance has a third of the
// rate limit. It must borrow the rest from the other instances, or the workspace is refused requests within its
// limit.
func TestSkewedBalancer(t *testing.T) {
	w := newWorld(t, options{rate: measuredRate, burst: measuredBurst})
	w.warm(w.keyA, measuredModel)
	// A joining member's share starts empty and fills at the rate.
	time.Sleep(time.Duration(measuredBurst/measuredRate) * time.Second)
	using := w.caller(w.measuredKey)
	var refused atomic.Int64
	sent := 0
	// A request costs its prompt too; a third of the rate in generated tokens leaves room for that.
	interval := 3 * requestedTokens * time.Second / measuredRate
	for begun := time.Now(); time.Since(begun) < 10*time.Second; time.Sleep(interval) {
		sent++
		if got := using.completion(0, measuredModel, fmt.Sprintf("skew %d", sent), requestedTokens); !got.ok() {
			refused.Add(1)
			t.Logf("request %d: %s", sent, got)
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

func isLoadPrompt(prompt string) bool { return strings.HasPrefix(prompt, "hammer ") }
