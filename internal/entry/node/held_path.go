package node

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/serve"
)

// held_path.go finds out how a held upstream can be reached, and what follows for its holder.

// maxQuiet is how long a holder may have no response from an upstream before it checks its link.
const maxQuiet = time.Second

// verifyQuietLink checks the link of this instance if nothing has come from the upstream for a while. Without requests it
// would notice a lost link only when an adapter has to be loaded, and the request would wait for another holder.
func (h *heldUpstream) verifyQuietLink(now time.Time) {
	answered := false
	h.node.sharedState.WithLock(func(state *serve.SharedState) { answered = state.Pool.AnsweredRecently(now, h.upstream.ID) })
	if answered {
		h.checkedAt = now
	}
	if now.Sub(h.checkedAt) > maxQuiet && !h.node.links.isLost(h.upstream.ID) {
		h.checkedAt = now
		h.node.VerifyLink(h.upstream)
	}
}

// pathAfter returns how the upstream can be reached if a call to it failed. A missing response to an order or a report
// does not prove that it is unreachable: a working upstream may lose responses or carry out orders late.
func (h *heldUpstream) pathAfter(ctx context.Context, failed bool) path {
	if !failed {
		h.checkedAt = time.Now()
		return pathDirect
	}
	return h.node.findPath(ctx, h.upstream)
}

// checkPath makes the loop check how the upstream can be reached, because the link of this instance is lost.
func (h *heldUpstream) checkPath() {
	h.pathInDoubt.Store(true)
	h.wakeLoop()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.notifyWaiters()
}

// resolvePath finds out how the upstream can be reached. Unless this instance reaches it, the report is fetched until one
// arrives or the upstream is handed over.
func (h *heldUpstream) resolvePath(ctx context.Context) {
	reached := h.pathAfter(ctx, true)
	h.applyPath(ctx, reached)
	if reached == pathDirect {
		return
	}
	h.mutex.Lock()
	h.planner.ReportFailed(time.Now())
	h.mutex.Unlock()
	h.updateOwnPool()
}

// applyPath records how the upstream can be reached. If only other instances reach it, this one hands it over.
func (h *heldUpstream) applyPath(ctx context.Context, reached path) {
	h.setUnreachable(reached == pathNone)
	if reached != pathPeer || !h.node.links.isLost(h.upstream.ID) {
		return
	}
	// An upstream that was silent for a second for all may have answered the peer just now.
	if connection, err := h.node.dialDirect(ctx, h.upstream, probeTimeout); err == nil {
		connection.Close()
		return
	}
	h.handOver(ctx)
}
