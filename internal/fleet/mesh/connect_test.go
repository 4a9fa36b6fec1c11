package mesh_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/socket"
)

// openThroughPeer opens a connection through a peer and returns both ends, that of the instance and the upstream's, and
// the peer.
func openThroughPeer(t *testing.T) (instanceEnd net.Conn, upstreamEnd *net.TCPConn, peer *echo) {
	t.Helper()
	instanceEnd, upstreamEnd, peer, _, _ = openWithPeers(t)
	return instanceEnd, upstreamEnd, peer
}

// openWithPeers also returns the links of the instance and the address of the peer.
func openWithPeers(t *testing.T) (instanceEnd net.Conn, upstreamEnd *net.TCPConn, peer *echo, peers *mesh.Peers, address string) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	peer, peers, address = serveEcho(t)
	peer.connection, err = socket.Dialer(time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	accepted, err := listener.Accept()
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	instanceEnd, err = peers.Connect(ctx, address, mesh.ConnectRequest{Upstream: "u", Instance: "i", CallID: "id"})
	is.NoErr(err)
	cancel() // bounds the opening only
	is.Equal(peer.connectRequest, mesh.ConnectRequest{Upstream: "u", Instance: "i", CallID: "id"})
	return instanceEnd, accepted.(*net.TCPConn), peer, peers, address
}

// Guards against a response of an upstream that is cut on the way through a peer and looks complete to the caller.
func TestConnectionThroughAPeerEndsAsTheUpstreamEndsIt(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(upstream *net.TCPConn, peer *echo)
		err  error
	}{
		{"closed", func(upstream *net.TCPConn, _ *echo) { upstream.Close() }, io.EOF},
		{"reset", func(upstream *net.TCPConn, _ *echo) { _ = upstream.SetLinger(0); upstream.Close() }, nil},
		{"the peer ends", func(_ *net.TCPConn, peer *echo) { peer.server.Stop() }, nil},
		{"the peer closes its connection", func(_ *net.TCPConn, peer *echo) { peer.connection.Close() }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			instance, upstream, peer := openThroughPeer(t)
			defer instance.Close()
			sent := make([]byte, 200<<10)
			for i := range sent {
				sent[i] = byte(i * 7)
			}
			go func() { _, _ = instance.Write(sent) }()
			received := make([]byte, len(sent))
			_, err := io.ReadFull(upstream, received)
			is.NoErr(err)
			is.Equal(received, sent)
			_, err = upstream.Write([]byte("answer"))
			is.NoErr(err)
			_, err = io.ReadFull(instance, received[:6])
			is.NoErr(err)
			is.Equal(string(received[:6]), "answer")
			c.end(upstream, peer)
			_, err = instance.Read(received)
			is.Equal(errors.Is(err, io.EOF), errors.Is(c.err, io.EOF))
			is.True(err != nil)
		})
	}
}

// Guards against a part of a response that looks complete to the caller of an instance which sends through a peer: the upstream
// resets the connection while the request is being written.
func TestResetDuringAnUploadThroughAPeerIsNoEnd(t *testing.T) {
	const uploadBytes = 16 << 20 // more than the buffers of the connections take
	for range 10 {
		is := is.New(t)
		instance, upstream, _ := openThroughPeer(t)
		go func() { _, _ = instance.Write(make([]byte, uploadBytes)) }()
		_, err := upstream.Write([]byte("part"))
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond)
		_ = upstream.SetLinger(0)
		upstream.Close()
		_, err = io.ReadAll(instance)
		is.True(err != nil)
		instance.Close()
	}
}

// Guards against an upstream that works on for a caller who has left an instance that sends through a peer.
func TestClosingAConnectionThroughAPeerReachesTheUpstream(t *testing.T) {
	is := is.New(t)
	instance, upstream, _ := openThroughPeer(t)
	is.NoErr(instance.Close())
	is.NoErr(upstream.SetReadDeadline(time.Now().Add(500 * time.Millisecond)))
	_, err := upstream.Read(make([]byte, 1))
	is.True(err != nil && !errors.Is(err, context.DeadlineExceeded))
	var timeout net.Error
	is.True(!errors.As(err, &timeout) || !timeout.Timeout())
}

// Guards against a peer that sends on to an upstream which wants nothing from it, because only the instance for which it
// carries a response reads the upstream's statement.
func TestPeerGetsTheUpstreamsStatement(t *testing.T) {
	is := is.New(t)
	peer, peers, address := serveEcho(t)
	statement := mesh.Statement{Upstream: "u", Instance: "i", CallID: "id", RetryAfter: 1500 * time.Millisecond, Leaving: true}
	is.NoErr(peers.ForwardStatement(t.Context(), address, statement))
	is.Equal(<-peer.statements, statement)
}

// Guards against a request that counts as one that may have run although the peer opened no connection for it, and
// against crashes of an upstream that are not seen by an instance which has lost its own link.
func TestPeerThatCannotConnectSaysWhy(t *testing.T) {
	for _, c := range []struct {
		name    string
		err     error
		refused bool
	}{
		{"link lost", errors.New("no path"), false},
		{"nothing listens", errors.Wrap(syscall.ECONNREFUSED, "dial"), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			peer, peers, address := serveEcho(t)
			peer.connectError = c.err
			_, err := peers.Connect(t.Context(), address, mesh.ConnectRequest{Upstream: "u", Instance: "i"})
			is.Equal(errors.Is(err, syscall.ECONNREFUSED), c.refused)
			is.Equal(errors.Is(err, mesh.ErrNotConnected), !c.refused)
		})
	}
}
