package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/roster"
)

// Guards against two relays that wait for each other to open their link, because one of them does not know that the
// other is a relay, while each receives the state of the other through a third one. The instances attached to one relay
// would not reach the other.
func TestMissingLinkIsOpenedByEitherEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := nodeWithPeers(t, 0, nil)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		other := roster.Instance{Name: "a", Address: "127.0.0.1:1"} // the instance with the smaller name opens the link
		n.reconcileLink(ended, time.Now(), other, false)
		is.Equal(len(n.overlay.openers), 0)
		time.Sleep(openFallbackDelay + time.Millisecond)
		n.overlay.recordContact("a", time.Now())
		n.reconcileLink(ended, time.Now(), other, false)
		is.Equal(len(n.overlay.openers), 1)
	})
}

// Guards against an instance of a large fleet that has lost its link and waits for all readers ranked before it, from
// which it receives nothing, before it reads the store itself. It would use an old configuration meanwhile.
func TestNobodyWaitsLongToReadTheStore(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		rank  int
		limit time.Duration
	}{{1, 200 * time.Millisecond}, {6, 400 * time.Millisecond}, {75, 1400 * time.Millisecond}, {329, 2800 * time.Millisecond}} {
		is.True(readDelay(c.rank) <= c.limit)
		is.True(readDelay(c.rank) > readDelay(c.rank-1)) // the ranks do not read at the same time
	}
}
