package node

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/turn"
)

// prefill_queue.go queues the prompts that all instances send to an upstream, so that their prefills run one after the
// other.

// awaitPrefillTurn waits until the prefill of a prompt may start. If the prefill turn would come too late, it returns
// the expected wait immediately.
func (h *heldUpstream) awaitPrefillTurn(ctx context.Context, request mesh.PrepareRequest, deadline time.Time) (time.Duration, bool) {
	prompt := &turn.Prompt{
		Tokens: request.Tokens, Priority: request.Priority, OverShare: request.OverShare, LatestDispatch: deadline,
	}
	h.node.sharedState.WithLock(func(state *serve.SharedState) { prompt.Prefill = state.Pool.Prefill(h.upstream.ID, request.Tokens) })
	h.enqueuePrompt(prompt)
	defer h.dequeuePrompt(prompt)
	for {
		now := time.Now()
		wait, nextTry, taken := h.tryPrefillTurn(now, prompt)
		if taken {
			return 0, true
		}
		if nextTry.IsZero() {
			return wait, false
		}
		timer := time.NewTimer(max(nextTry.Sub(now), time.Millisecond))
		select {
		case <-timer.C:
		case <-h.ended:
			return wait, false
		case <-ctx.Done():
			timer.Stop()
			return wait, false
		}
		timer.Stop()
	}
}

func (h *heldUpstream) enqueuePrompt(prompt *turn.Prompt) {
	h.mutex.Lock()
	h.prefillQueue.Enqueue(time.Now(), prompt)
	tokens := h.prefillQueue.QueuedTokens()
	h.mutex.Unlock()
	h.node.sharedState.WithLock(func(state *serve.SharedState) { state.Pool.SetAwaitingTurn(h.upstream.ID, tokens) })
}

func (h *heldUpstream) dequeuePrompt(prompt *turn.Prompt) {
	h.mutex.Lock()
	h.prefillQueue.Remove(prompt)
	tokens := h.prefillQueue.QueuedTokens()
	h.mutex.Unlock()
	h.node.sharedState.WithLock(func(state *serve.SharedState) { state.Pool.SetAwaitingTurn(h.upstream.ID, tokens) })
}

// tryPrefillTurn queries the queue with the current load of the upstream. If the turn would come too late, the time of
// the next attempt is zero.
func (h *heldUpstream) tryPrefillTurn(now time.Time, prompt *turn.Prompt) (wait time.Duration, nextTry time.Time, taken bool) {
	var load pool.Load
	h.node.sharedState.WithLock(func(state *serve.SharedState) { load = state.Pool.Sent(now, h.upstream.ID) })
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if load.PromptTokens == 0 {
		h.prefillQueue.PrefillDone(now)
	}
	nextTry, taken = h.prefillQueue.TryDispatch(now, prompt, load.Running > 0)
	if !taken && h.prefillQueue.ShouldReject(now, prompt) {
		nextTry = time.Time{}
	}
	return h.prefillQueue.QueueingDelay(now, prompt), nextTry, taken
}
