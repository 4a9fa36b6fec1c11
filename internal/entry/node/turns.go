package node

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/turn"
)

// turns.go has the prompts that all instances send to an upstream take turns.

// takeTurn waits for a prompt's turn. It tells at once how long that would take if waiting is hopeless.
func (h *holding) takeTurn(ctx context.Context, request mesh.PrepareRequest, worthUntil time.Time) (time.Duration, bool) {
	prompt := &turn.Prompt{
		Tokens: request.Tokens, Priority: request.Priority, LatestDispatch: worthUntil,
	}
	h.node.advice.With(func(a *serve.Advice) { prompt.Prefill = a.Pool.Prefill(h.upstream.ID, request.Tokens) })
	h.join(prompt)
	defer h.leave(prompt)
	for {
		now := time.Now()
		wait, again, taken := h.askTurn(now, prompt)
		if taken {
			return 0, true
		}
		if again.IsZero() {
			return wait, false
		}
		timer := time.NewTimer(max(again.Sub(now), time.Millisecond))
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

func (h *holding) join(prompt *turn.Prompt) {
	h.mutex.Lock()
	h.line.Enqueue(time.Now(), prompt)
	tokens := h.line.QueuedTokens()
	h.mutex.Unlock()
	h.node.advice.With(func(a *serve.Advice) { a.Pool.SetAwaitingTurn(h.upstream.ID, tokens) })
}

func (h *holding) leave(prompt *turn.Prompt) {
	h.mutex.Lock()
	h.line.Remove(prompt)
	tokens := h.line.QueuedTokens()
	h.mutex.Unlock()
	h.node.advice.With(func(a *serve.Advice) { a.Pool.SetAwaitingTurn(h.upstream.ID, tokens) })
}

// askTurn asks the line, with what is known of the upstream by now. Where it is hopeless there is no time to ask again.
func (h *holding) askTurn(now time.Time, prompt *turn.Prompt) (wait time.Duration, again time.Time, taken bool) {
	var load pool.Load
	h.node.advice.With(func(a *serve.Advice) { load = a.Pool.Sent(now, h.upstream.ID) })
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if load.Prompt == 0 {
		h.line.PrefillDone(now)
	}
	again, taken = h.line.TryDispatch(now, prompt, load.Running > 0)
	if !taken && h.line.ShouldReject(now, prompt) {
		again = time.Time{}
	}
	return h.line.QueueingDelay(now, prompt), again, taken
}
