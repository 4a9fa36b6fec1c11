package mesh_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc/credentials/insecure"

	"lacewingrock.example/lacewingrock/internal/fleet/link"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/socket"
)

// Guards against responses through a peer that are cut because the network or the peer's host pauses: the kernel closes
// connections on which sent bytes stay unacknowledged for TCP_USER_TIMEOUT. It cannot be provoked on loopback.
func TestSilentConnectionIsKeptAsLongAsARequest(t *testing.T) {
	const requestTime = 30 * time.Second
	for _, c := range []struct {
		name            string
		setting, client time.Duration
	}{
		{"responses run over it", 0, requestTime},
		{"calls that are made again", time.Second, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := socket.ListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
			is.NoErr(err)
			peer := mesh.NewServer(&echo{})
			go func() { _ = peer.Serve(listener) }()
			defer peer.Stop()
			peers := &mesh.Peers{Links: link.Links{Credentials: insecure.NewCredentials(), SilenceTimeout: c.setting}}
			defer peers.Close()
			_, err = peers.Query(t.Context(), listener.Addr().String(), mesh.LoadReport{})
			is.NoErr(err)
			client, server := userTimeouts(listener.Addr().(*net.TCPAddr).Port)
			is.Equal(client, []time.Duration{c.client})
			is.Equal(server, []time.Duration{requestTime})
		})
	}
}

// userTimeouts lists TCP_USER_TIMEOUT of the connections to a port, at both ends, which this process has open.
func userTimeouts(port int) (client, server []time.Duration) {
	const maxDescriptor = 1024
	for descriptor := range maxDescriptor {
		remote, err := unix.Getpeername(descriptor)
		if err != nil {
			continue // no connection
		}
		local, err := unix.Getsockname(descriptor)
		if err != nil {
			continue
		}
		millis, err := unix.GetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		timeout := time.Duration(millis) * time.Millisecond
		switch {
		case err != nil:
		case portOf(remote) == port:
			client = append(client, timeout)
		case portOf(local) == port:
			server = append(server, timeout)
		}
	}
	return client, server
}

func portOf(address unix.Sockaddr) int {
	if internet, is := address.(*unix.SockaddrInet4); is {
		return internet.Port
	}
	return 0
}

// silentReportTimeout bounds a report to a silent peer.
const silentReportTimeout = 100 * time.Millisecond

// Guards against new calls on a connection that has stopped working, while the responses on it are waited for. Without
// heartbeats to the peer nothing else replaces it.
func TestNewCallsLeaveASilentConnection(t *testing.T) {
	is := is.New(t)
	instance, upstream, peer, peers, address := openWithPeers(t)
	peer.silent.Store(true)
	query := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), silentReportTimeout)
		defer cancel()
		_, err := peers.Query(ctx, address, mesh.LoadReport{})
		return err
	}
	is.True(query() != nil)
	is.Equal(peer.accepted.Load(), int64(1))
	time.Sleep(time.Second)
	peer.silent.Store(false)
	is.NoErr(query())
	is.Equal(peer.accepted.Load(), int64(2))
	exchange(t, upstream, instance)
	is.NoErr(instance.Close())
	awaitOpen(t, peer, 1)
	time.Sleep(1100 * time.Millisecond)
	is.NoErr(query()) // nothing was waited for meanwhile
	is.Equal(peer.accepted.Load(), int64(2))
}
