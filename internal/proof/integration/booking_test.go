package integration

// A call that is not repeatable runs at most once, and a call reported as "not-run" has not run.

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"lacewingrock.example/lacewingrock/internal/standin/kv"
	"lacewingrock.example/lacewingrock/internal/standin/service"
)

// A booking fails at some point, its caller gets no answer and retries it with the same idempotency key at any
// instance. Whatever the fault, the order must not be booked twice. If the first answer said "not-run", the order
// must not have been booked by then.
func TestBookingRunsAtMostOnce(t *testing.T) {
	w := newWorld(t, options{})
	w.eventually("a booking is answered", settleLimit, func() bool {
		return w.caller(w.keyA).book(0, "first", "{}").ok()
	})
	for _, tt := range []struct {
		name string
		fail func()
		mend func()
	}{
		{name: "nothing fails"},
		{
			name: "connection cut before it ran",
			fail: func() { w.serviceFaults(service.Faults{CutBeforeRun: 1}) },
		},
		{
			name: "connection cut after it ran",
			fail: func() { w.serviceFaults(service.Faults{CutBeforeAnswer: 1}) },
		},
		{
			name: "connections silent",
			fail: func() { w.serviceProxy().silenceOpen() },
		},
		{
			name: "service gone",
			fail: func() { w.serviceProxy().refuse() },
			mend: func() { w.serviceProxy().accept() },
		},
		{
			name: "the store's answer to the claim is lost",
			fail: func() { w.storeFaults(kv.Faults{LoseAnswers: 1}) },
		},
		{
			name: "the store's answers to several writes are lost",
			fail: func() { w.storeFaults(kv.Faults{LoseAnswers: 3}) },
		},
		{
			name: "the store is out",
			fail: func() { w.storeFaults(kv.Faults{Outage: true}) },
			mend: func() { w.storeFaults(kv.Faults{}) },
		},
		{
			name: "reads of the store are stale",
			fail: func() { w.storeFaults(kv.Faults{StaleReads: true}) },
			mend: func() { w.storeFaults(kv.Faults{}) },
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if tt.fail != nil {
				tt.fail()
			}
			key := idempotencyKey("order " + tt.name)
			first := w.caller(w.keyA).withTimeout(15*time.Second).book(0, key, `{"Litres":40}`)
			t.Logf("first send: %s", first)
			if first.runHeader() == "not-run" && len(w.executedBookings(key)) > 0 {
				t.Errorf("reported as not-run, but ran: %s", first)
			}
			if first.ok() && len(w.executedBookings(key)) != 1 {
				t.Errorf("answered, but ran %d times", len(w.executedBookings(key)))
			}
			w.resendEverywhere(t, key, `{"Litres":40}`)
			if tt.mend != nil {
				tt.mend()
			}
			w.resendEverywhere(t, key, `{"Litres":40}`)
			w.serviceFaults(service.Faults{})
		})
	}
	w.checkNoUpstreamSawKeys(w.keyA)
}

// idempotencyKey derives an idempotency key from a test's name. Keys must not contain spaces.
func idempotencyKey(name string) string { return strings.ReplaceAll(name, " ", "-") }

// resendEverywhere retries a booking at every instance, concurrently.
func (w *world) resendEverywhere(t *testing.T, key, body string) {
	t.Helper()
	var sends sync.WaitGroup
	for instance := range w.d.InstanceProcesses {
		if !w.d.InstanceProcesses[instance].Running() {
			continue
		}
		sends.Go(func() {
			got := w.caller(w.keyA).withTimeout(15*time.Second).book(instance, key, body)
			t.Logf("retried at %s: %s", w.d.InstanceProcesses[instance].Name, got)
		})
	}
	sends.Wait()
	if ran := w.executedBookings(key); len(ran) > 1 {
		t.Errorf("%q ran %d times", key, len(ran))
	}
}

// The connection between an instance and the service breaks after a varying number of bytes, in either
// direction: in the middle of the request's header, its body, or the answer. The instance cannot know how far the
// service got. It may report "not-run" only if the call certainly did not run.
func TestBookingCutAtEachPoint(t *testing.T) {
	w := newWorld(t, options{})
	w.eventually("a booking is answered", settleLimit, func() bool {
		return w.caller(w.keyA).book(0, "first", "{}").ok()
	})
	runHeaders := make(map[string]int)
	for _, direction := range []string{"upstream", "downstream"} {
		for bytes := 0; bytes < 600; bytes += 23 {
			w.serviceProxy().cutAfter(direction, bytes)
			key := fmt.Sprintf("cut-%s-%d", direction, bytes)
			first := w.caller(w.keyA).withTimeout(15*time.Second).book(bytes%3, key, "{}")
			ran := len(w.executedBookings(key))
			runHeaders[first.runHeader()]++
			if ran > 1 || (ran > 0 && first.runHeader() == "not-run") {
				t.Errorf("cut after %d bytes %s: ran %d times, answered %s", bytes, direction, ran, first)
			}
			w.serviceProxy().endCut()
			again := w.caller(w.keyA).withTimeout(15*time.Second).book((bytes+1)%3, key, "{}")
			if ran := len(w.executedBookings(key)); ran > 1 {
				t.Errorf("cut after %d bytes %s and retried: ran %d times, answered %s", bytes, direction, ran, again)
			}
		}
	}
	t.Logf("X-Run of the first sends: %v", runHeaders)
	if runHeaders["ran"] == 0 || runHeaders["unknown"] == 0 {
		t.Error("the outcomes \"ran\" and \"unknown\" did not both occur, so the test did not cover both")
	}
}

