package store_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/platform/store"
	"lacewingrock.example/lacewingrock/internal/standin/kv"
)

// service starts the stand-in of the key-value service.
func service(t *testing.T) *kv.Server {
	t.Helper()
	s := &kv.Server{}
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s
}

// TestStoresAgree runs one sequence of calls against the client before the stand-in and against the
// store in memory, which stands in for it in other tests.
func TestStoresAgree(t *testing.T) {
	cases := []struct {
		name  string
		store store.Store
	}{
		{"client", &store.Client{Address: service(t).Address}},
		{"memory", &store.Memory{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is, ctx, kv := is.New(t), t.Context(), c.store
			_, err := kv.Get(ctx, "a/b")
			is.True(errors.Is(err, store.ErrNotFound))
			first, err := kv.CompareAndSwap(ctx, "a/b", store.Absent, []byte("1"))
			is.NoErr(err)
			_, err = kv.CompareAndSwap(ctx, "a/b", store.Absent, []byte("2"))
			is.True(errors.Is(err, store.ErrConflict))
			second, err := kv.CompareAndSwap(ctx, "a/b", first.Revision, []byte("2"))
			is.NoErr(err)
			is.True(second.Revision > first.Revision)
			read, err := kv.Get(ctx, "a/b")
			is.NoErr(err)
			is.Equal(read, second)

			_, err = kv.CompareAndSwap(ctx, "a/a", store.Absent, nil)
			is.NoErr(err)
			listed, err := kv.List(ctx, "a/")
			is.NoErr(err)
			is.Equal(len(listed), 2)
			is.Equal(listed[1], second)

			watched, err := kv.Watch(ctx, "a/b", first.Revision, time.Second)
			is.NoErr(err)
			is.Equal(watched, second)
			_, err = kv.Watch(ctx, "a/b", second.Revision, 10*time.Millisecond)
			is.True(errors.Is(err, store.ErrNotChanged))

			is.True(errors.Is(kv.Delete(ctx, "a/b", first.Revision), store.ErrConflict))
			is.NoErr(kv.Delete(ctx, "a/b", second.Revision))
			is.True(errors.Is(kv.Delete(ctx, "a/b", second.Revision), store.ErrNotFound))
		})
	}
}

// The store's answer to a write is lost, by a cut connection or by something in between that answers
// in its place. The caller may neither take the write for made nor for not made; a user would see a
// change that was told to have failed come into force all the same.
func TestOutcomesOfWrites(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	cut := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	silent := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	cases := []struct {
		name   string
		answer http.HandlerFunc
		write  error
		read   error
	}{
		{"outage", status(503), store.ErrUnavailable, store.ErrUnavailable},
		{"over its rate", status(429), store.ErrUnavailable, store.ErrUnavailable},
		{"value refused", status(413), store.ErrUnavailable, store.ErrUnavailable},
		{"conflict", status(412), store.ErrConflict, store.ErrConflict},
		{"cut", cut, store.ErrUnknown, store.ErrUnavailable},
		{"silent", silent, store.ErrUnknown, store.ErrUnavailable},
		{"something in between", status(502), store.ErrUnknown, store.ErrUnavailable},
		{"redirect", status(302), store.ErrUnknown, store.ErrUnavailable},
		{"no revision", status(200), store.ErrUnknown, store.ErrUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(c.answer)
			defer server.Close()
			kv := &store.Client{Address: strings.TrimPrefix(server.URL, "http://"), Timeout: 500 * time.Millisecond}
			_, err := kv.CompareAndSwap(t.Context(), "k", 1, []byte("v"))
			is.True(errors.Is(err, c.write))
			_, err = kv.Get(t.Context(), "k")
			is.True(errors.Is(err, c.read))
			is.Equal(kv.Calls.Load(), int64(2)) // no call is made twice
		})
	}
}

// Nothing listens at the store's address. No byte was sent, so the caller may say that nothing was
// changed, and the operator need not look.
func TestNoConnectionMeansNothingWasWritten(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	kv := &store.Client{Address: address}
	_, err = kv.CompareAndSwap(t.Context(), "k", 1, nil)
	is.True(errors.Is(err, store.ErrUnavailable))
	is.True(!errors.Is(err, store.ErrUnknown))
}

// A write that its sender gave up on still arrives, after another write was made.
func TestMemoryDeliversLateWrites(t *testing.T) {
	is, ctx, kv := is.New(t), t.Context(), &store.Memory{}
	kv.DelayWrites(1, 2)
	_, err := kv.CompareAndSwap(ctx, "k", store.Absent, []byte("late"))
	is.True(errors.Is(err, store.ErrUnknown))
	_, err = kv.Get(ctx, "k")
	is.True(errors.Is(err, store.ErrNotFound))
	entry, err := kv.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(string(entry.Value), "late")
}
