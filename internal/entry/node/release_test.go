package node

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/coordination"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
)

// releaseStore records when keys are removed and when the lease is revoked.
type releaseStore struct {
	leaseStore
	began time.Time

	mutex   sync.Mutex
	removed map[string]time.Duration
	// revokedAfter is when the lease was revoked, 0 if it was not.
	revokedAfter time.Duration
}

func newReleaseStore() *releaseStore {
	return &releaseStore{began: time.Now(), removed: make(map[string]time.Duration)}
}

func (s *releaseStore) Commit(ctx context.Context, t coordination.Transaction) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, key := range t.Removals {
		s.removed[key] = time.Since(s.began)
	}
	return s.leaseStore.Commit(ctx, t)
}

func (s *releaseStore) Revoke(context.Context, int64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revokedAfter = time.Since(s.began)
	return nil
}

func (s *releaseStore) removedAfter(key string) (after time.Duration, removed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	after, removed = s.removed[key]
	return after, removed
}

func (s *releaseStore) revoked() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revokedAfter
}

// Guards against two faults of a planned stop where upstreams check no fencing tokens: an upstream that gets its next holder
// while an order of the stopped instance may still arrive, and one that has no holder for seconds although none may.
func TestPlannedStopKeepsUpstreamsWithOrdersInDoubt(t *testing.T) {
	const (
		returnAfter = 3 * time.Second
		soon        = 400 * time.Millisecond
	)
	for _, c := range []struct {
		name    string
		checked bool
		// orders are sent to the upstream "doubtful" before the stop.
		orders func(t *turns)
		// keptFor is how long the holder key of that upstream and the lease stay at least; 0 for soon at most.
		keptFor time.Duration
	}{
		{"no order", false, func(*turns) {}, 0},
		{"all orders answered", false, func(t *turns) {
			t.begin("doubtful", 1, time.Now())
			t.end("doubtful", 1, time.Now(), true)
		}, 0},
		{"one without an answer", false, func(t *turns) {
			t.begin("doubtful", 1, time.Now())
			t.end("doubtful", 1, time.Now(), false)
		}, returnAfter},
		{"one without an answer, repeated and answered", false, func(t *turns) {
			t.begin("doubtful", 1, time.Now())
			t.end("doubtful", 1, time.Now(), false)
			t.begin("doubtful", 1, time.Now())
			t.end("doubtful", 1, time.Now(), true)
		}, returnAfter},
		{"one without an answer some time ago", false, func(t *turns) {
			t.begin("doubtful", 1, time.Now())
			t.end("doubtful", 1, time.Now().Add(-time.Second), false)
		}, returnAfter - time.Second},
		{"one in progress, which is answered", false, func(t *turns) {
			t.begin("doubtful", 1, time.Now())
			time.AfterFunc(50*time.Millisecond, func() { t.end("doubtful", 1, time.Now(), true) })
		}, 0},
		{"fences checked", true, func(t *turns) { t.begin("doubtful", 1, time.Now()) }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var suspended time.Duration
				n := nodeWithoutFenceChecks(&suspended)
				settings := *n.current.Load()
				settings.Upstreams.FencesChecked = c.checked
				settings.Platform.StoreTimeout = time.Second
				n.current.Store(&settings)
				store := newReleaseStore()
				n.Store = store
				is.NoErr(n.renew(t.Context()))
				claimUpstream(t, n, "settled")
				claimUpstream(t, n, "doubtful")
				c.orders(&n.heldUpstreams.turns)
				ctx, cancel := context.WithTimeout(t.Context(), 2*returnAfter)
				defer cancel()
				release := &release{node: n, done: make(chan struct{})}
				go release.run(ctx)
				if c.keptFor > 0 {
					time.Sleep(c.keptFor - time.Millisecond)
					_, freed := store.removedAfter(roster.HolderKey("doubtful"))
					is.True(!freed)
					is.Equal(store.revoked(), time.Duration(0))
					for _, key := range []string{roster.HolderKey("settled"), roster.InstanceKey("self")} {
						after, removed := store.removedAfter(key)
						is.True(removed)
						is.True(after <= soon)
					}
					is.True(!n.heldUpstreams.turns.begin("doubtful", 1, time.Now()))
				}
				<-release.done
				is.True(store.revoked() >= c.keptFor)
				is.True(store.revoked() <= c.keptFor+soon)
				is.True(n.lease.lastID() == 0)
			})
		})
	}
}

// Guards against an upstream whose next holder sends orders before a delayed one of an instance that has not enough time to
// give it up: its key goes with the lease only.
func TestPlannedStopThatEndsEarlyKeepsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var suspended time.Duration
		n := nodeWithoutFenceChecks(&suspended)
		store := newReleaseStore()
		n.Store = store
		is.NoErr(n.renew(t.Context()))
		claimUpstream(t, n, "doubtful")
		n.heldUpstreams.turns.begin("doubtful", 1, time.Now())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		release := &release{node: n, done: make(chan struct{})}
		release.run(ctx)
		is.Equal(store.revoked(), time.Duration(0))
		_, freed := store.removedAfter(roster.HolderKey("doubtful"))
		is.True(!freed)
	})
}
