package node

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// losses.go finds out whether an upstream crashed when an answer of it broke. A request that crashes each
// upstream that runs it comes again and again; all instances count the crashes that a request was in
// flight at. A broken answer alone is no crash: answers are lost, and connections reset, without one.

const (
	// lossesKept bounds the broken answers that wait to be looked into.
	lossesKept = 64
	// lossSettle is how long after a broken answer the upstream is tried: a crash takes all its requests
	// with it, and all of them are to be counted at once.
	lossSettle = 15 * time.Millisecond
	// lossDial bounds the try.
	lossDial = 150 * time.Millisecond
)

// loss is a request whose answer broke.
type loss struct {
	upstream    traffic.Upstream
	fingerprint suspect.Fingerprint
}

// Broke is told that an answer broke with its connection.
func (n *Node) Broke(upstream traffic.Upstream, fingerprint suspect.Fingerprint) {
	select {
	case n.losses <- loss{upstream: upstream, fingerprint: fingerprint}:
	default:
		n.Log.Warn().Str("Upstream", upstream.ID).Msg("LossNotLookedInto")
	}
}

// runLosses looks into broken answers.
func (n *Node) runLosses(ctx context.Context) error {
	for {
		select {
		case first := <-n.losses:
			pause.For(ctx, lossSettle)
			n.lookInto(ctx, first)
		case <-ctx.Done():
			return nil
		}
	}
}

// lookInto counts a crash for all requests that broke at upstreams where nothing listens any more.
func (n *Node) lookInto(ctx context.Context, first loss) {
	broken := map[string][]suspect.Fingerprint{first.upstream.ID: {first.fingerprint}}
	addresses := map[string]string{first.upstream.ID: first.upstream.Address}
	for more := true; more; {
		select {
		case next := <-n.losses:
			broken[next.upstream.ID] = append(broken[next.upstream.ID], next.fingerprint)
			addresses[next.upstream.ID] = next.upstream.Address
		default:
			more = false
		}
	}
	for id, fingerprints := range broken {
		if !isDown(ctx, addresses[id]) {
			continue
		}
		now := time.Now()
		n.advice.With(func(a *serve.Advice) {
			a.Suspects.RecordCrash(now, fingerprints)
			a.Pool.Crashed(now, id)
		})
		n.Log.Warn().Str("Upstream", id).Int("Requests", len(fingerprints)).Msg("UpstreamCrashed")
		n.overlay.urge()
	}
}

// dial makes a connection to an upstream just to see whether that can be done.
func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: lossDial}
	return dialer.DialContext(ctx, "tcp", address)
}

// isDown tells whether nothing listens at the address.
func isDown(ctx context.Context, address string) bool {
	connection, err := dial(ctx, address)
	if err == nil {
		connection.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
