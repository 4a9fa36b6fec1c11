package mesh_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
)

// openCountListener counts the connections to a peer.
type openCountListener struct {
	net.Listener
	peer *echo
}

func (l *openCountListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.peer.accepted.Add(1)
	l.peer.open.Add(1)
	return &countedConnection{Conn: accepted, peer: l.peer}, nil
}

type countedConnection struct {
	net.Conn
	peer   *echo
	closed sync.Once
}

func (c *countedConnection) Close() error {
	c.closed.Do(func() { c.peer.open.Add(-1) })
	return c.Conn.Close()
}

// awaitOpen waits until a number of connections to a peer are open. It takes less than the time after which gRPC closes
// connections without calls itself.
func awaitOpen(t *testing.T, peer *echo, count int64) {
	t.Helper()
	const limit = time.Second
	for start := time.Now(); peer.open.Load() != count; time.Sleep(time.Millisecond) {
		if time.Since(start) > limit {
			t.Fatalf("%d connections are open after %s, not %d", peer.open.Load(), limit, count)
		}
	}
}

// Guards against a response that is cut because the connection over which it comes is replaced, against calls that go on
// using the old connection, and against connections that stay open without use.
func TestRetiredConnectionIsKeptForWhatRunsOnIt(t *testing.T) {
	for _, c := range []struct {
		name   string
		retire func(peers *mesh.Peers, address string)
	}{
		{"silent", func(peers *mesh.Peers, address string) { peers.Retire(address) }},
		{"heartbeats fail", func(peers *mesh.Peers, address string) {
			peers.RecordHeartbeat(address, io.ErrUnexpectedEOF)
			peers.RecordHeartbeat(address, io.ErrUnexpectedEOF)
		}},
		{"not in the roster", func(peers *mesh.Peers, _ string) { peers.RetireExcept(nil) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			instance, upstream, peer, peers, address := openWithPeers(t)
			c.retire(peers, address)
			_, err := peers.Query(t.Context(), address, mesh.LoadReport{})
			is.NoErr(err)
			is.Equal(peer.accepted.Load(), int64(2)) // the call uses a new connection
			c.retire(peers, address)
			awaitOpen(t, peer, 1) // nothing runs on the second one
			exchange(t, instance, upstream)
			exchange(t, upstream, instance)
			is.NoErr(instance.Close())
			awaitOpen(t, peer, 0)
		})
	}
}

// Guards against calls that keep a retired connection open for ever, and against a stop that leaves some open.
func TestRetiredConnectionIsClosedInTime(t *testing.T) {
	for _, c := range []struct {
		name     string
		lifetime time.Duration
		end      func(peers *mesh.Peers)
	}{
		{"lifetime over", 50 * time.Millisecond, func(*mesh.Peers) {}},
		{"all closed", 0, func(peers *mesh.Peers) { peers.Close() }},
		{"not a member", 0, func(peers *mesh.Peers) { peers.CloseExcept(map[string]bool{"other": true}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			instance, _, peer, peers, address := openWithPeers(t)
			defer instance.Close()
			peers.RetiredLifetime = c.lifetime
			peers.Retire(address)
			c.end(peers)
			awaitOpen(t, peer, 0)
			_, err := instance.Read(make([]byte, 1))
			is.True(err != nil && !errors.Is(err, io.EOF))
		})
	}
}

// Guards against a stream that a peer ends, or that never began, and that counts as running for ever.
func TestEndedStreamsKeepNoConnectionOpen(t *testing.T) {
	is := is.New(t)
	peer, peers, address := serveEcho(t)
	peer.connectError = io.ErrUnexpectedEOF
	_, err := peers.Connect(t.Context(), address, mesh.ConnectRequest{Upstream: "u", Instance: "i"})
	is.True(errors.Is(err, mesh.ErrNotConnected))
	peers.Retire(address)
	awaitOpen(t, peer, 0)
	peer.server.Stop()
	_, err = peers.Gossip(t.Context(), address)
	is.Equal(status.Code(err), codes.Unavailable)
	peers.Retire(address)
	awaitOpen(t, peer, 0)
}

// exchange sends data from one end of a connection to the other.
func exchange(t *testing.T, from, to net.Conn) {
	t.Helper()
	is := is.New(t)
	_, err := from.Write([]byte("data"))
	is.NoErr(err)
	received := make([]byte, len("data"))
	_, err = io.ReadFull(to, received)
	is.NoErr(err)
	is.Equal(string(received), "data")
}
