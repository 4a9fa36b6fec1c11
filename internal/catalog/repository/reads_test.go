package repository_test

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/repository"
	"lacewingrock.example/lacewingrock/internal/platform/store"
)

// Every instance reads each change, and the readers poll each second. If a change cost each of 330
// instances a read of all 64 parts, the store would need eleven seconds to serve them.
func TestStoreCallsPerRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := withTimeout(t)
		kv := &store.Memory{}
		writer := &repository.Repository{Store: kv, Writer: "writer"}
		reader := &repository.Repository{Store: kv, Writer: "reader"}
		calls := func(do func() error) int64 {
			before := kv.Calls.Load()
			is.NoErr(do())
			return kv.Calls.Load() - before
		}
		refresh := func() error {
			_, err := reader.Refresh(ctx)
			return err
		}
		declareOne := func(name string, rate float64) {
			_, err := declare(ctx, writer, workspace(name, rate), configuration.AnyVersion)
			is.NoErr(err)
		}
		declareOne("blue", 1)
		is.NoErr(refresh())
		is.Equal(calls(refresh), int64(1)) // the pointer
		declareOne("blue", 2)
		is.Equal(calls(refresh), int64(3)) // the pointer, the head, one part
		is.Equal(calls(refresh), int64(1))
	})
}
