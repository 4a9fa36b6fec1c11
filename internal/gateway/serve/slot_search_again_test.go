package serve

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// fullWhenQueried is a fleet whose holders state a long wait for an adapter slot when they are queried.
type fullWhenQueried struct {
	slowHolders
	pool    *pool.Pool
	queried []string
}

func (f *fullWhenQueried) QueryHolder(_ context.Context, upstream string) {
	f.queried = append(f.queried, upstream)
	f.pool.RecordResidency(time.Now(), pool.Residency{Upstream: upstream, Fence: 1, Version: 1, SlotWait: 2 * time.Second})
}

// Guards against a request that is refused because the few holders that were queried have no adapter slot in time, although
// others were not asked.
func TestOtherHoldersAreAskedWhereTheQueriedOnesHaveNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &fullWhenQueried{slowHolders: slowHolders{after: time.Millisecond}}
		h := contendedHandler(fleet)
		fleet.pool = h.State.Pool
		_ = contendedJob(h, 0).run(t.Context())
		is.True(len(fleet.queried) >= maxQueries)
		is.True(len(fleet.requests) > 0)
	})
}
