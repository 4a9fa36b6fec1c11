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

// directory.go makes the calls to peers.

// Client makes calls to peers by address. Set Links.Credentials before the first call.
type Client struct{ link.Links }

func (d *Client) client(address string) (fleetpb.FleetClient, error) {
	connection, err := d.Connection(address)
	if err != nil {
		return nil, err
	}
	return fleetpb.NewFleetClient(connection), nil
}

// ---------------------------------------------------------------------------------------------

// Ping sends a heartbeat and returns what the peer knows.
func (d *Client) Ping(ctx context.Context, address string, beat Heartbeat) (_ Heartbeat, err error) {
	defer func() { err = errors.WithMessage(err, "peer: ping") }()
	client, err := d.client(address)
	if err != nil {
		return Heartbeat{}, err
	}
	wire, err := client.Ping(ctx, beatToWire(beat))
	if err != nil {
		return Heartbeat{}, err
	}
	return beatFromWire(wire), nil
}

// BorrowTokens asks a peer for a loan. After an error tokens may have been deducted there; the lender
// takes them back once they can't be spent any more.
func (d *Client) BorrowTokens(ctx context.Context, address string, request TokenRequest) (_ rate.Loan, err error) {
	defer func() { err = errors.WithMessage(err, "peer: ask for tokens") }()
	client, err := d.client(address)
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

// Place asks the holder at address to place a request, and waits in its queue. After an error a pin
// may have been granted there; release it by the request's identity.
func (d *Client) Place(ctx context.Context, address string, request PlaceRequest) (_ Placement, err error) {
	defer func() { err = errors.WithMessage(err, "peer: place") }()
	client, err := d.client(address)
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
func (d *Client) Release(ctx context.Context, address string, request ReleaseRequest) (err error) {
	defer func() { err = errors.WithMessage(err, "peer: release") }()
	client, err := d.client(address)
	if err != nil {
		return err
	}
	_, err = client.Release(ctx, releaseToWire(request))
	return err
}

// Pins asks a member for its pins on an upstream.
func (d *Client) Pins(ctx context.Context, address, upstream string, epoch int64) (_ PinList, err error) {
	defer func() { err = errors.WithMessage(err, "peer: pins") }()
	client, err := d.client(address)
	if err != nil {
		return PinList{}, err
	}
	wire, err := client.Pins(ctx, &fleetpb.PinsRequest{Upstream: upstream, Epoch: epoch})
	if err != nil {
		return PinList{}, err
	}
	return pinsFromWire(wire), nil
}

// PermitLoad asks the load broker at address for leave to load, and waits for its answer.
func (d *Client) PermitLoad(ctx context.Context, address string, asked broker.PermitRequested) (_ LoadPermit, err error) {
	defer func() { err = errors.WithMessage(err, "peer: permit a load") }()
	client, err := d.client(address)
	if err != nil {
		return LoadPermit{}, err
	}
	wire, err := client.PermitLoad(ctx, askedToWire(asked))
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

// EndLoad tells the load broker that a load has ended, or that its permit is given back unused.
func (d *Client) EndLoad(ctx context.Context, address string, load broker.Load, unused bool) (err error) {
	defer func() { err = errors.WithMessage(err, "peer: end a load") }()
	client, err := d.client(address)
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

// BurnCounts asks a peer for its counts behind the burn report.
func (d *Client) BurnCounts(ctx context.Context, address string) (_ []burn.Count, err error) {
	defer func() { err = errors.WithMessage(err, "peer: burn counts") }()
	client, err := d.client(address)
	if err != nil {
		return nil, err
	}
	wire, err := client.Burn(ctx, &fleetpb.BurnRequest{})
	if err != nil {
		return nil, err
	}
	return burnFromWire(wire), nil
}
