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
	stepsPerCheck = 120
	retention     = time.Hour
	usableFor     = 10 * time.Second
	runLimit      = 10 * time.Minute
)

var pauses = []time.Duration{2 * time.Second, 15 * time.Second, runLimit + time.Minute, retention}

var keys = []string{"k1", "k2", "k3", "k4", "k5", "k6"}

// A caller sends a crew payment, hears nothing and sends it again, perhaps to another instance, perhaps
// with another amount. Meanwhile instances die between any two steps, holders of a claim are paused
// for longer than claims are kept, the store goes down, loses answers and carries out writes late. If
// the payment ran twice the crew would be paid twice and nobody could take it back; if a refusal left
// the key blocked, the crew would never be paid. The oracle is the plain record of what ran and when.
func TestCallsRunAtMostOnce(t *testing.T) {
	steps, runs, replays, claims := 0, 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		fault := bubble.Check(t, func() string {
			w := newWorld(rapid.Uint64().Draw(rt, "seed"))
			defer w.stop()
			w.deadly = rapid.Bool().Draw(rt, "deadly")
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

type decided struct {
	call     *call
	decision claim.Decision
	err      error
}

type world struct {
	store     *faultyStore
	decided   chan decided
	instances []*instance
	open      []*call
	deadly    bool
	fault     string
	lastRun   map[string]time.Time
	answers   map[string]string // of runs, by key and body
	orphaned  map[string]bool   // keys whose holder died or whose outcome is unknown
	runs      int
	replays   int
	claims    int
}

func newWorld(seed uint64) *world {
	w := &world{
		store: newFaultyStore(seed), lastRun: map[string]time.Time{},
		answers: map[string]string{}, orphaned: map[string]bool{},
		decided: make(chan decided, 2*stepsPerCheck),
	}
	for range 3 {
		w.instances = append(w.instances, w.start())
	}
	return w
}

func (w *world) start() *instance {
	ctx, cancel := context.WithCancel(context.Background())
	c := &client{faultyStore: w.store}
	i := &instance{client: c, cancel: cancel}
	i.registry = &claim.Registry{Store: c, Retention: retention, UsableFor: usableFor, RunLimit: runLimit}
	go func() { _ = i.registry.Run(ctx) }()
	return i
}

func (w *world) stop() {
	w.store.set(true, false)
	for _, i := range w.instances {
		i.cancel()
	}
	time.Sleep(time.Minute)
}

func (w *world) step(rt *rapid.T) {
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
		if w.deadly {
			w.kill(i)
		}
	}
	w.hear()
}

// call sends one call to an instance; its claim is decided while other steps go on.
func (w *world) call(rt *rapid.T, i *instance) {
	c := &call{instance: i}
	c.key = rapid.SampledFrom(keys).Draw(rt, "key")
	c.body = rapid.SampledFrom([]string{"ten", "ten", "twenty"}).Draw(rt, "body")
	patience := rapid.SampledFrom([]time.Duration{10 * time.Millisecond, 5 * time.Second}).Draw(rt, "patience")
	go w.claim(c, patience)
}

func (w *world) claim(c *call, patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	decision, err := c.instance.registry.Claim(ctx, "crew", c.key, c.body)
	w.decided <- decided{call: c, decision: decision, err: err}
}

// hear takes in what was decided so far.
func (w *world) hear() {
	synctest.Wait()
	for len(w.decided) > 0 {
		d := <-w.decided
		if d.err != nil {
			w.fault = d.err.Error()
		}
		w.note(d.call, d.decision)
	}
}

func (w *world) note(c *call, decision claim.Decision) {
	switch decision := decision.(type) {
	case claim.Proceed:
		w.claims++
		c.ticket = decision.Ticket
		if !c.instance.client.dead.Load() {
			w.open = append(w.open, c)
		}
	case claim.Replay:
		w.replays++
		if want := w.answers[c.key+c.body]; want == "" || want != string(decision.Response.Body) {
			w.fault = fmt.Sprintf("replay of %q where %q was answered", decision.Response.Body, want)
		}
	}
}

func (w *world) take(rt *rapid.T) *call {
	if len(w.open) == 0 {
		return nil
	}
	return rapid.SampledFrom(w.open).Draw(rt, "call")
}

// dispatch sends a claimed call to its upstream, which runs it or says that it did not.
func (w *world) dispatch(rt *rapid.T) {
	c := w.take(rt)
	if c == nil || c.ticket.Dispatch() != nil {
		return
	}
	c.sent = true
	c.ran = rapid.IntRange(0, 3).Draw(rt, "ran") > 0
	if !c.ran {
		return
	}
	w.runs++
	if last, found := w.lastRun[c.key]; found && time.Since(last) < retention-usableFor {
		w.fault = fmt.Sprintf("%s ran twice, %v apart", c.key, time.Since(last))
	}
	w.lastRun[c.key] = time.Now()
}

func (w *world) finish(rt *rapid.T) {
	c := w.take(rt)
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
		w.answers[c.key+c.body] = fmt.Sprint("booked ", w.runs)
		_ = c.ticket.Ran(ctx, claim.Response{Status: 200, Body: []byte(w.answers[c.key+c.body])})
	default:
		w.orphaned[c.key] = true
		_ = c.ticket.Unknown(ctx)
	}
}

func (w *world) remove(gone *call) {
	kept := w.open[:0:0]
	for _, c := range w.open {
		if c != gone {
			kept = append(kept, c)
		}
	}
	w.open = kept
}

// kill ends an instance at once: nothing more reaches the store, and its calls are dispatched no more.
func (w *world) kill(i int) {
	dead := w.instances[i]
	dead.client.dead.Store(true)
	dead.cancel()
	for _, key := range keys {
		w.orphaned[key] = true // what it had under way cannot be told from outside
	}
	for _, c := range w.open {
		if c.instance == dead {
			w.remove(c)
		}
	}
	w.instances[i] = w.start()
}

// checkNothingBlocked: once all is well again and no call is open, a key under which nothing ran can be
// claimed, unless its holder died.
func (w *world) checkNothingBlocked(rt *rapid.T) {
	w.store.set(false, false)
	time.Sleep(30 * time.Second)
	w.hear()
	for len(w.open) > 0 {
		w.finish(rt)
	}
	time.Sleep(30 * time.Second)
	for _, key := range keys {
		if _, ran := w.lastRun[key]; ran || w.orphaned[key] {
			continue
		}
		decision, err := w.instances[0].registry.Claim(context.Background(), "crew", key, "ten")
		if _, proceed := decision.(claim.Proceed); err != nil || !proceed {
			w.fault = fmt.Sprintf("%s never ran, and a new call got %#v, %v", key, decision, err)
		}
	}
}
