package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/roster"
)

// Guards against two relays that wait for each other to open their link, as one of them does not know that the other
// is a relay, while each hears of the other through a third: what is attached to one does not reach the other.
func TestMissingLinkIsOpenedByEitherEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := nodeAmong(t, 0, nil)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		other := roster.Instance{Name: "a", Address: "127.0.0.1:1"} // it is for the lesser name to open the link
		n.matchLink(ended, time.Now(), other, false)
		is.Equal(len(n.overlay.opened), 0)
		time.Sleep(openAfter + time.Millisecond)
		n.overlay.heard("a", time.Now())
		n.matchLink(ended, time.Now(), other, false)
		is.Equal(len(n.overlay.opened), 1)
	})
}

// Guards against an instance of a large fleet that has lost its link and waits for all those before it in the line of
// readers, which it cannot hear, until it asks the store itself: it would go on by an old configuration.
func TestNobodyWaitsLongToReadTheStore(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		rank int
		most time.Duration
	}{{1, 200 * time.Millisecond}, {6, 400 * time.Millisecond}, {75, 1400 * time.Millisecond}, {329, 2800 * time.Millisecond}} {
		is.True(readDelay(c.rank) <= c.most)
		is.True(readDelay(c.rank) > readDelay(c.rank-1)) // not all at once
	}
}
