package pipeline_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/platform/store"
	"lacewingrock.example/lacewingrock/internal/upstream/service"
)

// afterSwap is a store that does something after the next write that took effect.
type afterSwap struct {
	*store.Memory
	happens func()
}

func (s *afterSwap) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (store.Entry, error) {
	entry, err := s.Memory.CompareAndSwap(ctx, key, expected, value)
	if happens := s.happens; err == nil && happens != nil {
		s.happens = nil
		happens()
	}
	return entry, err
}

// A crew payment is sent, its caller gives up and sends it again to another instance, while the first is
// still being paid and then after it. It must be paid once, and the caller must get that payment's answer.
func TestCallerGoesAwayAndCallsAnotherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &store.Memory{}
		first, second := newFixture(t, kv, 2), newFixture(t, kv, 2)
		paid := first.do
		first.do = func(ctx context.Context, call service.Call) service.Outcome {
			time.Sleep(2 * time.Second)
			if ctx.Err() != nil {
				return service.Unknown{Err: ctx.Err()}
			}
			return paid(ctx, call)
		}
		impatient, cancel := context.WithCancel(t.Context())
		go func() { _, _ = first.callService(impatient, http.MethodPost, "payment-1") }()
		time.Sleep(time.Second)
		cancel()
		_, err := second.callService(t.Context(), http.MethodPost, "payment-1")
		refused(t, err, refusal.InProgress, refusal.Unknown)
		time.Sleep(5 * time.Second)
		answer, err := second.callService(t.Context(), http.MethodPost, "payment-1")
		is := is.New(t)
		is.NoErr(err)
		is.Equal(string(answer.Body), "booked")
		is.Equal(first.calls+second.calls, 1)
	})
}

// The store is down, so that nobody can know whether an order was booked before. It is refused, and after
// the outage the same order is booked.
func TestCallDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &store.Memory{}
		f := newFixture(t, kv, 2)
		kv.SetOutage(true)
		_, err := f.callService(t.Context(), http.MethodPost, "order-1")
		refused(t, err, refusal.StoreUnavailable, refusal.NotRun)
		is := is.New(t)
		is.Equal(f.calls, 0)
		kv.SetOutage(false)
		time.Sleep(time.Second)
		_, err = f.callService(t.Context(), http.MethodPost, "order-1")
		is.NoErr(err)
		is.Equal(f.calls, 1)
	})
}

// The store's answer to a claim is lost, whether the write took effect or not. The order must be booked,
// and once.
func TestClaimWhoseAnswerIsLost(t *testing.T) {
	for _, lose := range []func(kv *store.Memory){
		func(kv *store.Memory) { kv.LoseResponses(1) },
		func(kv *store.Memory) { kv.LoseRequests(1) },
	} {
		synctest.Test(t, func(t *testing.T) {
			kv := &store.Memory{}
			first, second := newFixture(t, kv, 2), newFixture(t, kv, 2)
			lose(kv)
			is := is.New(t)
			for _, f := range []*fixture{first, second} {
				_, err := f.callService(t.Context(), http.MethodPost, "order-1")
				is.NoErr(err)
			}
			is.Equal(first.calls+second.calls, 1)
		})
	}
}

// No byte of an order left the instance, as the service could not be reached. The caller is told "not
// run", and may send it again.
func TestServiceThatCannotBeReached(t *testing.T) {
	inBubble(t, 2, func(f *fixture) {
		booked := f.do
		f.do = func(context.Context, service.Call) service.Outcome { return service.NotRun{} }
		_, err := f.callService(f.context, http.MethodPost, "order-1")
		refused(f.T, err, refusal.ServiceUnavailable, refusal.NotRun)
		f.do = booked
		_, err = f.callService(f.context, http.MethodPost, "order-1")
		is.New(f.T).NoErr(err)
	})
}

