package node

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// clear_statement.go states soon that prompt parts in the records of others are cleared of crashes. All instances that use a part learn
// of a crash at nearly the same time and could each state that to all others, so they wait for different times first, and those that
// receive the statement of another one meanwhile make none.

// clearStatementSpread is the longest wait. Crashes count for a part only half a second after an instance has learned of them.
const clearStatementSpread = 250 * time.Millisecond

// clearStatement is one such wait, with what follows.
type clearStatement struct {
	node *Node
}

func (s clearStatement) run(ctx context.Context) {
	n := s.node
	pause.For(ctx, clearStatementWait(rand.Float64(), n.overlay.peerCount()))
	n.clearStatementPending.Store(false)
	due := false
	n.sharedState.WithLock(func(state *serve.SharedState) { due = state.Suspects.TakeStatementDue() })
	if due {
		n.overlay.requestStateSend()
	}
}

// clearStatementWait returns how long one of some instances waits, by a random number below 1. One of them does not, few wait for a
// short time and most for a long one, so that few waits end before the first statement has reached all others.
func clearStatementWait(random float64, instances int) time.Duration {
	if random*float64(instances) <= 1 {
		return 0
	}
	return time.Duration(float64(clearStatementSpread) * math.Log(random*float64(instances)) / math.Log(float64(instances)))
}
