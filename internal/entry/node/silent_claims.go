package node

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/roster"
)

// silent_claims.go tracks holders that became the holder while they were silent for this instance. Two instances that do not
// reach each other would otherwise each take the other for lost, and take its upstreams in turn.

// recordSilentClaim records whether the instance that became the holder of an upstream counted as silent then. It reaches
// the store in spite of its silence, and is replaced only when its lease shows that it is gone. The caller holds the lock of the
// view.
func (n *Node) recordSilentClaim(holder roster.Holder, now time.Time) {
	v := &n.view
	if holder.Instance == n.self.Name || n.overlay.isAlive(now, holder.Instance) {
		delete(v.silentClaims, holder.Upstream)
		return
	}
	if v.silentClaims == nil {
		v.silentClaims = make(map[string]int64)
	}
	v.silentClaims[holder.Upstream] = holder.Fence
}

// isSilentClaim reports whether a holder counted as silent when it became the holder.
func (n *Node) isSilentClaim(holder roster.Holder) bool {
	n.view.mutex.Lock()
	defer n.view.mutex.Unlock()
	fence, found := n.view.silentClaims[holder.Upstream]
	return found && fence == holder.Fence
}
