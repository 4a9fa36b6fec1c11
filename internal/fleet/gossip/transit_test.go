package gossip_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/gossip"
)

// Guards against an age that counts from when a message is taken up: messages lie in buffers at either end, and the two
// clocks say nothing of each other.
func TestMessageIsNeverTakenForYoungerThanItIs(t *testing.T) {
	const clocksApart = time.Hour
	for _, c := range []struct {
		name        string
		there, back time.Duration
		// pause is how long the other end has the question before it makes its message.
		pause time.Duration
	}{
		{"both ways are short", time.Millisecond, time.Millisecond, 200 * time.Millisecond},
		{"the answer lies in a buffer", time.Millisecond, 3 * time.Second, 200 * time.Millisecond},
		{"the question lies in a buffer", 3 * time.Second, time.Millisecond, 200 * time.Millisecond},
		{"both do", 2 * time.Second, 2 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var near, far gossip.Link
			sent := 10 * time.Second
			question := near.Stamp(sent)
			_, known := far.Receive(sent+c.there+clocksApart, question)
			is.True(!known) // it answers nothing
			made := sent + c.there + c.pause
			answer := far.Stamp(made + clocksApart)
			longest, known := near.Receive(made+c.back, answer)
			is.True(known)
			is.True(longest >= c.back)
			is.True(longest <= c.there+c.back) // the pause is not counted
		})
	}
}
