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

// hookedStore is a store that calls hook once, after the next successful write.
type hookedStore struct {
	*store.Memory
	hook func()
}

func (s *hookedStore) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (store.Entry, error) {
	entry, err := s.Memory.CompareAndSwap(ctx, key, expected, value)
	if event := s.hook; err == nil && event != nil {
		s.hook = nil
		event()
	}
	return entry, err
}

// A caller cancels a payment and repeats it at another instance, first while the original call still runs and then
// after it. The payment must run once, and the caller must get the response of that run.
func TestCallRepeatedAtAnotherInstanceRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &store.Memory{}
		first, second := newFixture(t, kv, 2), newFixture(t, kv, 2)
		runPayment := first.do
		first.do = func(ctx context.Context, call service.Call) service.Outcome {
			time.Sleep(2 * time.Second)
			if ctx.Err() != nil {
				return service.Unknown{Err: ctx.Err()}
			}
			return runPayment(ctx, call)
		}
		cancelledCtx, cancel := context.WithCancel(t.Context())
		go func() { _, _ = first.callService(cancelledCtx, http.MethodPost, "payment-1") }()
		time.Sleep(time.Second)
		cancel()
		_, err := second.callService(t.Context(), http.MethodPost, "payment-1")
		checkRefused(t, err, refusal.InProgress, refusal.Unknown)
		time.Sleep(5 * time.Second)
		response, err := second.callService(t.Context(), http.MethodPost, "payment-1")
		is := is.New(t)
		is.NoErr(err)
		is.Equal(string(response.Body), "booked")
		is.Equal(first.calls+second.calls, 1)
	})
}

// The store is down, so it cannot be determined whether an order has already run. The order must be refused, and must
// run when it is repeated after the outage.
func TestCallDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &store.Memory{}
		f := newFixture(t, kv, 2)
		kv.SetOutage(true)
		_, err := f.callService(t.Context(), http.MethodPost, "order-1")
		checkRefused(t, err, refusal.StoreUnavailable, refusal.NotRun)
		is := is.New(t)
		is.Equal(f.calls, 0)
		kv.SetOutage(false)
		time.Sleep(time.Second)
		_, err = f.callService(t.Context(), http.MethodPost, "order-1")
		is.NoErr(err)
		is.Equal(f.calls, 1)
	})
}

// The request or the response of the write that claims an order is lost. In both cases the order must run exactly once.
func TestLostClaimRequestOrResponse(t *testing.T) {
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

// A service cannot be reached, so no byte of an order is sent. The refusal must state "not run", and the caller may
// repeat the order.
func TestUnreachableService(t *testing.T) {
	runInBubble(t, 2, func(f *fixture) {
		available := f.do
		f.do = func(context.Context, service.Call) service.Outcome { return service.NotRun{} }
		_, err := f.callService(f.context, http.MethodPost, "order-1")
		checkRefused(f.T, err, refusal.ServiceUnavailable, refusal.NotRun)
		f.do = available
		_, err = f.callService(f.context, http.MethodPost, "order-1")
		is.New(f.T).NoErr(err)
	})
}

// A service accepts an order and does not respond. The outcome is unknown, so the order must never be sent again, even
// if the caller repeats it.
func TestUnresponsiveService(t *testing.T) {
	runInBubble(t, 2, func(f *fixture) {
		f.do = func(context.Context, service.Call) service.Outcome { return service.Unknown{} }
		for range 3 {
			_, err := f.callService(f.context, http.MethodPost, "order-1")
			checkRefused(f.T, err, refusal.OutcomeUnknown, refusal.Unknown)
			time.Sleep(time.Minute)
		}
		is.New(f.T).Equal(f.calls, 1)
	})
}

// An instance is paused immediately after it claimed an order, for longer than the freshness bound. The order must not
// be sent when the instance resumes, because the caller's key may have been withdrawn since.
func TestPausedBetweenClaimAndDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &hookedStore{Memory: &store.Memory{}}
		f := newFixture(t, kv, 2)
		// The claim times out after three seconds, so the pause is slightly shorter, and starts when the last
		// confirmation is half a second old.
		kv.hook = func() {
			f.paused.Store(true)
			time.Sleep(2900 * time.Millisecond)
		}
		time.Sleep(450 * time.Millisecond)
		_, err := f.callService(t.Context(), http.MethodPost, "order-1")
		checkRefused(t, err, refusal.NotFresh, refusal.NotRun)
		is.New(t).Equal(f.calls, 0)
	})
}

// A key is withdrawn while one of its orders is being claimed. The order must not be sent.
func TestKeyWithdrawnWhileClaiming(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &hookedStore{Memory: &store.Memory{}}
		f := newFixture(t, kv, 2)
		kv.hook = f.withdraw
		_, err := f.callService(t.Context(), http.MethodPost, "order-1")
		checkRefused(t, err, refusal.KeyWithdrawn, refusal.NotRun)
		is.New(t).Equal(f.calls, 0)
	})
}

// A repeatable call is sent to one address without a response, and the instance becomes stale before the next attempt.
// The first address may have run the call, so the refusal must not state "not run".
func TestRefusalAfterRepeatableCallThatMayHaveRun(t *testing.T) {
	runInBubble(t, 2, func(f *fixture) {
		f.do = func(context.Context, service.Call) service.Outcome {
			f.pause()
			return service.Unknown{}
		}
		_, err := f.callService(f.context, http.MethodGet, "")
		checkRefused(f.T, err, refusal.NotFresh, refusal.Unknown)
		is.New(f.T).Equal(f.calls, 1)
	})
}

// A key is withdrawn while one of its repeatable calls waits for a slow service. The response must not be sent to
// a caller whose key is no longer in force.
func TestKeyWithdrawnDuringRepeatableCall(t *testing.T) {
	runInBubble(t, 2, func(f *fixture) {
		f.do = func(ctx context.Context, _ service.Call) service.Outcome {
			select {
			case <-ctx.Done():
				return service.Unknown{Err: ctx.Err()}
			case <-time.After(10 * time.Second):
				return service.Ran{}
			}
		}
		startedAt := time.Now()
		time.AfterFunc(time.Second, f.withdraw)
		_, err := f.callService(f.context, http.MethodGet, "")
		checkRefused(f.T, err, refusal.KeyWithdrawn, refusal.Unknown)
		is.New(f.T).Equal(time.Since(startedAt), time.Second)
	})
}

// One of a service's two machines is leaving. All calls must go to the other. Once that is leaving too, calls must be
// refused and not run: a call cut when its machine stops would have an unknown outcome.
func TestLeavingServiceGetsNoCalls(t *testing.T) {
	runInBubble(t, 2, func(f *fixture) {
		is := is.New(f.T)
		f.leavingAddresses = map[string]bool{serviceAddress: true}
		for range 20 {
			_, err := f.callService(f.context, http.MethodGet, "")
			is.NoErr(err)
		}
		_, err := f.callService(f.context, http.MethodPost, "order-1")
		is.NoErr(err)
		is.True(!slices.Contains(f.calledAddresses, serviceAddress))
		f.leavingAddresses[otherServiceAddress] = true
		for method, key := range map[string]string{http.MethodGet: "", http.MethodPost: "order-2"} {
			_, err := f.callService(f.context, method, key)
			checkRefused(f.T, err, refusal.ServiceUnavailable, refusal.NotRun)
		}
		is.Equal(f.calls, 21)
	})
}
