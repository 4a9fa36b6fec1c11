package rate_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file tests the refill of instances that were frozen while a reservation or a loan ended.

// Guards against refill that fills room from before there was any: a reservation, or a loan to a peer, ends while an
// instance with a full bucket is frozen. Its tokens were spent, and the bucket would fill up with refill that had
// overflowed before the end.
func TestRefillFillsNoRoomFromBeforeItsEnd(t *testing.T) {
	for _, c := range []struct {
		name    string
		reserve func(w *simulation) error
		wakesAt time.Duration
	}{
		{
			name:    "reservation",
			reserve: func(w *simulation) error { return w.reserve(w.nodes[1], 15) },
			wakesAt: maxReservationTime + time.Second,
		},
		{
			name: "loan",
			reserve: func(w *simulation) error {
				w.borrow(w.nodes[0], 45, neverLost)
				return w.reserve(w.nodes[0], 45)
			},
			wakesAt: loanLifetime + time.Second,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, smallLimit(), []string{"a", "b", "c", "d"}, func(is *is.I, w *simulation) {
				frozen, lastSpend := w.nodes[1], maxReservationTime-100*time.Millisecond
				is.NoErr(c.reserve(w))
				is.True(frozen.ledger.Available(workspace) < 25)
				frozen.frozen = true
				w.advance(lastSpend)
				w.spendAll()
				w.advance(c.wakesAt - lastSpend)
				frozen.frozen = false
				w.advance(heartbeatInterval)
				is.True(frozen.tracker.Fresh() == nil)
				is.True(w.oracle.excess(w) < tolerance)
			})
		})
	}
}
