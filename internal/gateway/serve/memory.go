package serve

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// memory.go has requests admitted by the holders of engines whose memory is bounded.

// refuseOversized refuses a request that is larger than the memory of an empty engine.
func (j *job) refuseOversized() error {
	exceeds := false
	query := j.anyUpstream()
	query.Output = j.call.Generation.OutputTokens
	j.handler.State.WithLock(func(state *SharedState) { exceeds = state.Pool.ExceedsMemory(query) })
	if !exceeds {
		return nil
	}
	j.handler.Scope.Tagged(map[string]string{"kind": "oversized"}).Counter("memory_refusals").Inc(1)
	j.step("oversized").Int("Tokens", query.Tokens).Int("Output", query.Output).Msg("Decision")
	return refusal.New(refusal.ServiceUnavailable, "the request is larger than the memory of an upstream")
}

// askMemory adds a numbered question to the placement, by which the holder of the upstream admits the request.
func (j *job) askMemory(chosen *placement) {
	j.handler.State.WithLock(func(state *SharedState) {
		chosen.choice.Memory = state.Pool.AskMemory(time.Now(), chosen.choice.Upstream.ID, chosen.query)
	})
}

// giveUpMemory ends the question of a request that is not sent.
func (j *job) giveUpMemory(choice pool.Choice) {
	if choice.Memory.Ask == 0 {
		return
	}
	j.handler.State.WithLock(func(state *SharedState) { state.Pool.GiveUpMemory(choice.Memory.Ask) })
	j.handler.Fleet.NotifyHolder(choice.Upstream.ID)
}
