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

// peer_calls.go makes the calls to other members, or answers them here when this instance is the one
// that is asked: a duty may lie with any member, and nobody has to know with which.

// fleet calls members.
type fleet struct {
	daemon *Daemon
	own    handler
}

// errNoBroker means that the head lists no member.
var errNoBroker = errors.New("daemon: no load broker")

func (f fleet) isSelf(member head.Member) bool {
	return member.Incarnation == f.daemon.self.Incarnation
}

// Place asks a holder for a place.
func (f fleet) Place(ctx context.Context, member head.Member, request peer.PlaceRequest) (peer.Placement, error) {
	if f.isSelf(member) {
		return f.own.Place(ctx, request), nil
	}
	return f.daemon.directory.Place(ctx, member.Address, request)
}

// Release ends a pin.
func (f fleet) Release(ctx context.Context, member head.Member, request peer.ReleaseRequest) error {
	if f.isSelf(member) {
		f.own.Release(request)
		return nil
	}
	return f.daemon.directory.Release(ctx, member.Address, request)
}

// BorrowTokens asks a member for a loan.
func (f fleet) BorrowTokens(ctx context.Context, member head.Member, request peer.TokenRequest) (rate.Loan, error) {
	return f.daemon.directory.BorrowTokens(ctx, member.Address, request)
}

// Pins asks a member for its pins.
func (f fleet) Pins(ctx context.Context, member head.Member, upstream string, epoch int64) (peer.PinList, error) {
	if f.isSelf(member) {
		return f.own.Pins(upstream, epoch), nil
	}
	return f.daemon.directory.Pins(ctx, member.Address, upstream, epoch)
}

// PermitLoad asks the load broker.
func (f fleet) PermitLoad(ctx context.Context, asked broker.PermitRequested) (peer.LoadPermit, error) {
	member, found := membership.Broker(f.daemon.repository.Current().Head)
	if !found {
		return peer.LoadPermit{}, errNoBroker
	}
	if f.isSelf(member) {
		return f.own.PermitLoad(ctx, asked), nil
	}
	return f.daemon.directory.PermitLoad(ctx, member.Address, asked)
}

// EndLoad tells the load broker that a load has ended.
func (f fleet) EndLoad(ctx context.Context, load broker.Load, unused bool) error {
	member, found := membership.Broker(f.daemon.repository.Current().Head)
	if !found {
		return errNoBroker
	}
	if f.isSelf(member) {
		f.own.EndLoad(load, unused)
		return nil
	}
	return f.daemon.directory.EndLoad(ctx, member.Address, load, unused)
}
