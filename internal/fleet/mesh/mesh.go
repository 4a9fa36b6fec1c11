package mesh

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding/gzip"

	"lacewingrock.example/lacewingrock/internal/fleet/link"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/wire/meshpb"
)

// mesh.go makes and serves the peers' calls.

// NewServer makes the server of the peers' calls.
func NewServer(handler Handler) *grpc.Server {
	server := link.NewServer(insecure.NewCredentials())
	meshpb.RegisterMeshServer(server, service{handler: handler})
	return server
}

type service struct {
	meshpb.UnimplementedMeshServer
	handler Handler
}

func (s service) Exchange(_ context.Context, wire *meshpb.Beat) (*meshpb.Beat, error) {
	return beatToWire(s.handler.Exchange(beatFromWire(wire))), nil
}

func (s service) CatchUp(_ context.Context, wire *meshpb.CatchUpRequest) (*meshpb.CatchUpReply, error) {
	return batchToWire(s.handler.CatchUp(wire.GetAfter())), nil
}

func (s service) Prepare(ctx context.Context, wire *meshpb.PrepareRequest) (*meshpb.PrepareReply, error) {
	return preparedToWire(s.handler.Prepare(ctx, prepareFromWire(wire))), nil
}

// ---------------------------------------------------------------------------------------------

// Peers makes calls by address. Set Links.Credentials before the first call.
type Peers struct{ link.Links }

// Exchange sends a heartbeat and returns the peer's.
func (p *Peers) Exchange(ctx context.Context, address string, beat Beat) (Beat, error) {
	answer, err := p.Ask(ctx, address, beat)
	p.Heard(address, err)
	return answer, err
}

// Ask sends a beat that is a question, with little time for the answer. One that comes late says nothing of the
// connection.
func (p *Peers) Ask(ctx context.Context, address string, beat Beat) (_ Beat, err error) {
	defer func() { err = errors.WithMessage(err, "mesh: exchange") }()
	client, err := p.client(address)
	if err != nil {
		return Beat{}, err
	}
	wire, err := client.Exchange(ctx, beatToWire(beat))
	if err != nil {
		return Beat{}, err
	}
	return beatFromWire(wire), nil
}

// CatchUp asks a peer for the changes after a revision. The answer is compressed: a configuration of thousands of
// routes shrinks to a tenth, and each instance fetches it over a link of about a megabyte a second.
func (p *Peers) CatchUp(ctx context.Context, address string, after int64) (_ replica.Batch, err error) {
	defer func() { err = errors.WithMessage(err, "mesh: catch up") }()
	client, err := p.client(address)
	if err != nil {
		return replica.Batch{}, err
	}
	wire, err := client.CatchUp(ctx, &meshpb.CatchUpRequest{After: after}, grpc.UseCompressor(gzip.Name))
	if err != nil {
		return replica.Batch{}, err
	}
	return batchFromWire(wire), nil
}

// Prepare asks the holder at address for an adapter and waits for it.
func (p *Peers) Prepare(ctx context.Context, address string, request PrepareRequest) (_ Prepared, err error) {
	defer func() { err = errors.WithMessage(err, "mesh: prepare") }()
	client, err := p.client(address)
	if err != nil {
		return nil, err
	}
	wire, err := client.Prepare(ctx, prepareToWire(request))
	if err != nil {
		return nil, err
	}
	return preparedFromWire(wire), nil
}

// ---------------------------------------------------------------------------------------------

func (p *Peers) client(address string) (meshpb.MeshClient, error) {
	connection, err := p.To(address)
	if err != nil {
		return nil, err
	}
	return meshpb.NewMeshClient(connection), nil
}
