// Package link manages the gRPC connections between instances: one to each peer, shared by all calls to it.
package link

import (
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
	// keepaliveInterval and keepaliveTimeout detect a dead connection while new connections to the peer work, if the
	// failure counting in RecordHeartbeat does not. Each call on it would time out. The interval is the shortest that
	// gRPC accepts. gRPC also sets the time-out as TCP_USER_TIMEOUT: a peer that acknowledges nothing for that long
	// loses its connection, as its heartbeats are missing by then.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 1 * time.Second
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
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveInterval, PermitWithoutStream: true}),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
	)
}

// Links holds the connections to peers by address. Set Credentials before the first call.
type Links struct {
	Credentials credentials.TransportCredentials

	mutex       sync.Mutex
	connections map[string]*connection
}

type connection struct {
	client           *grpc.ClientConn
	failedHeartbeats int
}

// Connection returns the connection to a peer. It is established by the first call that uses it.
func (l *Links) Connection(address string) (client grpc.ClientConnInterface, err error) {
	defer func() { err = errors.WithMessage(err, "link: connect") }()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known, found := l.connections[address]; found {
		return known.client, nil
	}
	created, err := grpc.NewClient("passthrough:///"+address, l.options()...)
	if err != nil {
		return nil, err
	}
	if l.connections == nil {
		l.connections = make(map[string]*connection)
	}
	l.connections[address] = &connection{client: created}
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
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minReconnectBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnectBackoff},
			MinConnectTimeout: keepaliveTimeout,
		}),
	}
}

// RecordHeartbeat records the result of a heartbeat. It closes the connection after maxFailedHeartbeats consecutive
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
		l.dropLocked(address)
	}
}

// Drop closes the connection to a peer, if there is one. The next call opens a new one.
func (l *Links) Drop(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.dropLocked(address)
}

// dropLocked is Drop for callers that hold the lock.
func (l *Links) dropLocked(address string) {
	if known := l.connections[address]; known != nil {
		known.client.Close()
		delete(l.connections, address)
	}
}

// CloseExcept closes the connections to all addresses except the given ones.
func (l *Links) CloseExcept(addresses map[string]bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for address, known := range l.connections {
		if !addresses[address] {
			known.client.Close()
			delete(l.connections, address)
		}
	}
}

// Close closes all connections.
func (l *Links) Close() { l.CloseExcept(nil) }
