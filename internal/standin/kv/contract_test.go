package kv_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/platform/store"
	"lacewingrock.example/lacewingrock/internal/standin/kv"
)

// The store client of the instances must interpret the responses of the stand-in as the protocol defines
// them. Otherwise, the tests that run against the stand-in are not valid for the real store.
func TestStoreClientContract(t *testing.T) {
	is := is.New(t)
	s := start(t, &kv.Server{})
	client := &store.Client{Address: s.Address}
	ctx := context.Background()
	_, err := client.Get(ctx, "part/a b?&")
	is.True(errors.Is(err, store.ErrNotFound))
	written, err := client.CompareAndSwap(ctx, "part/a b?&", store.Absent, []byte("1"))
	is.NoErr(err)
	_, err = client.CompareAndSwap(ctx, "part/a b?&", store.Absent, []byte("2"))
	is.True(errors.Is(err, store.ErrConflict))
	read, err := client.Get(ctx, "part/a b?&")
	is.NoErr(err)
	is.Equal(string(read.Value), "1")
	is.Equal(read.Revision, written.Revision)
	listed, err := client.List(ctx, "part/")
	is.NoErr(err)
	is.Equal(len(listed), 1)
	is.Equal(listed[0].Key, "part/a b?&")
	is.Equal(string(listed[0].Value), "1")
	_, err = client.Watch(ctx, "part/a b?&", written.Revision, 20*time.Millisecond)
	is.True(errors.Is(err, store.ErrNotChanged))
	seen, err := client.Watch(ctx, "part/a b?&", 0, time.Second)
	is.NoErr(err)
	is.Equal(string(seen.Value), "1")

	s.SetFaults(kv.Faults{LoseAnswers: 1})
	_, err = client.CompareAndSwap(ctx, "part/a b?&", written.Revision, []byte("3"))
	is.True(errors.Is(err, store.ErrUnknown))
	read, err = client.Get(ctx, "part/a b?&")
	is.NoErr(err)
	is.Equal(string(read.Value), "3")
	s.SetFaults(kv.Faults{Outage: true})
	_, err = client.CompareAndSwap(ctx, "part/a b?&", read.Revision, []byte("4"))
	is.True(errors.Is(err, store.ErrUnavailable))
	s.SetFaults(kv.Faults{})
	is.NoErr(client.Delete(ctx, "part/a b?&", read.Revision))
}
