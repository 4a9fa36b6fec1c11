package node

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/telemetry/logline"
)

// paces.go exchanges the paces of upstreams with their holders, and shows those of the upstreams that this instance
// holds.

// withPaceQuestion adds the question for the pace of an upstream to a report.
func (n *Node) withPaceQuestion(report mesh.LoadReport, upstream string) mesh.LoadReport {
	n.sharedState.WithLock(func(state *serve.SharedState) {
		for _, stated := range report.Paces {
			if stated.Life.Upstream == upstream {
				return
			}
		}
		report.Paces = append(report.Paces, state.Pool.PaceQuestion(time.Now(), upstream)...)
	})
	return report
}

// restoreUnreportedPaces has the paces of a report that may not have arrived reported again.
func (n *Node) restoreUnreportedPaces(report mesh.LoadReport) {
	n.sharedState.WithLock(func(state *serve.SharedState) { state.Pool.RestoreUnreportedPaces(report.Paces) })
}

// namedIn selects the upstreams at which the sender of a report has something in flight, or whose pace it states or
// asks for.
func namedIn(report mesh.LoadReport) func(upstream string) bool {
	named := make(map[string]bool, len(report.Loads)+len(report.Paces))
	for id := range report.Loads {
		named[id] = true
	}
	for _, stated := range report.Paces {
		named[stated.Life.Upstream] = true
	}
	return func(upstream string) bool { return named[upstream] }
}

// pacesFingerprint changes with the learnt paces of the held upstreams.
func (n *Node) pacesFingerprint() (sum uint64) {
	announced := 0
	n.sharedState.WithLock(func(state *serve.SharedState) { announced = state.Pool.PaceAnnouncements() })
	if announced == 0 {
		return 0
	}
	return xxhash.Sum64String("paces " + strconv.Itoa(announced))
}

// updateHeldPaces updates the paces of the held upstreams, logs those that have changed, and shows all in the
// metrics. An upstream that this instance no longer holds is shown as 0, as a gauge cannot be removed.
func (n *Node) updateHeldPaces(now time.Time) {
	var paces []pool.HeldPace
	n.sharedState.WithLock(func(state *serve.SharedState) { paces = state.Pool.UpdateHeldPaces(now) })
	shown := make(map[string]bool, len(paces))
	for _, pace := range paces {
		shown[pace.Upstream] = true
		n.showPace(pace)
		if pace.Changed {
			n.Log.Info().Str(logline.FieldUpstream, pace.Upstream).Float64("From", pace.Previous).Float64("To", pace.Learnt).
				Float64("Stated", pace.Stated).Float64("Used", pace.Used).Msg("PaceLearnt")
		}
	}
	for id := range n.pacesShown {
		if !shown[id] {
			n.showPace(pool.HeldPace{Upstream: id})
		}
	}
	n.pacesShown = shown
}

func (n *Node) showPace(pace pool.HeldPace) {
	scope := n.scope.Tagged(map[string]string{"upstream": pace.Upstream})
	scope.Gauge("upstream_pace_stated").Update(pace.Stated)
	scope.Gauge("upstream_pace_learnt").Update(pace.Learnt)
	scope.Gauge("upstream_pace_used").Update(pace.Used)
}
