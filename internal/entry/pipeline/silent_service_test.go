package pipeline_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/catalog/resource"
	"lacewingrock.example/lacewingrock/internal/placement/retry"
	"lacewingrock.example/lacewingrock/internal/platform/store"
	"lacewingrock.example/lacewingrock/internal/upstream/service"
)

// Guards against a call that is lost because its service is slow: it may be repeated, its address is left, and the next one
// is no better.
func TestSilentServiceIsKeptUntilAnotherAddressResponds(t *testing.T) {
	const (
		slow  = 12 * time.Second // longer than the limit after which another address is tried
		never = time.Hour
	)
	for _, c := range []struct {
		name string
		// responds: when the first call responds, the second, and so on, each at an address of its own.
		responds []time.Duration
		refuses  bool // one more address refuses connections
		expected string
	}{
		{"the only address", []time.Duration{slow}, false, "0"},
		{"the other one is silent for good", []time.Duration{slow, never}, false, "0"},
		{"the other one cannot be reached", []time.Duration{slow}, true, "0"},
		{"the other one responds", []time.Duration{never, 0}, false, "1"},
		{"the other one responds as the first would have", []time.Duration{slow, time.Second}, false, "1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var calls atomic.Int32
			over := make(chan struct{})
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				number := calls.Add(1) - 1
				select {
				case <-time.After(c.responds[number]):
				case <-over:
				case <-r.Context().Done():
				}
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				_, _ = io.WriteString(w, string('0'+rune(number)))
			})
			declared := resource.Service{Meta: meta("paint"), Repeatable: []string{"GET"}}
			for range c.responds {
				server := httptest.NewServer(handler)
				defer server.Close()
				declared.Addresses = append(declared.Addresses, server.Listener.Addr().String())
			}
			defer close(over)
			if c.refuses {
				closed, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				is.NoErr(closed.Close())
				declared.Addresses = append(declared.Addresses, closed.Addr().String())
			}
			f := newFixture(t, &store.Memory{}, 2)
			f.pipeline.Services = &service.Client{}
			f.declare(declared)
			response, err := f.callService(t.Context(), http.MethodGet, "")
			is.NoErr(err)
			is.Equal(string(response.Body), c.expected)
			is.Equal(int(calls.Load()), len(c.responds))
		})
	}
}

// Guards against a slow call that is given up because no other address may be tried, and against one that waits for ever at
// a service that is lost.
func TestSilentServiceWithoutAnotherAddress(t *testing.T) {
	for _, c := range []struct {
		name       string
		takes      time.Duration
		hasRetries bool
		calls      int
		elapsed    time.Duration
		refused    bool
	}{
		{"no retry is left", 12 * time.Second, false, 1, 12 * time.Second, false},
		{"no address responds", time.Hour, true, 2, 30 * time.Second, true},
		{"no address responds, and no retry is left", time.Hour, false, 1, 30 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInBubble(t, 2, func(f *fixture) {
				is := is.New(f.T)
				f.do = func(ctx context.Context, call service.Call) service.Outcome {
					select {
					case <-time.After(c.takes):
						return service.Ran{}
					case <-time.After(call.ResponseTimeout):
						return service.Unknown{Err: context.DeadlineExceeded}
					case <-ctx.Done():
						return service.Unknown{Err: ctx.Err()}
					}
				}
				if !c.hasRetries {
					f.pipeline.State.Retries = retry.New(0, 0)
				}
				startedAt := time.Now()
				_, err := f.callService(f.context, http.MethodGet, "")
				is.Equal(time.Since(startedAt), c.elapsed)
				f.mutex.Lock()
				calls := f.calls
				f.mutex.Unlock()
				is.Equal(calls, c.calls)
				if c.refused {
					checkRefused(f.T, err, refusal.ServiceUnavailable, refusal.Unknown)
					return
				}
				is.NoErr(err)
			})
		})
	}
}
