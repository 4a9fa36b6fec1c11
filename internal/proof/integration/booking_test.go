package integration

// A call that may not be repeated runs at most once, and "not run" is true.

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"lacewingrock.example/lacewingrock/internal/standin/kv"
	"lacewingrock.example/lacewingrock/internal/standin/service"
)

// A member books a paint order; something fails on the way, the answer does not come, and the member
// sends it again with the same idempotency key to whichever instance answers. Whatever failed, the
// order must not be booked twice, and where the first answer said "not run" it must not have been
// booked at all.
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
			key := keyOf("order " + tt.name)
			first := w.caller(w.keyA).within(15*time.Second).book(0, key, `{"Litres":40}`)
			t.Logf("first send: %s", first)
			if first.run() == "not-run" && len(w.bookings(key)) > 0 {
				t.Errorf("said to be not run, and ran: %s", first)
			}
			if first.ok() && len(w.bookings(key)) != 1 {
				t.Errorf("answered, and ran %d times", len(w.bookings(key)))
			}
			w.sendAgain(t, key, `{"Litres":40}`)
			if tt.mend != nil {
				tt.mend()
			}
			w.sendAgain(t, key, `{"Litres":40}`)
			w.serviceFaults(service.Faults{})
		})
	}
	w.checkNoUpstreamSawKeys(w.keyA)
}

// keyOf makes an idempotency key of a test's name; keys hold no spaces.
func keyOf(name string) string { return strings.ReplaceAll(name, " ", "-") }

// sendAgain sends a booking once more to every instance, all at the same time.
func (w *world) sendAgain(t *testing.T, key, body string) {
	t.Helper()
	var sends sync.WaitGroup
	for instance := range w.d.InstanceProcesses {
		if !w.d.InstanceProcesses[instance].Running() {
			continue
		}
		sends.Go(func() {
			came := w.caller(w.keyA).within(15*time.Second).book(instance, key, body)
			t.Logf("sent again to %s: %s", w.d.InstanceProcesses[instance].Name, came)
		})
	}
	sends.Wait()
	if ran := w.bookings(key); len(ran) > 1 {
		t.Errorf("%q ran %d times", key, len(ran))
	}
}

// The connection between an instance and the service breaks after any number of bytes, in either
// direction: in the middle of the request's head, its body, or the answer. The instance cannot see
// how far the service got. It may say "not run" only when it certainly did not.
func TestBookingCutAtEachPoint(t *testing.T) {
	w := newWorld(t, options{})
	w.eventually("a booking is answered", settleLimit, func() bool {
		return w.caller(w.keyA).book(0, "first", "{}").ok()
	})
	told := make(map[string]int)
	for _, direction := range []string{"upstream", "downstream"} {
		for bytes := 0; bytes < 600; bytes += 23 {
			w.serviceProxy().cutAfter(direction, bytes)
			key := fmt.Sprintf("cut-%s-%d", direction, bytes)
			first := w.caller(w.keyA).within(15*time.Second).book(bytes%3, key, "{}")
			ran := len(w.bookings(key))
			told[first.run()]++
			if ran > 1 || (ran > 0 && first.run() == "not-run") {
				t.Errorf("cut after %d bytes %s: ran %d times, told %s", bytes, direction, ran, first)
			}
			w.serviceProxy().mend()
			again := w.caller(w.keyA).within(15*time.Second).book((bytes+1)%3, key, "{}")
			if ran := len(w.bookings(key)); ran > 1 {
				t.Errorf("cut after %d bytes %s and sent again: ran %d times, told %s", bytes, direction, ran, again)
			}
		}
	}
	t.Logf("what the first sends were told: %v", told)
	if told["ran"] == 0 || told["unknown"] == 0 {
		t.Error("not both outcomes were met, so less was proved than is said")
	}
}

// An instance dies between sending a booking on and passing back its answer, or stands still there
// for a long time and then goes on. The member, left without an answer, sends the booking to another
// instance, which cannot know whether it ran and must not run it.
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
			key := keyOf("order " + tt.name)
			var first reply
			var send sync.WaitGroup
			send.Go(func() { first = w.caller(w.keyA).within(20*time.Second).book(0, key, "{}") })
			time.Sleep(tt.after)
			w.must(tt.fail())
			for _, instance := range []int{1, 2, 1} {
				came := w.caller(w.keyA).within(15*time.Second).book(instance, key, "{}")
				t.Logf("sent again to %s: %s", w.d.InstanceProcesses[instance].Name, came)
			}
			time.Sleep(2 * time.Second)
			w.must(tt.mend())
			send.Wait()
			t.Logf("first send: %s", first)
			w.serviceFaults(service.Faults{})
			w.eventually("the failed instance answers again", settleLimit, func() bool {
				return w.caller(w.keyA).book(0, keyOf("probe "+time.Now().Format(time.RFC3339Nano)), "{}").ok()
			})
			w.sendAgain(t, key, "{}")
		})
	}
}

// Two members use one idempotency key for different orders, by a fault in their program. Running the
// second, or answering it with the first's outcome, would lose an order without a word; it is refused.
func TestOneIdempotencyKeyForTwoOrders(t *testing.T) {
	w := newWorld(t, options{})
	using := w.caller(w.keyA)
	w.eventually("a booking is answered", settleLimit, func() bool { return using.book(0, "first", "{}").ok() })
	if came := using.book(0, "shared", `{"Litres":40}`); !came.ok() {
		t.Fatalf("first order: %s", came)
	}
	came := using.book(1, "shared", `{"Litres":80}`)
	if came.ok() || came.status >= 500 {
		t.Errorf("another order with the same idempotency key: %s", came)
	}
	if ran := len(w.bookings("shared")); ran != 1 {
		t.Errorf("ran %d times", ran)
	}
	other := w.caller(w.keyB).book(2, "shared", `{"Pallets":2}`)
	if !other.ok() {
		t.Errorf("another workspace's order with the same idempotency key: %s", other)
	}
}

// A booking without an idempotency key cannot be told from a second send of itself. It is refused.
func TestBookingNeedsAnIdempotencyKey(t *testing.T) {
	w := newWorld(t, options{})
	came := w.caller(w.keyA).send(0, "POST", "/services/bookings/orders", "{}", nil)
	if came.status != 400 || came.run() != "not-run" {
		t.Errorf("booking without an idempotency key: %s", came)
	}
	if ran := w.bookings(""); len(ran) > 0 {
		t.Errorf("ran %d times", len(ran))
	}
}
