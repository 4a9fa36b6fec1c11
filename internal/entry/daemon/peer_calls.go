package daemon

import (
	"context"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/fleet/membership"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
	"lacewingrock.example/lacewingrock/internal/placement/broker"
)

// peer_calls.go calls other members. If this instance is the one to be called, it handles the call locally: any
// member may have a duty, and the code that needs it does not check which.

// peerClient calls members.
type peerClient struct {
	daemon *Daemon
	local  handler
}

// errNoBroker means that the head lists no members, so that none is the load broker.
var errNoBroker = errors.New("daemon: no load broker")

func (c peerClient) isSelf(member head.Member) bool {
	return member.Incarnation == c.daemon.self.Incarnation
}

// Place requests a batch slot from a holder.
func (c peerClient) Place(ctx context.Context, member head.Member, request peer.PlaceRequest) (peer.Placement, error) {
	if c.isSelf(member) {
		return c.local.Place(ctx, request), nil
	}
	return c.daemon.peerRPC.Place(ctx, member.Address, request)
}

// Release releases a pin.
func (c peerClient) Release(ctx context.Context, member head.Member, request peer.ReleaseRequest) error {
	if c.isSelf(member) {
		c.local.Release(request)
		return nil
	}
	return c.daemon.peerRPC.Release(ctx, member.Address, request)
}

// BorrowTokens requests a loan of tokens from a member.
func (c peerClient) BorrowTokens(ctx context.Context, member head.Member, request peer.TokenRequest) (rate.Loan, error) {
	return c.daemon.peerRPC.BorrowTokens(ctx, member.Address, request)
}

// Pins returns the pins of a member on an upstream.
func (c peerClient) Pins(ctx context.Context, member head.Member, upstream string, epoch int64) (peer.PinList, error) {
	if c.isSelf(member) {
		return c.local.Pins(upstream, epoch), nil
	}
	return c.daemon.peerRPC.Pins(ctx, member.Address, upstream, epoch)
}

// PermitLoad requests a permit for a load from the load broker.
func (c peerClient) PermitLoad(ctx context.Context, request broker.PermitRequested) (peer.LoadPermit, error) {
	member, found := membership.Broker(c.daemon.repository.Current().Head)
	if !found {
		return peer.LoadPermit{}, errNoBroker
	}
	if c.isSelf(member) {
		return c.local.PermitLoad(ctx, request), nil
	}
	return c.daemon.peerRPC.PermitLoad(ctx, member.Address, request)
}

// EndLoad notifies the load broker that a load has ended.
func (c peerClient) EndLoad(ctx context.Context, load broker.Load, unused bool) error {
	member, found := membership.Broker(c.daemon.repository.Current().Head)
	if !found {
		return errNoBroker
	}
	if c.isSelf(member) {
		c.local.EndLoad(load, unused)
		return nil
	}
	return c.daemon.peerRPC.EndLoad(ctx, member.Address, load, unused)
}
