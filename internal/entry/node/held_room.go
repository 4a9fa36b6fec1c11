package node

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// held_room.go admits requests to a held upstream that can take few: one that is cold, brittle or limited.

// maxRoomWait bounds how long a request waits until a brittle upstream has room, before it is tried elsewhere.
const maxRoomWait = 60 * time.Millisecond

// awaitRoom waits until the upstream has room for a request, if that is expected to be soon.
func (h *heldUpstream) awaitRoom(ctx context.Context, deadline time.Time) (wait time.Duration, admitted bool) {
	if latest := time.Now().Add(maxRoomWait); latest.Before(deadline) {
		deadline = latest
	}
	for {
		wait, admitted = h.admit()
		if admitted || time.Now().Add(wait).After(deadline) || !pause.For(ctx, wait) {
			return wait, admitted
		}
	}
}

// admit counts a request against the load that the upstream can take while it is cold, brittle or limited.
func (h *heldUpstream) admit() (wait time.Duration, admitted bool) {
	h.node.sharedState.WithLock(func(state *serve.SharedState) {
		now := time.Now()
		for _, admit := range []func(time.Time, string) (time.Duration, bool){
			state.Pool.AdmitLimited, state.Pool.AdmitCold, state.Pool.AdmitBrittle,
		} {
			if wait, admitted = admit(now, h.upstream.ID); !admitted {
				return
			}
		}
	})
	return wait, admitted
}
