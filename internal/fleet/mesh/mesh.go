package mesh

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"lacewingrock.example/lacewingrock/internal/fleet/link"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/wire/meshpb"
)

// mesh.go makes and serves the peers' calls.

// NewServer makes the server of the peers' calls.
func NewServer(handler Handler) *grpc.Server {
	server := link.NewServer(insecure.NewCredentials())
	meshpb.RegisterMeshServer(server, service{handler: handler, packer: &packer{}})
	return server
}

type service struct {
	meshpb.UnimplementedMeshServer
	handler Handler
	packer  *packer
}

func (s service) Gossip(stream grpc.BidiStreamingServer[meshpb.GossipMessage, meshpb.GossipMessage]) error {
	return s.handler.Gossip(stream.Context(), streamOf{wire: stream})
}

func (s service) Report(_ context.Context, wire *meshpb.LoadReport) (*meshpb.HeldReport, error) {
	report := LoadReport{Instance: wire.GetInstance(), Loads: loadsFromWire(wire.GetLoads())}
	return heldToWire(s.handler.Report(report)), nil
}

func (s service) CatchUp(_ context.Context, wire *meshpb.CatchUpRequest) (*meshpb.CatchUpReply, error) {
	return s.packer.reply(s.handler.CatchUp(wire.GetAfter()))
}

func (s service) Prepare(ctx context.Context, wire *meshpb.PrepareRequest) (*meshpb.PrepareReply, error) {
	return preparedToWire(s.handler.Prepare(ctx, prepareFromWire(wire))), nil
}

// ---------------------------------------------------------------------------------------------

// Peers makes calls by address. Set Links.Credentials before the first call.
type Peers struct{ link.Links }

// Gossip opens a link, which lasts until the context ends or the peer has enough of it.
func (p *Peers) Gossip(ctx context.Context, address string) (_ Stream, err error) {
	defer func() { err = errors.WithMessage(err, "mesh: gossip") }()
	client, err := p.client(address)
	if err != nil {
		return nil, err
	}
	stream, err := client.Gossip(ctx)
	if err != nil {
		return nil, err
	}
	return streamOf{wire: stream}, nil
}

// Report sends a holder what is in flight at its upstreams, and gives what others have there. A connection on which
// reports time out one after the other is replaced.
func (p *Peers) Report(ctx context.Context, address string, report LoadReport) (HeldReport, error) {
	answer, err := p.Query(ctx, address, report)
	p.RecordHeartbeat(address, err)
	return answer, err
}

// Query is a Report with little time for the answer. One that comes late says nothing of the connection.
func (p *Peers) Query(ctx context.Context, address string, report LoadReport) (_ HeldReport, err error) {
	defer func() { err = errors.WithMessage(err, "mesh: report") }()
	client, err := p.client(address)
	if err != nil {
		return HeldReport{}, err
	}
	wire, err := client.Report(ctx, &meshpb.LoadReport{Instance: report.Instance, Loads: loadsToWire(report.Loads)})
	if err != nil {
		return HeldReport{}, err
	}
	return heldFromWire(wire), nil
}

// CatchUp asks a peer for the changes after a revision. The answer is compressed: a configuration of thousands of
// routes shrinks to a tenth, and each instance fetches it over a link of about a megabyte a second.
func (p *Peers) CatchUp(ctx context.Context, address string, after int64) (_ replica.Batch, err error) {
	defer func() { err = errors.WithMessage(err, "mesh: catch up") }()
	client, err := p.client(address)
	if err != nil {
		return replica.Batch{}, err
	}
	wire, err := client.CatchUp(ctx, &meshpb.CatchUpRequest{After: after})
	if err != nil {
		return replica.Batch{}, err
	}
	return batchFromWire(wire)
}

// Prepare asks the holder at address for an adapter and waits for it.
func (p *Peers) Prepare(ctx context.Context, address string, request PrepareRequest) (_ PrepareResult, err error) {
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
	connection, err := p.Connection(address)
	if err != nil {
		return nil, err
	}
	return meshpb.NewMeshClient(connection), nil
}

// wireStream is either end of the library's stream.
type wireStream interface {
	Send(message *meshpb.GossipMessage) error
	Recv() (*meshpb.GossipMessage, error)
}

type streamOf struct{ wire wireStream }

// Send sends a message.
func (s streamOf) Send(message Message) error { return s.wire.Send(messageToWire(message)) }

// Receive waits for a message.
func (s streamOf) Receive() (Message, error) {
	wire, err := s.wire.Recv()
	if err != nil {
		return Message{}, err
	}
	return messageFromWire(wire), nil
}
