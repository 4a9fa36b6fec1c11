package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
	"lacewingrock.example/lacewingrock/internal/telemetry/logline"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// crash_detection.go detects that a life of an upstream has ended unannounced, and records it for the requests that were in
// flight there. A request that crashes each upstream that runs it is sent again and again. A broken response alone is no
// crash: responses are lost and connections reset without one. An upstream may also end in silence, or listen again before
// anybody looks, so that only its next entry or the removal of its entry shows it.

// endSign is what shows that a life of an upstream has ended.
type endSign string

const (
	// signRefused: nothing listens there. signRestarted: a later life has been declared. signReplaced: another upstream or a
	// later life has answered there. signExpired: the upstream writes its entry no more.
	signRefused   endSign = "refused"
	signRestarted endSign = "restarted"
	signReplaced  endSign = "replaced"
	signExpired   endSign = "expired"
)

const (
	// crashSettleTime is the wait between a broken response and the crash check. A crash breaks all requests of the
	// upstream, and one check is enough for them.
	crashSettleTime = 15 * time.Millisecond
	// probeTimeout bounds the connection attempt of the check.
	probeTimeout = 150 * time.Millisecond
	// maxOthersProbed bounds the other upstreams that are probed to distinguish a crash from lost links.
	maxOthersProbed = 3
)

// crashChecks are the lives of upstreams that are being checked.
type crashChecks struct {
	mutex   sync.Mutex
	running map[traffic.Life]bool
}

// begin reports whether no check of the life is running.
func (c *crashChecks) begin(life traffic.Life) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.running[life] {
		return false
	}
	if c.running == nil {
		c.running = make(map[traffic.Life]bool)
	}
	c.running[life] = true
	return true
}

func (c *crashChecks) end(life traffic.Life) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.running, life)
}

// ReportUnfinished records an attempt without proof that its request ran to completion. If its response broke off, the
// upstream is checked.
func (n *Node) ReportUnfinished(upstream traffic.Upstream, attempt suspect.Attempt, broken bool) {
	crashed := false
	n.sharedState.WithLock(func(state *serve.SharedState) {
		crashed = state.Suspects.RecordUnfinished(time.Now(), upstream.Life(), attempt)
	})
	switch {
	case crashed:
		n.publishCrash(upstream.Life(), []suspect.Attempt{attempt})
	case broken:
		n.checkForCrash(upstream)
	}
}

// checkForCrash checks soon whether an upstream has ended.
func (n *Node) checkForCrash(upstream traffic.Upstream) {
	if n.crashChecks.begin(upstream.Life()) {
		check := crashCheck{node: n, upstream: upstream}
		go check.run(context.Background())
	}
}

// crashCheck checks whether an upstream refuses connections.
type crashCheck struct {
	node     *Node
	upstream traffic.Upstream
}

func (c crashCheck) run(ctx context.Context) {
	n := c.node
	defer n.crashChecks.end(c.upstream.Life())
	pause.For(ctx, crashSettleTime)
	began := time.Now()
	refused := n.refusesConnections(ctx, c.upstream)
	cutOff := refused && n.isCutOff(ctx, c.upstream.ID)
	n.Log.Info().Str("Upstream", c.upstream.ID).Bool("Refused", refused).Bool("CutOff", cutOff).
		Int64("TookMillis", time.Since(began).Milliseconds()).Msg("CrashChecked")
	if !refused {
		n.doubt(c.upstream.Life())
	}
	if !refused || cutOff {
		return
	}
	n.sharedState.WithLock(func(state *serve.SharedState) { state.Pool.RecordCrash(time.Now(), c.upstream) })
	n.recordEnd(c.upstream.Life(), signRefused)
}

// doubt has the holder of an upstream find out whether a life goes on. Its responses broke and connections are not refused there: perhaps
// the next life listens, which has loaded nothing and shows in no response which one it is.
func (n *Node) doubt(life traffic.Life) {
	if held := n.heldUpstreams.get(life.Upstream); held != nil {
		held.doubt(life)
		return
	}
	if holder, found := n.holderOf(life.Upstream); found && holder.Name != n.self.Name {
		n.reports.addDoubted(holder.Name, life)
		n.scheduleReport(holder.Name)
	}
}

// isCutOff reports whether this instance reaches none of some other upstreams either. Links that are reset refuse
// connections like an upstream that has crashed, and if the peers have lost theirs too, they cannot distinguish the two. Crashes
// that are counted by mistake get the requests of innocent callers refused. If the upstream has ended, its entry will show it.
func (n *Node) isCutOff(ctx context.Context, id string) bool {
	var others []traffic.Upstream
	n.sharedState.WithLock(func(state *serve.SharedState) {
		others = state.Pool.Declared(func(upstream *traffic.Upstream) bool { return upstream.ID != id })
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), maxOthersProbed)]
	for _, other := range others {
		if connection, err := n.dialDirect(ctx, other, probeTimeout); err == nil {
			connection.Close()
			return false
		}
	}
	return len(others) > 0
}

// recordEnd records that a life of an upstream has ended unannounced.
func (n *Node) recordEnd(life traffic.Life, sign endSign) {
	var inFlight []suspect.Attempt
	n.sharedState.WithLock(func(state *serve.SharedState) {
		if sign == signExpired {
			inFlight = state.Suspects.RecordExpiry(time.Now(), life)
		} else {
			inFlight = state.Suspects.RecordEnd(time.Now(), life)
		}
	})
	if len(inFlight) > 0 || sign == signRefused {
		n.Log.Warn().Str("Upstream", life.Upstream).Str("Sign", string(sign)).Int("Requests", len(inFlight)).Msg("UpstreamCrashed")
	}
	if len(inFlight) > 0 {
		n.publishCrash(life, inFlight)
	}
}

// publishCrash logs the requests that were in flight at a crash, and sends the records of them to the others.
func (n *Node) publishCrash(life traffic.Life, inFlight []suspect.Attempt) {
	crashes := make(map[suspect.Fingerprint]int)
	n.sharedState.WithLock(func(state *serve.SharedState) {
		for _, attempt := range inFlight {
			crashes[attempt.Fingerprint] = state.Suspects.Crashes(attempt.Fingerprint)
		}
	})
	for _, attempt := range inFlight {
		n.Log.Warn().Str(logline.FieldRequest, attempt.CallID).Str("Upstream", life.Upstream).
			Str("Fingerprint", string(attempt.Fingerprint)).Int("Crashes", crashes[attempt.Fingerprint]).
			Str("Parts", suspect.Join(attempt.Parts)).Int64("SendingMillis", attempt.Sending.Milliseconds()).Msg("InFlightAtCrash")
	}
	n.overlay.requestStateSend()
	n.crashRecords.requestWrite()
}

// recordNextLife records the end of an upstream's life that its entry shows: another life is declared in its place, or
// none, which is nil. An upstream that announced its end was not crashed.
func (n *Node) recordNextLife(previous traffic.Upstream, next *traffic.Upstream) {
	announced := false
	n.sharedState.WithLock(func(state *serve.SharedState) { announced = state.Pool.IsEndAnnounced(previous.ID) })
	switch {
	case announced || next != nil && next.Life() == previous.Life():
	case next == nil:
		n.recordEnd(previous.Life(), signExpired)
	case next.StartedMillis > previous.StartedMillis:
		n.recordEnd(previous.Life(), signRestarted)
	}
}
