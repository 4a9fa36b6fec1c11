package node

import (
	"math"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// sharing.go has what this instance may do alone follow the size of the fleet.

// loadsForBeats is how many heartbeats another instance's loads count, and a holder's word where the others tell
// their loads to none but the holder.
const loadsForBeats = 1.5

// shareLimits has this instance use its part of what is shared with a number of others.
func (n *Node) shareLimits(others int) {
	parts := roster.Parts(others)
	slack := n.current.Load().Retries.Slack
	pace := n.overlay.pace()
	loadsFor := time.Duration(loadsForBeats * float64(pace))
	n.advice.With(func(a *serve.Advice) {
		a.Retries.SetMax(slack / parts)
		a.Pool.Settings.Instances = int(math.Ceil(parts))
		a.Pool.Settings.HeardEvery = pace
		a.Pool.Settings.HeldFor = loadsFor
		a.Pool.Settings.PeerLoadFor = max(loadsFor, pool.DefaultSettings().PeerLoadFor)
	})
}
