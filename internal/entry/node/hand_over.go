package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/fleet/coordination"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
)

// hand_over.go gives up upstreams to which this instance has lost its link while other instances reach them. As long as
// it stayed their holder, no adapter could be loaded there.

// handOver removes the holder key of the upstream, so that an instance that reaches it can become its holder.
func (h *heldUpstream) handOver(ctx context.Context) {
	id := h.upstream.ID
	if !h.node.mayHandOver(id, time.Now()) {
		return
	}
	if err := h.removeKey(ctx); err != nil {
		h.node.Log.Warn().Err(err).Str("Upstream", id).Int64("Fence", h.fence).Msg("HandOverFailed")
		return
	}
	h.node.Log.Info().Str("Upstream", id).Int64("Fence", h.fence).Msg("HandedOver")
	h.node.heldUpstreams.recordReleased(id, h.fence)
	h.node.stopHolding(id)
}

// removeKey removes the holder key of the upstream, unless it is not this instance's any more.
func (h *heldUpstream) removeKey(ctx context.Context) error {
	key := roster.HolderKey(h.upstream.ID)
	_, err := h.node.Store.Commit(ctx, coordination.Transaction{
		Conditions: []coordination.Condition{{Key: key, Revision: h.fence}},
		Removals:   []string{key},
	})
	if errors.Is(err, coordination.ErrConflict) {
		return nil
	}
	return err
}

// mayHandOver reports whether no order of this instance can arrive at an upstream after those of the next holder, where
// fencing tokens are not checked.
func (n *Node) mayHandOver(upstream string, now time.Time) bool {
	return n.mayReplaceEarly() || !now.Before(n.mayOrderFrom(upstream, 0))
}

// recordReleased records that this instance gave up an upstream that it held with a fencing token. Its copy of the store
// may still contain the holder key for a moment.
func (h *heldUpstreams) recordReleased(upstream string, fence int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.released[upstream] = fence
}

func (h *heldUpstreams) isReleased(upstream string, fence int64) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.released[upstream] == fence
}

// claimants returns the instances that may claim an upstream, and whether this one may: all names, or those that reach
// the upstream if any does.
func (n *Node) claimants(upstream string, names []string) (reaching []string, mayClaim bool) {
	n.links.mutex.Lock()
	defer n.links.mutex.Unlock()
	for _, name := range names {
		lost := n.links.tracker.IsLostAt(name, upstream)
		if name == n.self.Name {
			lost = n.links.tracker.IsLost(upstream)
		}
		if !lost {
			reaching = append(reaching, name)
		}
	}
	if len(reaching) == 0 {
		return names, true
	}
	return reaching, !n.links.tracker.IsLost(upstream)
}
