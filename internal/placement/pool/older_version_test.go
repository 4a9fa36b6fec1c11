package pool_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// Guards against a request that is sent in time and begins to run on an older version after its time, because of the requests that
// are queued at the engine before it, or of a memory that has no room for it.
func TestWaitAtTheEngineCountsAgainstTheTimeOfAnOlderVersion(t *testing.T) {
	for _, c := range []struct {
		name string
		// queued are the requests in flight at the only engine, each of some tokens.
		queued, tokens int
		left           time.Duration
		mayRun         bool
	}{
		{"idle, much time left", 0, 0, 2500 * time.Millisecond, true},
		{"idle, no time left", 0, 0, 0, false},
		{"queue, much time left", 12, 2400, time.Minute, true},
		{"queue longer than the time left", 12, 2400, 400 * time.Millisecond, false},
		{"no room in the memory for longer than the time left", 4, 30_000, 400 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPool("e1")
				resident(p, "e1", "a")
				for range c.queued {
					query := generation("a")
					query.Tokens = c.tokens
					choice, err := p.Choose(time.Now(), query)
					is.NoErr(err)
					p.Begin(time.Now(), choice, query)
				}
				query := generation("a")
				query.Newest, query.OlderUntil = 2, time.Now().Add(c.left)
				choice, err := p.Choose(time.Now(), query)
				is.NoErr(err)
				is.Equal(choice.Loaded, c.mayRun)
				is.Equal(choice.Version == 2, !c.mayRun)
			})
		})
	}
}

// Guards against a request for a newest version that is already loaded and is loaded again, and against one that may use any
// version and waits for a load.
func TestNewestVersionIsUsedWhereItIsLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPool("e1", "e2")
		resident(p, "e1", "a")
		p.RecordResidency(time.Now(), pool.Residency{Upstream: "e2", Fence: 1, FreeSlots: 4, Loaded: []pool.Resident{
			{Adapter: adapter(""), Version: 1}, {Adapter: adapter("a"), Version: 2},
		}})
		query := generation("a")
		query.Newest, query.OlderUntil = 2, time.Now()
		choice, err := p.Choose(time.Now(), query)
		is.NoErr(err)
		is.Equal(choice.Upstream.ID, "e2")
		is.True(choice.Loaded)
		is.True(!choice.Older)
		query.Candidates = []string{"e1"}
		query.OlderUntil = time.Now().Add(time.Minute)
		choice, err = p.Choose(time.Now(), query)
		is.NoErr(err)
		is.True(choice.Loaded)
		is.True(choice.Older)
		is.Equal(choice.Version, int64(0))
	})
}
