package node

import (
	"math"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// shared_limits.go divides fleet-wide limits by the size of the fleet.

// loadValidHeartbeats is for how many heartbeats the load report of another instance is valid. It also applies to the
// total of a holder where the others report their loads only to the holder.
const loadValidHeartbeats = 1.5

// setSharedLimits sets the shares of this instance in fleet-wide limits, for a number of other instances.
func (n *Node) setSharedLimits(others int) {
	parts := roster.LimitParts(others)
	slack := n.current.Load().Retries.Slack
	interval := n.overlay.currentStateInterval()
	loadsFor := time.Duration(loadValidHeartbeats * float64(interval))
	n.sharedState.WithLock(func(state *serve.SharedState) {
		state.Retries.SetMax(slack / parts)
		state.Pool.Settings.Instances = int(math.Ceil(parts))
		state.Pool.Settings.LiveInstances = others + 1
		state.Pool.Settings.HeartbeatInterval = interval
		state.Pool.Settings.HolderLoadTTL = loadsFor
		state.Pool.Settings.PeerLoadTTL = max(loadsFor, pool.DefaultSettings().PeerLoadTTL)
	})
}
