// Package link keeps the connections between instances: one to each peer, over which all calls to it go.
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
	// pingAfterIdle, the least that the library takes, and pingTimeout find a connection that has gone silent
	// while new ones work, if nothing else does. Calls on it would time out one after the other.
	pingAfterIdle = 10 * time.Second
	pingTimeout   = 1 * time.Second
	// pingAtMostEvery is how often a server lets a peer ping; the library takes more for an attack.
	pingAtMostEvery = 500 * time.Millisecond
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
	// idleFor is how long a connection stays without a call on it. An instance of a large fleet reports to a few of
	// the others at a time; kept for good, its connections would be most of its memory.
	idleFor = 5 * time.Second
	// silentCalls is how many heartbeats in a row may time out until the connection is replaced: they go out
	// several times a second, so a silent connection costs under a second.
	silentCalls = 2
)

// NewServer makes the server of the peers' calls. Register its services before it serves.
func NewServer(secured credentials.TransportCredentials) *grpc.Server {
	return grpc.NewServer(
		grpc.Creds(secured),
		grpc.ConnectionTimeout(socket.HandshakeTimeout),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingAtMostEvery, PermitWithoutStream: true}),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
	)
}

// Links are the connections to the peers, by their addresses. Set Credentials before the first call.
type Links struct {
	Credentials credentials.TransportCredentials

	mutex       sync.Mutex
	connections map[string]*connection
}

type connection struct {
	client *grpc.ClientConn
	silent int
}

// Connection gives the connection to a peer. It is made when the first call needs it.
func (l *Links) Connection(address string) (client grpc.ClientConnInterface, err error) {
	defer func() { err = errors.WithMessage(err, "link: connect") }()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known, found := l.connections[address]; found {
		return known.client, nil
	}
	made, err := grpc.NewClient("passthrough:///"+address, l.options()...)
	if err != nil {
		return nil, err
	}
	if l.connections == nil {
		l.connections = make(map[string]*connection)
	}
	l.connections[address] = &connection{client: made}
	return made, nil
}

func (l *Links) options() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(l.Credentials),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(), // a call that was sent may have taken effect; whoever calls decides about retries
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(longestAnswer)),
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfterIdle, Timeout: pingTimeout}),
		grpc.WithIdleTimeout(idleFor),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: firstRedial, Multiplier: 2, Jitter: 0.2, MaxDelay: longestRedial},
			MinConnectTimeout: pingTimeout,
		}),
	}
}

// RecordHeartbeat takes note of how a heartbeat ended, and replaces a connection on which they time out one after the other.
func (l *Links) RecordHeartbeat(address string, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.connections[address]
	if known == nil {
		return
	}
	if err == nil {
		known.silent = 0
		return
	}
	known.silent++
	if known.silent >= silentCalls {
		l.drop(address)
	}
}

// Drop closes the connection to a peer, if there is one, so that the next call makes a new one.
func (l *Links) Drop(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.drop(address)
}

// drop is Drop where the lock is held.
func (l *Links) drop(address string) {
	if known := l.connections[address]; known != nil {
		known.client.Close()
		delete(l.connections, address)
	}
}

// CloseExcept closes the connections to all addresses but the given ones.
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
