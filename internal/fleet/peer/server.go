package peer

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/placement/broker"
	"lacewingrock.example/lacewingrock/internal/placement/model"
	"lacewingrock.example/lacewingrock/internal/wire/fleetpb"
)

// server.go serves the peers' calls by handing them, as domain values, to the Handler.

// Register adds the fleet's service to a gRPC server.
func Register(server *grpc.Server, handler Handler) {
	fleetpb.RegisterFleetServer(server, service{handler: handler})
}

type service struct {
	fleetpb.UnimplementedFleetServer
	handler Handler
}

func (s service) Ping(_ context.Context, wire *fleetpb.Beat) (*fleetpb.Beat, error) {
	return beatToWire(s.handler.Heartbeat(beatFromWire(wire))), nil
}

func (s service) Transfer(_ context.Context, wire *fleetpb.TransferRequest) (*fleetpb.TransferReply, error) {
	loan := s.handler.LendTokens(TokenRequest{
		Workspace: wire.GetWorkspace(),
		Tokens:    wire.GetTokens(),
		Borrower:  rate.Identity{Name: wire.GetInstance(), Incarnation: wire.GetIncarnation()},
		SpareOnly: wire.GetSpare(),
	})
	return &fleetpb.TransferReply{
		Tokens:      loan.Tokens,
		Loan:        loan.ID,
		Instance:    loan.Lender.Name,
		Incarnation: loan.Lender.Incarnation,
		Left:        loan.LenderLevel,
	}, nil
}

func (s service) Acquire(ctx context.Context, wire *fleetpb.AcquireRequest) (*fleetpb.AcquireReply, error) {
	return placementToWire(s.handler.Place(ctx, placeFromWire(wire, time.Now()))), nil
}

func (s service) Release(_ context.Context, wire *fleetpb.ReleaseRequest) (*fleetpb.ReleaseReply, error) {
	s.handler.Release(releaseFromWire(wire))
	return &fleetpb.ReleaseReply{}, nil
}

func (s service) Pins(_ context.Context, wire *fleetpb.PinsRequest) (*fleetpb.PinsReply, error) {
	return pinsToWire(s.handler.Pins(wire.GetUpstream(), wire.GetEpoch())), nil
}

func (s service) PermitLoad(ctx context.Context, wire *fleetpb.PermitLoadRequest) (*fleetpb.PermitLoadReply, error) {
	permit := s.handler.PermitLoad(ctx, askedFromWire(wire))
	return &fleetpb.PermitLoadReply{
		Granted:          permit.Granted,
		UseWithinMillis:  permit.UseWithin.Milliseconds(),
		RetryAfterMillis: permit.RetryAfter.Milliseconds(),
		Replaced:         permit.Replaced,
	}, nil
}

func (s service) EndLoad(_ context.Context, wire *fleetpb.EndLoadRequest) (*fleetpb.EndLoadReply, error) {
	s.handler.EndLoad(broker.Load{
		Upstream: wire.GetUpstream(),
		Model:    model.Reference{Adapter: wire.GetAdapter(), Version: wire.GetVersion()},
	}, wire.GetUnused())
	return &fleetpb.EndLoadReply{}, nil
}

func (s service) Burn(context.Context, *fleetpb.BurnRequest) (*fleetpb.BurnReply, error) {
	return burnToWire(s.handler.BurnCounts()), nil
}
