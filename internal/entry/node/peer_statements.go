package node

import (
	"context"
	"net"
	"time"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/telemetry/logline"
)

// peer_statements.go gives a peer that has carried a request what the upstream has stated about itself in the response. The
// upstream takes the peer for the sender, and the peer does not read the response.

// connectionThroughPeer is a connection to an upstream through a peer.
type connectionThroughPeer struct {
	net.Conn
	node     *Node
	address  string
	upstream string
	call     string
}

// ForwardStatement sends the peer what the upstream has stated in its response, without waiting for it.
func (c *connectionThroughPeer) ForwardStatement(retryAfter time.Duration, leaving bool) {
	sender := statementSender{node: c.node, address: c.address, statement: mesh.Statement{
		Upstream: c.upstream, Instance: c.node.self.Name, CallID: c.call, RetryAfter: retryAfter, Leaving: leaving,
	}}
	go sender.run()
}

// statementTimeout bounds the sending of a statement. If it fails, the peer gets the next response's.
const statementTimeout = 400 * time.Millisecond

// statementSender sends one statement to a peer.
type statementSender struct {
	node      *Node
	address   string
	statement mesh.Statement
}

func (s statementSender) run() {
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	if err := s.node.peers.ForwardStatement(ctx, s.address, s.statement); err != nil {
		s.node.Log.Warn().Str(logline.FieldRequest, s.statement.CallID).Str(logline.FieldUpstream, s.statement.Upstream).
			Err(err).Msg("StatementNotForwarded")
	}
}

// RecordStatement records what an upstream has stated in a response that was carried for a peer.
func (n *Node) RecordStatement(statement mesh.Statement) {
	if upstream, declared := n.declaredUpstream(statement.Upstream); declared {
		n.handler.RecordStatement(statement.CallID, upstream, statement.RetryAfter, statement.Leaving)
	}
}
