package mesh

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lacewingrock.example/lacewingrock/internal/wire/meshpb"
)

// connect.go carries a connection to an upstream over a gRPC stream, for an instance that has lost its own link there.

// maxDataBytes is the most data in one message.
const maxDataBytes = 32 << 10

// ErrNotConnected means that the peer did not connect to the upstream, so that nothing was sent there.
var ErrNotConnected = errors.New("mesh: the peer is not connected to the upstream")

// Connect connects to an upstream through the peer at address. The context bounds the time until the connection is
// open. The error wraps syscall.ECONNREFUSED if the peer found that nothing listens there.
func (p *Peers) Connect(ctx context.Context, address string, request ConnectRequest) (_ net.Conn, err error) {
	defer func() { err = errors.WithMessage(err, "mesh: connect") }()
	client, err := p.client(address)
	if err != nil {
		return nil, err
	}
	// The stream outlives ctx, which ends when the connection is open.
	streamCtx, end := context.WithCancel(context.Background())
	stopWaiting := context.AfterFunc(ctx, end)
	stream, err := openConnection(streamCtx, client, request)
	if err == nil && !stopWaiting() {
		err = ctx.Err()
	}
	if err != nil {
		end()
		return nil, err
	}
	return &peerConnection{stream: stream, end: end, peer: address, upstream: request.Upstream}, nil
}

// openConnection sends the request and waits for the verdict.
func openConnection(ctx context.Context, client meshpb.MeshClient, request ConnectRequest) (connectStream, error) {
	stream, err := client.Connect(ctx)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(&meshpb.ConnectRequest{Upstream: request.Upstream, Instance: request.Instance, Request: request.CallID}); err != nil {
		return nil, err
	}
	reply, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	switch reply.GetVerdict() {
	case meshpb.ConnectVerdict_CONNECT_VERDICT_CONNECTED:
		return stream, nil
	case meshpb.ConnectVerdict_CONNECT_VERDICT_REFUSED:
		return nil, errors.Wrap(syscall.ECONNREFUSED, ErrNotConnected.Error())
	}
	return nil, ErrNotConnected
}

type connectStream = grpc.BidiStreamingClient[meshpb.ConnectRequest, meshpb.ConnectReply]

// peerConnection is a connection to an upstream through a peer. It has no deadlines of its own: HTTP clients bound the
// time of a request by its context.
type peerConnection struct {
	stream   connectStream
	end      context.CancelFunc
	peer     string
	upstream string
	// received is data that was received and not read yet.
	received []byte
}

// Read returns io.EOF only if the upstream closed the connection in order. A response without a length that is cut must
// not look complete.
func (c *peerConnection) Read(p []byte) (n int, err error) {
	for len(c.received) == 0 {
		reply, err := c.stream.Recv()
		if errors.Is(err, io.EOF) {
			return 0, io.EOF
		}
		if err != nil {
			return 0, errors.WithMessage(err, "mesh: read from upstream")
		}
		c.received = reply.GetData()
	}
	n = copy(p, c.received)
	c.received = c.received[n:]
	return n, nil
}

// Write sends data to the upstream.
func (c *peerConnection) Write(p []byte) (n int, err error) {
	for n < len(p) {
		data := p[n:min(n+maxDataBytes, len(p))]
		if err := c.stream.Send(&meshpb.ConnectRequest{Data: data}); err != nil {
			return n, errors.WithMessage(err, "mesh: write to upstream")
		}
		n += len(data)
	}
	return n, nil
}

// Close ends the stream. The peer closes its connection to the upstream at once.
func (c *peerConnection) Close() error {
	c.end()
	return nil
}

// LocalAddr returns the address of the peer, which is this end as the upstream sees it.
func (c *peerConnection) LocalAddr() net.Addr { return name(c.peer) }

// RemoteAddr returns the name of the upstream.
func (c *peerConnection) RemoteAddr() net.Addr { return name(c.upstream) }

