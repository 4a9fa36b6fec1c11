package node

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// held_room.go admits requests to a held upstream that can take few: one that is cold or brittle.

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

// admit counts a request against the load that the upstream can take while it is cold or brittle.
func (h *heldUpstream) admit() (wait time.Duration, admitted bool) {
	h.node.sharedState.WithLock(func(state *serve.SharedState) {
		now := time.Now()
		if wait, admitted = state.Pool.AdmitCold(now, h.upstream.ID); admitted {
			wait, admitted = state.Pool.AdmitBrittle(now, h.upstream.ID)
		}
	})
	return wait, admitted
}
