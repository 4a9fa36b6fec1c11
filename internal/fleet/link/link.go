// Package link manages the gRPC connections between instances: one to each peer, shared by all calls to it.
package link

import (
	"cmp"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"lacewingrock.example/lacewingrock/internal/gateway/socket"
)

const (
	// keepaliveInterval is how long a connection with calls may receive nothing before gRPC checks it. The interval is the
	// shortest that gRPC accepts.
	keepaliveInterval = 10 * time.Second
	// silenceTimeout is how long a peer may acknowledge nothing before the connection is given up with all that runs on
	// it, unless Links sets its own value. gRPC sets it as TCP_USER_TIMEOUT. Silence does not show that the peer is lost,
	// and the responses that come through it may go on: it is as long as most requests may take. New calls do not wait
	// for it: they use a new connection after maxUnanswered.
	silenceTimeout = 30 * time.Second
	// connectTimeout bounds one attempt to connect to a peer.
	connectTimeout = time.Second
	// minKeepaliveInterval is the shortest ping interval that a server accepts; gRPC closes the connection of a peer
	// that pings more often.
	minKeepaliveInterval = 500 * time.Millisecond
	// minReconnectBackoff and maxReconnectBackoff bound the delay until a restarted peer is connected again.
	minReconnectBackoff = 50 * time.Millisecond
	maxReconnectBackoff = 300 * time.Millisecond
	// maxResponseBytes bounds a response of a peer. A snapshot of the store with the declared versions of about
	// 10,000 adapters is about 10 MB.
	maxResponseBytes = 64 << 20
	// windowBytes is the flow-control window: room for a whole configuration. With a static window gRPC does not
	// estimate the bandwidth-delay product, for which it sends a ping with each message received.
	windowBytes = 1 << 20
	// bufferBytes has room for a typical heartbeat. gRPC's default buffers of 32 KB, two for each connection, take
	// several megabytes at an instance with 80 peers.
	bufferBytes = 4 << 10
	// idleTimeout is how long a connection without calls stays open. An instance of a large fleet reports to a few
	// others at a time; without the timeout, its connections would take most of its memory.
	idleTimeout = 5 * time.Second
	// maxFailedHeartbeats is the number of consecutive failed heartbeats after which the connection is replaced.
	// Heartbeats are sent several times a second, so a dead connection is replaced in less than a second.
	maxFailedHeartbeats = 2
)

// NewServer creates the gRPC server for calls from peers. Register its services before calling Serve.
func NewServer(secured credentials.TransportCredentials) *grpc.Server {
	return grpc.NewServer(
		grpc.Creds(secured),
		grpc.ConnectionTimeout(socket.HandshakeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{Timeout: silenceTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveInterval, PermitWithoutStream: true}),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
	)
}

// Links holds the connections to peers by address. Set the exported fields before the first call.
type Links struct {
	Credentials credentials.TransportCredentials
	// RetiredLifetime overrides the time for which calls may go on over a retired connection.
	RetiredLifetime time.Duration
	// SilenceTimeout overrides the time after which a connection is given up whose peer acknowledges nothing.
	SilenceTimeout time.Duration

	mutex       sync.Mutex
	connections map[string]*connection
	// retired are the connections that take no new calls, and are open because calls run on them.
	retired map[*connection]bool
}

// Connection returns the connection to a peer. It is established by the first call that uses it. A call that begins
// after the connection has been retired uses the next one.
func (l *Links) Connection(address string) (client grpc.ClientConnInterface, err error) {
	defer func() { err = errors.WithMessage(err, "link: connect") }()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, err := l.currentLocked(address); err != nil {
		return nil, err
	}
	return calls{links: l, address: address}, nil
}

// currentLocked returns the connection that takes new calls to a peer. The caller holds the lock.
func (l *Links) currentLocked(address string) (*connection, error) {
	if known, found := l.connections[address]; found {
		return known, nil
	}
	client, err := grpc.NewClient("passthrough:///"+address, l.options()...)
	if err != nil {
		return nil, err
	}
	if l.connections == nil {
		l.connections = make(map[string]*connection)
	}
	created := &connection{
		links: l, address: address, client: client, created: time.Now(), retired: make(chan struct{}), unused: make(chan struct{}),
	}
	l.connections[address] = created
	return created, nil
}

func (l *Links) options() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(l.Credentials),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(), // a call that was sent may have taken effect; the caller decides on retries
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes)),
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: cmp.Or(l.SilenceTimeout, silenceTimeout)}),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minReconnectBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnectBackoff},
			MinConnectTimeout: connectTimeout,
		}),
	}
}

// RecordHeartbeat records the result of a heartbeat. It retires the connection after maxFailedHeartbeats consecutive
// failures.
func (l *Links) RecordHeartbeat(address string, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.connections[address]
	if known == nil {
		return
	}
	if err == nil {
		known.failedHeartbeats = 0
		return
	}
	known.failedHeartbeats++
	if known.failedHeartbeats >= maxFailedHeartbeats {
		l.retireLocked(known)
	}
}

// Retire has the next call to a peer open a new connection. The calls that run on the present one go on, as described
// in retired.go.
func (l *Links) Retire(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.connections[address]; known != nil {
		l.retireLocked(known)
	}
}

// RetireExcept retires the connections to all addresses except the given ones.
func (l *Links) RetireExcept(addresses map[string]bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for address, known := range l.connections {
		if !addresses[address] {
			l.retireLocked(known)
		}
	}
}

// CloseExcept closes the connections to all addresses except the given ones, and ends the calls on them. It is for peers
// that are known to be gone.
func (l *Links) CloseExcept(addresses map[string]bool) {
	for _, known := range l.removeExcept(addresses) {
		known.client.Close()
	}
}

// removeExcept takes the connections to all addresses except the given ones out of use for new calls, and returns them
// and those that were retired before. They are closed without the lock, which calls need to end.
func (l *Links) removeExcept(addresses map[string]bool) (removed []*connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for address, known := range l.connections {
		if !addresses[address] {
			removed = append(removed, known)
			delete(l.connections, address)
		}
	}
	for known := range l.retired {
		if !addresses[known.address] {
			removed = append(removed, known)
		}
	}
	return removed
}

// Close closes all connections.
func (l *Links) Close() { l.CloseExcept(nil) }
