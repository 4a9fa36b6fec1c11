package repository_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/repository"
	"lacewingrock.example/lacewingrock/internal/platform/store"
)

// A writer is paused between writing its parts and swapping the head, for longer than unnamed parts
// are kept. Were its parts deleted and its swap taken, no instance could read the configuration.
func TestSweepNeverDeletesWhatASwapCanStillName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, kv := is.New(t), t.Context(), &store.Memory{}
		other := &repository.Repository{Store: kv, Writer: "other"}
		sweep := func() (deleted int) {
			s := &repository.Sweeper{Repository: other, GracePeriod: time.Minute}
			for range 2 {
				for index := range repository.SweepIndexes {
					count, err := s.Sweep(ctx, index)
					is.NoErr(err)
					deleted += count
				}
				time.Sleep(2 * time.Minute)
			}
			return deleted
		}
		h := &hooked{Store: kv}
		paused := &repository.Repository{Store: h, Writer: "paused"}
		h.before = func(key string) {
			if key == repository.HeadKey {
				h.before = nil
				is.Equal(sweep(), 0) // its parts may still be named
				_, err := declare(ctx, other, workspace("w", 1), configuration.MustBeNew)
				is.NoErr(err)
				is.Equal(sweep(), 2) // now they cannot, nor its head
			}
		}
		_, err := declare(ctx, paused, workspace("w", 2), configuration.AnyVersion)
		is.NoErr(err)
		fresh := &repository.Repository{Store: kv, Writer: "fresh"}
		is.NoErr(fresh.Load(ctx))
		is.Equal(rates(fresh.Current().Configuration), map[string]float64{"w": 2})
	})
}

// An operator changes a rate again and again; what earlier changes wrote is deleted within two rounds,
// and what is named never is.
func TestSweeperComesRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, kv := is.New(t), &store.Memory{}
		ctx, cancel := context.WithCancel(t.Context())
		r := &repository.Repository{Store: kv, Writer: "a"}
		for rate := range 10 {
			_, err := declare(ctx, r, workspace("w", float64(rate)), configuration.AnyVersion)
			is.NoErr(err)
		}
		var chosen atomic.Bool
		s := &repository.Sweeper{Repository: r, HasDuty: chosen.Load}
		ended := make(chan error)
		go func() { ended <- s.Run(ctx) }()
		left := func() int {
			time.Sleep(2 * (repository.SweepIndexes + 1) * repository.DefaultSweepInterval)
			parts, err := kv.List(ctx, "part/")
			is.NoErr(err)
			heads, err := kv.List(ctx, "heads/")
			is.NoErr(err)
			is.Equal(len(heads), len(parts)) // each change wrote one of either
			return len(parts)
		}
		is.Equal(left(), 10)
		chosen.Store(true)
		is.Equal(left(), 1)
		cancel()
		is.NoErr(<-ended)
		fresh := &repository.Repository{Store: kv, Writer: "b"}
		is.NoErr(fresh.Load(t.Context()))
		is.Equal(rates(fresh.Current().Configuration), map[string]float64{"w": 9})
	})
}

// A caller goes away while the first parts are being fetched. A part that was not fetched must not
// pass for an empty one: the resources in it would vanish from the instance.
func TestGivenUpFetchIsNoEmptyPart(t *testing.T) {
	is, kv := is.New(t), &store.Memory{}
	writer := &repository.Repository{Store: kv, Writer: "a"}
	_, err := declare(t.Context(), writer, workspace("w", 1), configuration.MustBeNew)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	reader := &repository.Repository{Store: &cancelling{Store: kv, cancel: cancel}, Writer: "b"}
	_, err = reader.Refresh(ctx)
	is.True(err != nil)
	is.Equal(reader.Current().Head.Revision, int64(0))
}

// cancelling ends the caller's context as soon as the head was read.
type cancelling struct {
	store.Store
	cancel context.CancelFunc
}

func (c *cancelling) Get(ctx context.Context, key string) (store.Entry, error) {
	entry, err := c.Store.Get(context.WithoutCancel(ctx), key)
	if !strings.HasPrefix(key, "part/") {
		c.cancel()
	}
	return entry, err
}

// All instances of a fleet start at once, and the store allows each only a few reads a second. Beginning
// anew with each try, an instance would never have read all parts, and stay unready.
func TestLoadMakesProgressAtTheStoresLimit(t *testing.T) {
	is, ctx, kv := is.New(t), t.Context(), &store.Memory{}
	writer := &repository.Repository{Store: kv, Writer: "a"}
	_, err := writer.Apply(ctx, func(configuration.Configuration) (change configuration.Change, err error) {
		for i := range 500 {
			w := workspace(fmt.Sprint("w", i), 1)
			change = append(change, configuration.Declare{Resource: w, Expected: configuration.MustBeNew})
		}
		return change, nil
	})
	is.NoErr(err)
	limited := &rateLimited{Store: kv}
	reader := &repository.Repository{Store: limited, Writer: "b"}
	tries := 0
	for reader.Current().Head.Revision == 0 && tries < 20 {
		limited.left.Store(10)
		_, _ = reader.Refresh(ctx)
		tries++
	}
	is.Equal(rates(reader.Current().Configuration), rates(writer.Current().Configuration))
	is.True(tries <= 8) // 64 parts, nine to a try beside the head
}

// rateLimited allows as many reads as are left.
type rateLimited struct {
	store.Store
	left atomic.Int64
}

func (l *rateLimited) Get(ctx context.Context, key string) (store.Entry, error) {
	if l.left.Add(-1) < 0 {
		return store.Entry{}, store.ErrUnavailable
	}
	return l.Store.Get(ctx, key)
}
