package node

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// held_room.go admits requests to a held upstream that can take few: one that is cold, brittle or limited, or whose
// memory is bounded.

// maxRoomWait bounds how long a request waits until a brittle upstream has room, before it is tried elsewhere.
const maxRoomWait = 60 * time.Millisecond

// awaitRoom waits until the upstream has room for a request, if that is expected to be soon. It returns nil when it
// has.
func (h *heldUpstream) awaitRoom(ctx context.Context, deadline time.Time, request mesh.PrepareRequest) mesh.PrepareResult {
	if latest := time.Now().Add(maxRoomWait); latest.Before(deadline) {
		deadline = latest
	}
	for {
		refused, wait, full := h.admit(request)
		if refused == nil {
			return nil
		}
		if time.Now().Add(wait).After(deadline) || !pause.For(ctx, wait) {
			if full {
				h.node.scope.Tagged(map[string]string{"kind": "full"}).Counter("memory_refusals").Inc(1)
			}
			return refused
		}
	}
}

// admit counts a request against the memory of the upstream, and against the load that it can take while it is cold,
// brittle or limited. It returns nil if the request is admitted; full: it is refused for lack of memory.
func (h *heldUpstream) admit(request mesh.PrepareRequest) (refused mesh.PrepareResult, wait time.Duration, full bool) {
	var verdict pool.MemoryVerdict
	admitted := true
	h.node.sharedState.WithLock(func(state *serve.SharedState) {
		now := time.Now()
		verdict = state.Pool.AdmitMemory(now, h.upstream.ID, h.node.memoryRequest(request))
		if !verdict.Admitted {
			return
		}
		for _, admit := range []func(time.Time, string) (time.Duration, bool){
			state.Pool.AdmitLimited, state.Pool.AdmitCold, state.Pool.AdmitBrittle,
		} {
			if wait, admitted = admit(now, h.upstream.ID); !admitted {
				return
			}
		}
	})
	switch {
	case verdict.Starting:
		return mesh.NotHolder{}, verdict.RetryAfter, false
	case !verdict.Admitted:
		return mesh.Busy{RetryAfter: verdict.RetryAfter}, verdict.RetryAfter, true
	case !admitted:
		return mesh.Busy{RetryAfter: wait}, wait, false
	}
	return nil, 0, false
}