// An instance is killed between forwarding a booking and returning its answer, or is frozen there for a long time
// and then resumes. The caller, which got no answer, retries the booking at another instance. That instance cannot
// know whether the booking ran and must not run it.
func TestBookingWhenItsInstanceFails(t *testing.T) {
	w := newWorld(t, options{})
	w.eventually("a booking is answered", settleLimit, func() bool {
		return w.caller(w.keyA).book(0, "first", "{}").ok()
	})
	for _, tt := range []struct {
		name  string
		after time.Duration
		fail  func() error
		mend  func() error
	}{
		{
			name: "killed while the service works", after: 500 * time.Millisecond,
			fail: w.d.InstanceProcesses[0].Kill,
			mend: func() error { return w.d.InstanceProcesses[0].Start(w.ctx) },
		},
		{
			name: "killed at once", after: 2 * time.Millisecond,
			fail: w.d.InstanceProcesses[0].Kill,
			mend: func() error { return w.d.InstanceProcesses[0].Start(w.ctx) },
		},
		{
			name: "killed a little later", after: 8 * time.Millisecond,
			fail: w.d.InstanceProcesses[0].Kill,
			mend: func() error { return w.d.InstanceProcesses[0].Start(w.ctx) },
		},
		{
			name: "frozen and woken", after: 3 * time.Millisecond,
			fail: w.d.InstanceProcesses[0].Freeze,
			mend: w.d.InstanceProcesses[0].Unfreeze,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w.serviceFaults(service.Faults{DelayMillis: 2000})
			key := idempotencyKey("order " + tt.name)
			var first reply
			var send sync.WaitGroup
			send.Go(func() { first = w.caller(w.keyA).withTimeout(20*time.Second).book(0, key, "{}") })
			time.Sleep(tt.after)
			w.requireNoError(tt.fail())
			for _, instance := range []int{1, 2, 1} {
				got := w.caller(w.keyA).withTimeout(15*time.Second).book(instance, key, "{}")
				t.Logf("retried at %s: %s", w.d.InstanceProcesses[instance].Name, got)
			}
			time.Sleep(2 * time.Second)
			w.requireNoError(tt.mend())
			send.Wait()
			t.Logf("first send: %s", first)
			w.serviceFaults(service.Faults{})
			w.eventually("the failed instance answers again", settleLimit, func() bool {
				return w.caller(w.keyA).book(0, idempotencyKey("probe "+time.Now().Format(time.RFC3339Nano)), "{}").ok()
			})
			w.resendEverywhere(t, key, "{}")
		})
	}
}

// Two callers use one idempotency key for different orders, because of a fault in their program. Running the second
// order, or answering it with the outcome of the first, would silently lose an order. It must be refused.
func TestOneIdempotencyKeyForTwoOrders(t *testing.T) {
	w := newWorld(t, options{})
	using := w.caller(w.keyA)
	w.eventually("a booking is answered", settleLimit, func() bool { return using.book(0, "first", "{}").ok() })
	if got := using.book(0, "shared", `{"Litres":40}`); !got.ok() {
		t.Fatalf("first order: %s", got)
	}
	got := using.book(1, "shared", `{"Litres":80}`)
	if got.ok() || got.status >= 500 {
		t.Errorf("another order with the same idempotency key: %s", got)
	}
	if ran := len(w.executedBookings("shared")); ran != 1 {
		t.Errorf("ran %d times", ran)
	}
	other := w.caller(w.keyB).book(2, "shared", `{"Pallets":2}`)
	if !other.ok() {
		t.Errorf("another workspace's order with the same idempotency key: %s", other)
	}
}

// A booking without an idempotency key cannot be distinguished from its own retry. It must be refused.
func TestBookingNeedsAnIdempotencyKey(t *testing.T) {
	w := newWorld(t, options{})
	got := w.caller(w.keyA).send(0, "POST", "/services/bookings/orders", "{}", nil)
	if got.status != 400 || got.runHeader() != "not-run" {
		t.Errorf("booking without an idempotency key: %s", got)
	}
	if ran := w.executedBookings(""); len(ran) > 0 {
		t.Errorf("ran %d times", len(ran))
	}
}
