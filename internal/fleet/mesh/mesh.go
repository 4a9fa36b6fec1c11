package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/keepalive"

	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/gateway/socket"
	"lacewingrock.example/lacewingrock/internal/wire/meshpb"
)

// mesh.go makes and serves the peers' calls.

// NewServer makes the server of the peers' calls.
func NewServer(handler Handler) *grpc.Server {
	server := grpc.NewServer(
		grpc.ConnectionTimeout(socket.HandshakeWithin),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.SharedWriteBuffer(true),
	)
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

const (
	// pingAfterIdle and pingTimeout find a connection that has gone silent while new ones work. Calls on
	// it would time out one after the other.
	pingAfterIdle = 10 * time.Second
	pingTimeout   = 1 * time.Second
	// firstRedial and longestRedial bound how late a restarted peer is heard again.
	firstRedial   = 50 * time.Millisecond
	longestRedial = 300 * time.Millisecond
	// longestAnswer bounds what a peer may answer: a whole copy of the store, with the declared versions of
	// some ten thousand adapters, is about ten megabytes.
	longestAnswer = 64 << 20
	// windowBytes is how much a peer may send ahead: a whole configuration. A window that is stated keeps the library
	// from measuring one, for which it sends a ping with each message that comes.
	windowBytes = 1 << 20
	// bufferBytes holds a usual heartbeat. The library's buffers of 32 KB, two for each connection, are several
	// megabytes at an instance with eighty peers.
	bufferBytes = 4 << 10
	// silentCalls is how many calls in a row may time out until the connection is replaced: heartbeats go
	// out several times a second, so a silent connection costs under a second.
	silentCalls = 2
)

// Peers makes calls by address. Set Credentials before the first call.
type Peers struct {
	Credentials credentials.TransportCredentials

	mutex       sync.Mutex
	connections map[string]*connection
}

type connection struct {
	client *grpc.ClientConn
	silent int
}

// Keep closes the connections to all addresses but the given ones.
func (p *Peers) Keep(addresses map[string]bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, c := range p.connections {
		if !addresses[address] {
			c.client.Close()
			delete(p.connections, address)
		}
	}
}

// Close closes all connections.
func (p *Peers) Close() { p.Keep(nil) }

// Exchange sends a heartbeat and returns the peer's.
func (p *Peers) Exchange(ctx context.Context, address string, beat Beat) (_ Beat, err error) {
	defer func() { err = errors.WithMessage(err, "mesh: exchange") }()
	client, err := p.client(address)
	if err != nil {
		return Beat{}, err
	}
	wire, err := client.Exchange(ctx, beatToWire(beat))
	p.note(address, err)
	if err != nil {
		return Beat{}, err
	}
	return beatFromWire(wire), nil
}

// Ask sends a beat that is a question, with little time for the answer. One that comes late says nothing of the
// connection.
func (p *Peers) Ask(ctx context.Context, address string, beat Beat) (_ Beat, err error) {
	defer func() { err = errors.WithMessage(err, "mesh: ask") }()
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

func (p *Peers) client(address string) (_ meshpb.MeshClient, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if c, ok := p.connections[address]; ok {
		return meshpb.NewMeshClient(c.client), nil
	}
	client, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(p.Credentials),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithSharedWriteBuffer(true),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(longestAnswer)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfterIdle, Timeout: pingTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: firstRedial, Multiplier: 2, Jitter: 0.2, MaxDelay: longestRedial},
			MinConnectTimeout: pingTimeout,
		}),
	)
	if err != nil {
		return nil, errors.WithMessage(err, "mesh: connect")
	}
	if p.connections == nil {
		p.connections = make(map[string]*connection)
	}
	p.connections[address] = &connection{client: client}
	return meshpb.NewMeshClient(client), nil
}

// note replaces a connection on which heartbeats time out one after the other.
func (p *Peers) note(address string, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c := p.connections[address]
	if c == nil {
		return
	}
	if err == nil {
		c.silent = 0
		return
	}
	c.silent++
	if c.silent >= silentCalls {
		c.client.Close()
		delete(p.connections, address)
	}
}
