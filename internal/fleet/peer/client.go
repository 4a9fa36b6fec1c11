package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/fleet/link"
	"lacewingrock.example/lacewingrock/internal/placement/broker"
	"lacewingrock.example/lacewingrock/internal/report/burn"
	"lacewingrock.example/lacewingrock/internal/wire/fleetpb"
)

// client.go makes calls to peers.

// Client calls peers by address. Set the fields of Links before the first call.
type Client struct{ link.Links }

func (c *Client) client(address string) (fleetpb.FleetClient, error) {
	connection, err := c.Connection(address)
	if err != nil {
		return nil, err
	}
	return fleetpb.NewFleetClient(connection), nil
}

// ---------------------------------------------------------------------------------------------

// Ping sends a heartbeat and returns the peer's.
func (c *Client) Ping(ctx context.Context, address string, heartbeat Heartbeat) (_ Heartbeat, err error) {
	defer func() { err = errors.WithMessage(err, "peer: ping") }()
	client, err := c.client(address)
	if err != nil {
		return Heartbeat{}, err
	}
	wire, err := client.Ping(ctx, heartbeatToWire(heartbeat))
	if err != nil {
		return Heartbeat{}, err
	}
	return heartbeatFromWire(wire), nil
}

// BorrowTokens borrows tokens from a peer. After an error the tokens may have been deducted there; the lender takes them
// back once they can no longer be spent.
func (c *Client) BorrowTokens(ctx context.Context, address string, request TokenRequest) (_ rate.Loan, err error) {
	defer func() { err = errors.WithMessage(err, "peer: borrow tokens") }()
	client, err := c.client(address)
	if err != nil {
		return rate.Loan{}, err
	}
	wire, err := client.Transfer(ctx, &fleetpb.TransferRequest{
		Workspace:   request.Workspace,
		Tokens:      request.Tokens,
		Instance:    request.Borrower.Name,
		Incarnation: request.Borrower.Incarnation,
		Spare:       request.SpareOnly,
	})
	if err != nil {
		return rate.Loan{}, err
	}
	return rate.Loan{
		ID:          wire.GetLoan(),
		Lender:      rate.Identity{Name: wire.GetInstance(), Incarnation: wire.GetIncarnation()},
		Tokens:      wire.GetTokens(),
		LenderLevel: wire.GetLeft(),
	}, nil
}

// Place asks the holder at address to place a request, and waits in its queue. After an error a pin may have been granted
// there; release it by the ID of the request.
func (c *Client) Place(ctx context.Context, address string, request PlaceRequest) (_ Placement, err error) {
	defer func() { err = errors.WithMessage(err, "peer: place request") }()
	client, err := c.client(address)
	if err != nil {
		return nil, err
	}
	wire, err := client.Acquire(ctx, placeToWire(request, time.Now()))
	if err != nil {
		return nil, err
	}
	return placementFromWire(wire), nil
}

// Release ends a pin.
func (c *Client) Release(ctx context.Context, address string, request ReleaseRequest) (err error) {
	defer func() { err = errors.WithMessage(err, "peer: release pin") }()
	client, err := c.client(address)
	if err != nil {
		return err
	}
	_, err = client.Release(ctx, releaseToWire(request))
	return err
}

// Pins requests the list of a member's pins on an upstream.
func (c *Client) Pins(ctx context.Context, address, upstream string, epoch int64) (_ PinList, err error) {
	defer func() { err = errors.WithMessage(err, "peer: list pins") }()
	client, err := c.client(address)
	if err != nil {
		return PinList{}, err
	}
	wire, err := client.Pins(ctx, &fleetpb.PinsRequest{Upstream: upstream, Epoch: epoch})
	if err != nil {
		return PinList{}, err
	}
	return pinsFromWire(wire), nil
}

// PermitLoad requests a load permit from the load broker at address, and waits for its decision.
func (c *Client) PermitLoad(ctx context.Context, address string, request broker.PermitRequested) (_ LoadPermit, err error) {
	defer func() { err = errors.WithMessage(err, "peer: request load permit") }()
	client, err := c.client(address)
	if err != nil {
		return LoadPermit{}, err
	}
	wire, err := client.PermitLoad(ctx, permitRequestToWire(request))
	if err != nil {
		return LoadPermit{}, err
	}
	return LoadPermit{
		Granted:    wire.GetGranted(),
		UseWithin:  millis(wire.GetUseWithinMillis()),
		RetryAfter: millis(wire.GetRetryAfterMillis()),
		Replaced:   wire.GetReplaced(),
	}, nil
}

// EndLoad notifies the load broker that a load has ended, or that its permit is returned unused.
func (c *Client) EndLoad(ctx context.Context, address string, load broker.Load, unused bool) (err error) {
	defer func() { err = errors.WithMessage(err, "peer: end load") }()
	client, err := c.client(address)
	if err != nil {
		return err
	}
	_, err = client.EndLoad(ctx, &fleetpb.EndLoadRequest{
		Upstream: load.Upstream,
		Adapter:  load.Model.Adapter,
		Version:  load.Model.Version,
		Unused:   unused,
	})
	return err
}

// BurnCounts requests the counts that a peer contributes to the burn report.
func (c *Client) BurnCounts(ctx context.Context, address string) (_ []burn.Count, err error) {
	defer func() { err = errors.WithMessage(err, "peer: get burn counts") }()
	client, err := c.client(address)
	if err != nil {
		return nil, err
	}
	wire, err := client.Burn(ctx, &fleetpb.BurnRequest{})
	if err != nil {
		return nil, err
	}
	return burnFromWire(wire), nil
}
