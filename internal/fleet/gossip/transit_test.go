package gossip_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/gossip"
)

// Guards against ages that are computed from when a message is read: messages wait in buffers at both ends, and the two
// clocks are unrelated.
func TestMessageIsNeverTakenForYoungerThanItIs(t *testing.T) {
	const clocksApart = time.Hour
	for _, c := range []struct {
		name              string
		outbound, inbound time.Duration
		// pause is the time between the arrival of the request and the creation of the reply at the other end.
		pause time.Duration
	}{
		{"short delays", time.Millisecond, time.Millisecond, 200 * time.Millisecond},
		{"reply waits in a buffer", time.Millisecond, 3 * time.Second, 200 * time.Millisecond},
		{"request waits in a buffer", 3 * time.Second, time.Millisecond, 200 * time.Millisecond},
		{"both wait in a buffer", 2 * time.Second, 2 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var near, far gossip.Link
			sent := 10 * time.Second
			request := near.Stamp(sent)
			_, known := far.Receive(sent+c.outbound+clocksApart, request)
			is.True(!known) // the request echoes no message
			created := sent + c.outbound + c.pause
			reply := far.Stamp(created + clocksApart)
			maxTransit, known := near.Receive(created+c.inbound, reply)
			is.True(known)
			is.True(maxTransit >= c.inbound)
			is.True(maxTransit <= c.outbound+c.inbound) // the pause is not counted
		})
	}
}
