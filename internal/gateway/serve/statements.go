package serve

import (
	"strconv"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/call"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/telemetry/logline"
)

// RecordStatement records what an upstream has stated about itself in a response: how long it wants no requests from this
// instance, 0 if it states nothing, and whether it is leaving. The request's id is for the log, empty if there was none.
func (h *Handler) RecordStatement(request string, upstream traffic.Upstream, retryAfter time.Duration, leaving bool) {
	if retryAfter <= 0 && !leaving {
		return
	}
	paused, left := false, false
	h.State.WithLock(func(state *SharedState) {
		now := time.Now()
		if retryAfter > 0 {
			paused = state.Pool.RecordBackpressure(now, upstream, retryAfter)
		}
		if leaving {
			left = state.Pool.RecordLeaving(now, upstream)
		}
	})
	if paused {
		h.Scope.Counter("upstream_backpressure").Inc(1)
		h.Log.Info().Str(logline.FieldRequest, request).Str(logline.FieldUpstream, upstream.ID).
			Int64("RetryAfterMillis", retryAfter.Milliseconds()).Msg("UpstreamBackpressure")
	}
	if left {
		h.Log.Info().Str(logline.FieldRequest, request).Str(logline.FieldUpstream, upstream.ID).Msg("UpstreamLeaving")
	}
}

// RecordLimit records what an upstream's response to an attempt says of its limit, and reports whether that is news. The
// request's id is for the log.
func (h *Handler) RecordLimit(request string, upstream traffic.Upstream, stated call.Limit, began time.Time) (news bool) {
	text := "none"
	h.State.WithLock(func(state *SharedState) {
		now := time.Now()
		switch limit := stated.(type) {
		case call.RateLimit:
			text = strconv.FormatFloat(limit.PerSecond, 'g', -1, 64)
			news = state.Pool.RecordLimit(now, upstream, limit.PerSecond)
		case call.UnreadableLimit:
			text = "unreadable"
			news = state.Pool.RecordUnreadableLimit(now, upstream)
		default:
			news = state.Pool.RecordNoLimit(now, upstream, began)
		}
	})
	if news {
		h.Scope.Counter("upstream_limits").Inc(1)
		h.Log.Info().Str(logline.FieldRequest, request).Str(logline.FieldUpstream, upstream.ID).Str("Limit", text).Msg("UpstreamLimit")
	}
	return news
}
