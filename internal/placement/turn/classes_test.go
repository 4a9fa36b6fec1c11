package turn_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/turn"
)

// Guards against prompts of the highest priority that wait behind others at a full engine: behind a workspace over its share,
// behind a lower priority that arrived first, or, once late, behind nothing at all.
func TestPromptsAreOrderedByClassUnderContention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := turn.Queue{Contention: true}
		over := prompt(100*ms, 0, 5*time.Second)
		over.OverShare = true
		low := prompt(100*ms, 2, 5*time.Second)
		late := prompt(100*ms, 0, -ms)
		patient := prompt(100*ms, 0, 5*time.Second)
		urgent := prompt(100*ms, 0, time.Second)
		dispatched := dispatchAll(&q, false, enqueue(&q, over, low, late, patient, urgent)...)
		order := []*turn.Prompt{urgent, patient, late, low, over}
		for i := 1; i < len(order); i++ {
			is.True(dispatched[order[i-1]] < dispatched[order[i]])
		}
	})
}