// A service took an order and its connection went silent. Nobody can tell whether it was booked, so it
// must never be sent again, however often the caller asks.
func TestServiceThatDoesNotAnswer(t *testing.T) {
	inBubble(t, 2, func(f *fixture) {
		f.do = func(context.Context, service.Call) service.Outcome { return service.Unknown{} }
		for range 3 {
			_, err := f.callService(f.context, http.MethodPost, "order-1")
			refused(f.T, err, refusal.OutcomeUnknown, refusal.Unknown)
			time.Sleep(time.Minute)
		}
		is.New(f.T).Equal(f.calls, 1)
	})
}

// An instance is paused right after it claimed an order, for longer than its knowledge may be used. The
// order must not go out when it wakes: its caller's key may have been withdrawn meanwhile.
func TestPausedBetweenClaimAndDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &afterSwap{Memory: &store.Memory{}}
		f := newFixture(t, kv, 2)
		// The claim itself is given up after three seconds, so the pause is just shorter, and begins when the
		// newest confirmation is half a second old.
		kv.happens = func() {
			f.paused.Store(true)
			time.Sleep(2900 * time.Millisecond)
		}
		time.Sleep(450 * time.Millisecond)
		_, err := f.callService(t.Context(), http.MethodPost, "order-1")
		refused(t, err, refusal.NotFresh, refusal.NotRun)
		is.New(t).Equal(f.calls, 0)
	})
}

// A key is withdrawn while one of its orders is being claimed.
func TestKeyWithdrawnWhileClaiming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &afterSwap{Memory: &store.Memory{}}
		f := newFixture(t, kv, 2)
		kv.happens = f.withdraw
		_, err := f.callService(t.Context(), http.MethodPost, "order-1")
		refused(t, err, refusal.KeyWithdrawn, refusal.NotRun)
		is.New(t).Equal(f.calls, 0)
	})
}

// A look-up went out to one address and was not answered; before the next try the instance lost touch.
// The first address may have run it, so that "not run" would not be true.
func TestRefusedAfterALookUpThatMayHaveRun(t *testing.T) {
	inBubble(t, 2, func(f *fixture) {
		f.do = func(context.Context, service.Call) service.Outcome {
			f.pause()
			return service.Unknown{}
		}
		_, err := f.callService(f.context, http.MethodGet, "")
		refused(f.T, err, refusal.NotFresh, refusal.Unknown)
		is.New(f.T).Equal(f.calls, 1)
	})
}

// A key is withdrawn while one of its look-ups waits for a slow service. It must not be answered to whoever
// holds the key now.
func TestKeyWithdrawnDuringALookUp(t *testing.T) {
	inBubble(t, 2, func(f *fixture) {
		f.do = func(ctx context.Context, _ service.Call) service.Outcome {
			select {
			case <-ctx.Done():
				return service.Unknown{Err: ctx.Err()}
			case <-time.After(10 * time.Second):
				return service.Ran{}
			}
		}
		began := time.Now()
		time.AfterFunc(time.Second, f.withdraw)
		_, err := f.callService(f.context, http.MethodGet, "")
		refused(f.T, err, refusal.KeyWithdrawn, refusal.Unknown)
		is.New(f.T).Equal(time.Since(began), time.Second)
	})
}

// One of a service's machines is leaving. Calls go to the other; once that leaves as well they are refused
// and not run, for one that was cut when the machine went would have an outcome that nobody knows.
func TestLeavingServiceGetsNoCalls(t *testing.T) {
	inBubble(t, 2, func(f *fixture) {
		is := is.New(f.T)
		f.leaving = map[string]bool{serviceAt: true}
		for range 20 {
			_, err := f.callService(f.context, http.MethodGet, "")
			is.NoErr(err)
		}
		_, err := f.callService(f.context, http.MethodPost, "order-1")
		is.NoErr(err)
		is.True(!slices.Contains(f.called, serviceAt))
		f.leaving[otherServiceAt] = true
		for method, key := range map[string]string{http.MethodGet: "", http.MethodPost: "order-2"} {
			_, err := f.callService(f.context, method, key)
			refused(f.T, err, refusal.ServiceUnavailable, refusal.NotRun)
		}
		is.Equal(f.calls, 21)
	})
}
