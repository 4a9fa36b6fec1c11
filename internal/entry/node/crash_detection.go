package node

import (
	"context"
	"math/rand/v2"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
	"lacewingrock.example/lacewingrock/internal/telemetry/logline"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// crash_detection.go detects whether an upstream crashed when one of its responses broke off. A request that crashes
// each upstream that runs it is sent again and again, so all instances count the crashes during which a request was in
// flight. A broken response alone is not a crash: responses are lost and connections reset without one.

const (
	// maxBrokenResponses bounds the queue of broken responses that wait for the crash check.
	maxBrokenResponses = 64
	// crashSettleTime is the wait between a broken response and the crash check. A crash breaks all requests of the
	// upstream, and all of them have to be counted together.
	crashSettleTime = 15 * time.Millisecond
	// probeTimeout bounds the connection attempt of the check.
	probeTimeout = 150 * time.Millisecond
)

// brokenResponse is a request whose response broke off.
type brokenResponse struct {
	upstream    traffic.Upstream
	callID      string
	fingerprint suspect.Fingerprint
}

// ReportBrokenResponse queues a crash check for a response that broke off with its connection.
func (n *Node) ReportBrokenResponse(upstream traffic.Upstream, callID string, fingerprint suspect.Fingerprint) {
	select {
	case n.brokenResponses <- brokenResponse{upstream: upstream, callID: callID, fingerprint: fingerprint}:
	default:
		n.Log.Warn().Str(logline.FieldRequest, callID).Str("Upstream", upstream.ID).Msg("CrashCheckDropped")
	}
}

// runCrashDetection checks broken responses.
func (n *Node) runCrashDetection(ctx context.Context) error {
	for {
		select {
		case first := <-n.brokenResponses:
			pause.For(ctx, crashSettleTime)
			n.detectCrashes(ctx, first)
		case <-ctx.Done():
			return nil
		}
	}
}

// maxOthersProbed bounds the other upstreams that are probed to distinguish a crash from lost links.
const maxOthersProbed = 3

// isCutOff reports whether this instance reaches none of some other upstreams either. Links that are reset refuse
// connections like an upstream that has crashed, and if the peers have lost theirs too, they cannot distinguish the two. Crashes
// that are counted by mistake get the requests of innocent callers refused.
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

// detectCrashes counts a crash for all requests with broken responses whose upstreams refuse connections.
func (n *Node) detectCrashes(ctx context.Context, first brokenResponse) {
	broken := map[string][]brokenResponse{first.upstream.ID: {first}}
	for more := true; more; {
		select {
		case next := <-n.brokenResponses:
			broken[next.upstream.ID] = append(broken[next.upstream.ID], next)
		default:
			more = false
		}
	}
	for id, responses := range broken {
		upstream := responses[len(responses)-1].upstream
		began := time.Now()
		refused := n.refusesConnections(ctx, upstream)
		cutOff := refused && n.isCutOff(ctx, id)
		n.Log.Info().Str("Upstream", id).Int("Requests", len(responses)).Bool("Refused", refused).Bool("CutOff", cutOff).
			Int64("TookMillis", time.Since(began).Milliseconds()).Msg("CrashChecked")
		if refused && !cutOff {
			n.recordCrash(upstream, responses)
		}
	}
}

// recordCrash counts a crash of an upstream for the requests that were in flight there.
func (n *Node) recordCrash(upstream traffic.Upstream, responses []brokenResponse) {
	var fingerprints []suspect.Fingerprint
	for _, response := range responses {
		fingerprints = append(fingerprints, response.fingerprint)
	}
	counts := make(map[suspect.Fingerprint]int)
	now := time.Now()
	n.sharedState.WithLock(func(state *serve.SharedState) {
		state.Suspects.RecordCrash(now, suspect.CrashOf(upstream.Life()), fingerprints)
		state.Pool.RecordCrash(now, upstream)
		for _, fingerprint := range fingerprints {
			counts[fingerprint] = state.Suspects.Crashes(fingerprint)
		}
	})
	n.Log.Warn().Str("Upstream", upstream.ID).Int("Requests", len(fingerprints)).Msg("UpstreamCrashed")
	for _, response := range responses {
		n.Log.Warn().Str(logline.FieldRequest, response.callID).Str("Upstream", upstream.ID).
			Str("Fingerprint", string(response.fingerprint)).Int("Crashes", counts[response.fingerprint]).Msg("InFlightAtCrash")
	}
	n.overlay.requestStateSend()
}
