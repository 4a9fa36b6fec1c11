package mesh

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"lacewingrock.example/lacewingrock/internal/fleet/link"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/wire/meshpb"
)

// mesh.go contains the client and the server of the Mesh service.

// NewServer creates the gRPC server for calls from peers.
func NewServer(handler Handler) *grpc.Server {
	server := link.NewServer(insecure.NewCredentials())
	meshpb.RegisterMeshServer(server, service{handler: handler, compressor: &batchCompressor{}})
	return server
}

type service struct {
	meshpb.UnimplementedMeshServer
	handler    Handler
	compressor *batchCompressor
}

func (s service) Gossip(stream grpc.BidiStreamingServer[meshpb.GossipMessage, meshpb.GossipMessage]) error {
	return s.handler.Gossip(stream.Context(), wireGossipStream{wire: stream})
}

func (s service) Report(_ context.Context, wire *meshpb.LoadReport) (*meshpb.HeldReport, error) {
	report := LoadReport{
		Instance: wire.GetInstance(), Loads: loadsFromWire(wire.GetLoads()), Limits: limitsFromWire(wire.GetLimits()),
		Doubted: livesFromWire(wire.GetDoubted()), Paces: pacesFromWire(wire.GetPaces()),
		Memory: pool.MemoryStatement{Sequence: wire.GetMemorySequence(), Asks: wire.GetMemoryAsks(), Upstreams: wire.GetMemoryUpstreams()},
	}
	return heldToWire(s.handler.Report(report)), nil
}

func (s service) CatchUp(_ context.Context, wire *meshpb.CatchUpRequest) (*meshpb.CatchUpReply, error) {
	return s.compressor.reply(s.handler.CatchUp(wire.GetAfter()))
}

func (s service) Prepare(ctx context.Context, wire *meshpb.PrepareRequest) (*meshpb.PrepareReply, error) {
	return prepareResultToWire(s.handler.Prepare(ctx, prepareFromWire(wire))), nil
}

// ---------------------------------------------------------------------------------------------

// Peers calls peers by address. Set the fields of Links before the first call.
type Peers struct{ link.Links }

// Gossip opens a link. It stays open until the context ends or the peer closes it.
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
	return wireGossipStream{wire: stream}, nil
}

// Report sends a holder what this instance has in flight at its upstreams, and returns what the other instances have in
// flight there. After consecutive failed reports the connection is replaced.
func (p *Peers) Report(ctx context.Context, address string, report LoadReport) (HeldReport, error) {
	held, err := p.Query(ctx, address, report)
	p.RecordHeartbeat(address, err)
	return held, err
}

// Query is Report for callers with a short deadline. A time-out does not count as a failure of the connection.
func (p *Peers) Query(ctx context.Context, address string, report LoadReport) (_ HeldReport, err error) {
	defer func() { err = errors.WithMessage(err, "mesh: report") }()
	client, err := p.client(address)
	if err != nil {
		return HeldReport{}, err
	}
	wire, err := client.Report(ctx, &meshpb.LoadReport{
		Instance: report.Instance, Loads: loadsToWire(report.Loads), Limits: limitsToWire(report.Limits),
		Doubted: livesToWire(report.Doubted), Paces: pacesToWire(report.Paces),
		MemorySequence: report.Memory.Sequence, MemoryAsks: report.Memory.Asks, MemoryUpstreams: report.Memory.Upstreams,
	})
	if err != nil {
		return HeldReport{}, err
	}
	return heldFromWire(wire), nil
}

// CatchUp requests the changes after a revision from a peer. The response is compressed: a configuration of thousands of
// routes shrinks to a tenth, and each instance fetches it over a link of about 1 MB/s.
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

// ---------------------------------------------------------------------------------------------

func (p *Peers) client(address string) (meshpb.MeshClient, error) {
	connection, err := p.Connection(address)
	if err != nil {
		return nil, err
	}
	return meshpb.NewMeshClient(connection), nil
}

// wireStream is the part of a gRPC stream that both its client end and its server end have.
type wireStream interface {
	Send(message *meshpb.GossipMessage) error
	Recv() (*meshpb.GossipMessage, error)
}

type wireGossipStream struct{ wire wireStream }

// Send sends a message.
func (s wireGossipStream) Send(message Message) error { return s.wire.Send(messageToWire(message)) }

// Receive waits for the next message.
func (s wireGossipStream) Receive() (Message, error) {
	wire, err := s.wire.Recv()
	if err != nil {
		return Message{}, err
	}
	return messageFromWire(wire), nil
}
