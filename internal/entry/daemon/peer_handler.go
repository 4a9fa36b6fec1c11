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

// peer_handler.go answers what other members ask.

// handler serves the peers' calls.
type handler struct {
	daemon *Daemon
}

var _ peer.Handler = handler{}

// Heartbeat takes in a heartbeat and answers it.
func (h handler) Heartbeat(beat peer.Heartbeat) peer.Heartbeat {
	d := h.daemon
	sender := rate.Identity{Name: beat.Instance, Incarnation: beat.Incarnation}
	d.ledger.ApplyReturns(sender, beat.Returns)
	d.tracker.RecordHeartbeat(freshness.Member{Name: beat.Instance, Incarnation: beat.Incarnation}, beat.Revision)
	d.learn(time.Now(), beat)
	ctx, cancel := context.WithTimeout(context.Background(), beatWithin)
	defer cancel()
	return d.beat(ctx)
}

// LendTokens lends what this instance's share has.
func (h handler) LendTokens(request peer.TokenRequest) rate.Loan {
	if request.SpareOnly {
		return h.daemon.ledger.LendSpare(request.Workspace, request.Tokens, request.Borrower)
	}
	return h.daemon.ledger.Lend(request.Workspace, request.Tokens, request.Borrower)
}

// Place waits for a place on an upstream held here.
func (h handler) Place(ctx context.Context, request peer.PlaceRequest) peer.Placement {
	return h.daemon.holding.Place(ctx, request)
}

// Release ends a pin on an upstream held here.
func (h handler) Release(request peer.ReleaseRequest) {
	h.daemon.holding.Release(context.Background(), request.Upstream, request.Released)
}

// Pins lists this instance's pins on an upstream.
func (h handler) Pins(upstream string, epoch int64) peer.PinList {
	d := h.daemon
	pins, noted := d.pipeline.Pins.ForUpstream(upstream, epoch)
	return peer.PinList{Instance: d.self.Name, Incarnation: d.self.Incarnation, EpochInstalled: noted, Pins: pins}
}

// PermitLoad asks the load broker here. Another instance may believe itself to be the broker as well
// while heads change; then for some seconds the weight store is asked for a few loads more.
func (h handler) PermitLoad(ctx context.Context, asked broker.PermitRequested) peer.LoadPermit {
	return h.daemon.brokering.Permit(ctx, asked)
}

// EndLoad tells the load broker here that a load has ended.
func (h handler) EndLoad(load broker.Load, unused bool) {
	h.daemon.brokering.End(context.Background(), load, unused)
}

// BurnCounts are this instance's counts.
func (h handler) BurnCounts() []burn.Count {
	return h.daemon.burn.Counts()
}
