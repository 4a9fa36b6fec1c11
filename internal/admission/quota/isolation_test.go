package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a workspace that gets more than its rate while some instances of a fleet are cut off from all others and
// still serve their callers: each of them knows only what it admits itself, and the others go on with the whole rate.
func TestInstancesCutOffFromAllOthersStayWithinTheRate(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		instances, cutOff int
		// silence is how long a peer is silent until its share is set aside: three of its heartbeats.
		silence time.Duration
		during  time.Duration
	}{
		{7, 2, 800 * time.Millisecond, 5500 * time.Millisecond},
		{66, 11, 5 * time.Second, 5500 * time.Millisecond},
		{195, 33, 15 * time.Second, 5500 * time.Millisecond},
		{195, 33, 15 * time.Second, 12 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d of %d instances for %s", c.cutOff, c.instances, c.during), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const rate = 200_000
				random := rand.New(rand.NewPCG(21, 22))
				f := newCoordinatedFleet(c.instances, rate, 250*time.Millisecond)
				for _, ledger := range f.ledgers {
					ledger.PeerTimeout = c.silence
				}
				f.silent = make(map[int]bool)
				for i := range c.cutOff {
					f.silent[c.instances-1-i] = true
				}
				f.sendRandomly(random, 6*rate, int(c.during/(10*time.Millisecond)), func() int { return random.IntN(len(f.ledgers)) })
				t.Logf("most in %s %.3f of what is allowed", window, f.excess("w"))
				is.True(f.excess("w") <= 1)
			})
		})
	}
}
