package daemon

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/fleet/freshness"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
	"lacewingrock.example/lacewingrock/internal/placement/broker"
	"lacewingrock.example/lacewingrock/internal/report/burn"
)

// peer_handler.go handles the calls of other members.

// handler implements peer.Handler.
type handler struct {
	daemon *Daemon
}

var _ peer.Handler = handler{}

// Heartbeat applies a heartbeat and returns the reply.
func (h handler) Heartbeat(heartbeat peer.Heartbeat) peer.Heartbeat {
	d := h.daemon
	sender := rate.Identity{Name: heartbeat.Instance, Incarnation: heartbeat.Incarnation}
	d.ledger.ApplyReturns(sender, heartbeat.Returns)
	d.tracker.RecordHeartbeat(freshness.Member{Name: heartbeat.Instance, Incarnation: heartbeat.Incarnation}, heartbeat.Revision)
	d.applyHeartbeat(time.Now(), heartbeat)
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	return d.newHeartbeat(ctx)
}

// LendTokens lends tokens of this instance's share.
func (h handler) LendTokens(request peer.TokenRequest) rate.Loan {
	if request.SpareOnly {
		return h.daemon.ledger.LendSpare(request.Workspace, request.Tokens, request.Borrower)
	}
	return h.daemon.ledger.Lend(request.Workspace, request.Tokens, request.Borrower)
}

// Place waits for a batch slot on an upstream that this instance holds.
func (h handler) Place(ctx context.Context, request peer.PlaceRequest) peer.Placement {
	return h.daemon.holding.Place(ctx, request)
}

// Release releases a pin on an upstream that this instance holds.
func (h handler) Release(request peer.ReleaseRequest) {
	h.daemon.holding.Release(context.Background(), request.Upstream, request.Released)
}

// Pins returns this instance's pins on an upstream.
func (h handler) Pins(upstream string, epoch int64) peer.PinList {
	d := h.daemon
	pins, known := d.pipeline.Pins.ForUpstream(upstream, epoch)
	return peer.PinList{Instance: d.self.Name, Incarnation: d.self.Incarnation, EpochInstalled: known, Pins: pins}
}

// PermitLoad requests a permit from the load broker of this instance. While heads change, another instance may also
// act as broker; for some seconds the weight store then gets a few more loads.
func (h handler) PermitLoad(ctx context.Context, request broker.PermitRequested) peer.LoadPermit {
	return h.daemon.brokering.Permit(ctx, request)
}

// EndLoad notifies the load broker of this instance that a load has ended.
func (h handler) EndLoad(load broker.Load, unused bool) {
	h.daemon.brokering.End(context.Background(), load, unused)
}

// BurnCounts returns this instance's counts.
func (h handler) BurnCounts() []burn.Count {
	return h.daemon.burn.Counts()
}
