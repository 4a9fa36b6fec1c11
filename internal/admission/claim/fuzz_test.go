package claim_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lacewingrock.example/lacewingrock/internal/admission/claim"
	"lacewingrock.example/lacewingrock/internal/proof/bubble"
)

const (
	stepsPerCheck  = 120
	retention      = time.Hour
	dispatchWindow = 10 * time.Second
	maxRunTime     = 10 * time.Minute
)

var pauses = []time.Duration{2 * time.Second, 15 * time.Second, maxRunTime + time.Minute, retention}

var keys = []string{"k1", "k2", "k3", "k4", "k5", "k6"}

// Guards against a payment that runs twice, which cannot be undone, and a key that stays blocked after a refusal, so
// that the payment never runs. A caller sends a payment, gets no response and retries, possibly at another instance
// or with another amount. Meanwhile instances die between any two steps, claim holders are paused for longer than
// claims are kept, and the store is down, loses responses and applies writes late. The oracle records what ran and
// when.
func TestCallsRunAtMostOnce(t *testing.T) {
	steps, runs, replays, claims := 0, 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		fault := bubble.Check(t, func() string {
			w := newSimulation(rapid.Uint64().Draw(rt, "seed"))
			defer w.stop()
			w.killsInstances = rapid.Bool().Draw(rt, "deadly")
			for range stepsPerCheck {
				w.step(rt)
				steps++
				if w.fault != "" {
					return w.fault
				}
			}
			w.checkNothingBlocked(rt)
			runs, replays, claims = runs+w.runs, replays+w.replays, claims+w.claims
			return w.fault
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
	t.Logf("%d steps, %d claims, %d runs, %d replays, 0 double runs", steps, claims, runs, replays)
}

// ---------------------------------------------------------------------------------------------

type instance struct {
	registry *claim.Registry
	client   *client
	cancel   context.CancelFunc
}

type call struct {
	key, body string
	instance  *instance
	ticket    *claim.Ticket
	ran       bool
	sent      bool
}

type claimResult struct {
	call     *call
	decision claim.Decision
	err      error
}

type simulation struct {
	store          *faultyStore
	decisions      chan claimResult
	instances      []*instance
	openCalls      []*call
	killsInstances bool
	fault          string
	lastRun        map[string]time.Time
	responses      map[string]string // of runs, by key and body
	orphaned       map[string]bool   // keys whose holder died or whose outcome is unknown
	runs           int
	replays        int
	claims         int
}

func newSimulation(seed uint64) *simulation {
	w := &simulation{
		store: newFaultyStore(seed), lastRun: map[string]time.Time{},
		responses: map[string]string{}, orphaned: map[string]bool{},
		decisions: make(chan claimResult, 2*stepsPerCheck),
	}
	for range 3 {
		w.instances = append(w.instances, w.start())
	}
	return w
}

func (w *simulation) start() *instance {
	ctx, cancel := context.WithCancel(context.Background())
	c := &client{faultyStore: w.store}
	i := &instance{client: c, cancel: cancel}
	i.registry = &claim.Registry{Store: c, Retention: retention, DispatchWindow: dispatchWindow, MaxRunTime: maxRunTime}
	go func() { _ = i.registry.Run(ctx) }()
	return i
}

func (w *simulation) stop() {
	w.store.set(true, false)
	for _, i := range w.instances {
		i.cancel()
	}
	time.Sleep(time.Minute)
}

func (w *simulation) step(rt *rapid.T) {
	i := rapid.IntRange(0, len(w.instances)-1).Draw(rt, "instance")
	switch action := rapid.IntRange(0, 19).Draw(rt, "action"); action {
	case 0, 1, 2, 3, 4, 5:
		w.call(rt, w.instances[i])
	case 6, 7, 8, 9:
		w.dispatch(rt)
	case 10, 11, 12:
		w.finish(rt)
	case 13, 14:
		time.Sleep(time.Duration(rapid.IntRange(1, 300).Draw(rt, "millis")) * time.Millisecond)
	case 15:
		time.Sleep(rapid.SampledFrom(pauses).Draw(rt, "pause"))
	case 16, 17:
		w.store.set(false, rapid.Bool().Draw(rt, "lossy"))
	case 18:
		w.store.set(true, false)
	case 19:
		if w.killsInstances {
			w.kill(i)
		}
	}
	w.collectDecisions()
}

// call sends one call to an instance. Its claim is decided concurrently with later steps.
func (w *simulation) call(rt *rapid.T, i *instance) {
	c := &call{instance: i}
	c.key = rapid.SampledFrom(keys).Draw(rt, "key")
	c.body = rapid.SampledFrom([]string{"ten", "ten", "twenty"}).Draw(rt, "body")
	timeout := rapid.SampledFrom([]time.Duration{10 * time.Millisecond, 5 * time.Second}).Draw(rt, "timeout")
	go w.claim(c, timeout)
}

func (w *simulation) claim(c *call, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	decision, err := c.instance.registry.Claim(ctx, "crew", c.key, c.body)
	w.decisions <- claimResult{call: c, decision: decision, err: err}
}

// collectDecisions processes the decisions made so far.
func (w *simulation) collectDecisions() {
	synctest.Wait()
	for len(w.decisions) > 0 {
		d := <-w.decisions
		if d.err != nil {
			w.fault = d.err.Error()
		}
		w.recordDecision(d.call, d.decision)
	}
}

func (w *simulation) recordDecision(c *call, decision claim.Decision) {
	switch decision := decision.(type) {
	case claim.Proceed:
		w.claims++
		c.ticket = decision.Ticket
		if !c.instance.client.dead.Load() {
			w.openCalls = append(w.openCalls, c)
		}
	case claim.Replay:
		w.replays++
		if want := w.responses[c.key+c.body]; want == "" || want != string(decision.Response.Body) {
			w.fault = fmt.Sprintf("replayed %q, expected %q", decision.Response.Body, want)
		}
	}
}

func (w *simulation) pickCall(rt *rapid.T) *call {
	if len(w.openCalls) == 0 {
		return nil
	}
	return rapid.SampledFrom(w.openCalls).Draw(rt, "call")
}

// dispatch sends a claimed call to its upstream, which runs it or reports that it did not.
func (w *simulation) dispatch(rt *rapid.T) {
	c := w.pickCall(rt)
	if c == nil || c.ticket.Dispatch() != nil {
		return
	}
	c.sent = true
	c.ran = rapid.IntRange(0, 3).Draw(rt, "ran") > 0
	if !c.ran {
		return
	}
	w.runs++
	if last, found := w.lastRun[c.key]; found && time.Since(last) < retention-dispatchWindow {
		w.fault = fmt.Sprintf("%s ran twice, %v apart", c.key, time.Since(last))
	}
	w.lastRun[c.key] = time.Now()
}

func (w *simulation) finish(rt *rapid.T) {
	c := w.pickCall(rt)
	if c == nil {
		return
	}
	w.remove(c)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	switch {
	case !c.sent || !c.ran:
		_ = c.ticket.NotRun(ctx)
	case rapid.Bool().Draw(rt, "answered"):
		w.responses[c.key+c.body] = fmt.Sprint("booked ", w.runs)
		_ = c.ticket.Ran(ctx, claim.Response{Status: 200, Body: []byte(w.responses[c.key+c.body])})
	default:
		w.orphaned[c.key] = true
		_ = c.ticket.Unknown(ctx)
	}
}

func (w *simulation) remove(gone *call) {
	kept := w.openCalls[:0:0]
	for _, c := range w.openCalls {
		if c != gone {
			kept = append(kept, c)
		}
	}
	w.openCalls = kept
}

// kill ends an instance at once: it can no longer reach the store, and its calls are not dispatched.
func (w *simulation) kill(i int) {
	dead := w.instances[i]
	dead.client.dead.Store(true)
	dead.cancel()
	for _, key := range keys {
		w.orphaned[key] = true // whether its pending calls ran is unknown
	}
	for _, c := range w.openCalls {
		if c.instance == dead {
			w.remove(c)
		}
	}
	w.instances[i] = w.start()
}

// checkNothingBlocked checks that, with all faults ended and no call open, a key under which nothing ran can be
// claimed, unless its holder died.
func (w *simulation) checkNothingBlocked(rt *rapid.T) {
	w.store.set(false, false)
	time.Sleep(30 * time.Second)
	w.collectDecisions()
	for len(w.openCalls) > 0 {
		w.finish(rt)
	}
	time.Sleep(30 * time.Second)
	for _, key := range keys {
		if _, ran := w.lastRun[key]; ran || w.orphaned[key] {
			continue
		}
		decision, err := w.instances[0].registry.Claim(context.Background(), "crew", key, "ten")
		if _, proceed := decision.(claim.Proceed); err != nil || !proceed {
			w.fault = fmt.Sprintf("%s never ran, but a new call got %#v, %v", key, decision, err)
		}
	}
}
