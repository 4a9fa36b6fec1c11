package serve

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/retry"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// fullWhenQueried is a fleet whose holders state a long wait for an adapter slot when they are queried.
type fullWhenQueried struct {
	slowHolders
	pool    *pool.Pool
	queried []string
}

// VerifyLink does nothing: the links of the tests are never lost.
func (f *slowHolders) VerifyLink(traffic.Upstream) {}

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

// Guards against a request that may have run, and is lost because it may not ask holders any more: it has spent what one search
// may take on the search for its first upstream, or for one in place of a silent upstream.
func TestFurtherAttemptsMayAskForSlots(t *testing.T) {
	resumable := traffic.Route{Objective: time.Second, Execution: traffic.Streaming, Resumable: true, MaxAttempts: 3}
	spent := slotSearch{asked: maxSlotRequests, refusedAfter: time.Second}
	t.Run("after a failed attempt", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			fleet := &slowHolders{after: time.Millisecond}
			j := contendedJob(contendedHandler(fleet), 0)
			j.route, j.slots, j.runs, j.mayHaveRun = resumable, spent, 1, true
			is.NoErr(j.afterAttempt(t.Context(), attemptEnd{outcome: resultBroken, err: errors.New("reset")}))
			_, _ = j.place(t.Context())
			is.Equal(len(fleet.requests), 1)
		})
	})
	t.Run("beside a silent upstream", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			fleet := &slowHolders{after: time.Millisecond}
			h := contendedHandler(fleet)
			h.State.Suspects = &suspect.Tracker{Settings: suspect.DefaultSettings()}
			h.State.Retries = &retry.Budgets{Ratio: 1, MaxUnused: 10}
			h.State.Retries.For("s").CountFirstTry()
			h.Scope = tally.NoopScope
			j := contendedJob(h, 0)
			j.route, j.slots, j.inFlight = resumable, spent, []string{"u0"}
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			defer cancel()
			silent := &attempt{job: j, requestCtx: ctx, began: time.Now()}
			silent.placement.choice.Upstream.ID = "u0"
			silent.counted = h.State.Pool.Begin(time.Now(), silent.placement.choice, pool.Query{Service: "s"})
			newSearch(&standby{attempt: silent}).run()
			is.True(len(fleet.requests) > 0)
			is.True(len(fleet.requests) < 2*maxSlotRequests) // the pauses between them double
		})
	})
}