// SetDeadline is not supported.
func (*peerConnection) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline is not supported.
func (*peerConnection) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline is not supported.
func (*peerConnection) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }

// name is the address of an end of a peerConnection.
type name string

// Network returns the name of the protocol.
func (name) Network() string { return "mesh" }

// String returns the address.
func (n name) String() string { return string(n) }

// ForwardStatement sends the peer at address what an upstream has stated in a response that the peer has carried.
func (p *Peers) ForwardStatement(ctx context.Context, address string, statement Statement) (err error) {
	defer func() { err = errors.WithMessage(err, "mesh: forward statement") }()
	client, err := p.client(address)
	if err != nil {
		return err
	}
	_, err = client.ForwardStatement(ctx, &meshpb.StatementRequest{
		Upstream: statement.Upstream, Instance: statement.Instance, Request: statement.CallID,
		RetryAfterMillis: statement.RetryAfter.Milliseconds(), Leaving: statement.Leaving,
	})
	return err
}

// ---------------------------------------------------------------------------------------------

// Connect serves a connection for a peer until either end closes it.
func (s service) Connect(stream grpc.BidiStreamingServer[meshpb.ConnectRequest, meshpb.ConnectReply]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	request := ConnectRequest{Upstream: first.GetUpstream(), Instance: first.GetInstance(), CallID: first.GetRequest()}
	connection, err := s.handler.Connect(stream.Context(), request)
	if err != nil {
		verdict := meshpb.ConnectVerdict_CONNECT_VERDICT_UNREACHED
		if errors.Is(err, syscall.ECONNREFUSED) {
			verdict = meshpb.ConnectVerdict_CONNECT_VERDICT_REFUSED
		}
		return stream.Send(&meshpb.ConnectReply{Verdict: verdict})
	}
	defer connection.Close()
	if err := stream.Send(&meshpb.ConnectReply{Verdict: meshpb.ConnectVerdict_CONNECT_VERDICT_CONNECTED}); err != nil {
		return err
	}
	toUpstream := upstreamWriter{stream: stream, connection: connection}
	go toUpstream.run()
	return sendFromUpstream(stream, connection)
}

// upstreamWriter carries the data of a peer to an upstream.
type upstreamWriter struct {
	stream     grpc.BidiStreamingServer[meshpb.ConnectRequest, meshpb.ConnectReply]
	connection net.Conn
}

// run writes until the peer closes the connection or the upstream takes no more. It then closes the connection to the
// upstream, so that the upstream ends the request of a caller who has left.
func (w upstreamWriter) run() {
	defer w.connection.Close()
	for {
		request, err := w.stream.Recv()
		if err != nil {
			return
		}
		if _, err := w.connection.Write(request.GetData()); err != nil {
			return
		}
	}
}

// sendFromUpstream sends what the upstream sends. It returns no error if the upstream closed the connection in order.
func sendFromUpstream(stream grpc.BidiStreamingServer[meshpb.ConnectRequest, meshpb.ConnectReply], connection net.Conn) error {
	buffer := make([]byte, maxDataBytes)
	for {
		n, err := connection.Read(buffer)
		if n > 0 {
			if err := stream.Send(&meshpb.ConnectReply{Data: buffer[:n]}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return status.Error(codes.Aborted, err.Error())
		}
	}
}

// ForwardStatement receives what an upstream has stated in a response that was carried for a peer.
func (s service) ForwardStatement(_ context.Context, wire *meshpb.StatementRequest) (*meshpb.StatementReply, error) {
	s.handler.RecordStatement(Statement{
		Upstream: wire.GetUpstream(), Instance: wire.GetInstance(), CallID: wire.GetRequest(),
		RetryAfter: time.Duration(wire.GetRetryAfterMillis()) * time.Millisecond, Leaving: wire.GetLeaving(),
	})
	return &meshpb.StatementReply{}, nil
}
