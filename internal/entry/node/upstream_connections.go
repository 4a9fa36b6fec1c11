package node

import (
	"context"
	"net"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

// upstream_connections.go opens the connections on which requests are sent to upstreams.

// connectTimeout bounds the time to open a connection, which normally takes a few milliseconds.
const connectTimeout = 250 * time.Millisecond

// connect opens a connection to an upstream.
func (n *Node) connect(ctx context.Context, upstream traffic.Upstream) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return n.DialUpstream(ctx, upstream.Address)
}
