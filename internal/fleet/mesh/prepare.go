package mesh

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// prepare.go asks holders to load adapters. An answer may take seconds. If the connection over which it is to come falls
// silent, nothing shows whether it still comes, so the holder is asked again over a new connection, and the first answer
// counts. The first call goes on: the peer may only have paused.

// maxPrepareCalls is how often a holder is asked for one request.
const maxPrepareCalls = 2

// Prepare asks the holder at address to load an adapter, and waits until it is loaded.
func (p *Peers) Prepare(ctx context.Context, address string, request PrepareRequest) (_ PrepareResult, err error) {
	defer func() { err = errors.WithMessage(err, "mesh: prepare") }()
	retired, err := p.Retired(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // the call that is not needed
	start := time.Now()
	replies := make(chan prepareReply, maxPrepareCalls)
	go prepareCall{peers: p, address: address, request: request, replies: replies}.run(ctx)
	select {
	case reply := <-replies:
		return reply.prepared, reply.err
	case <-retired:
	}
	request.MaxWait -= time.Since(start)
	request.OnTime -= time.Since(start)
	go prepareCall{peers: p, address: address, request: request, replies: replies}.run(ctx)
	reply := <-replies
	if reply.err != nil {
		reply = <-replies
	}
	return reply.prepared, reply.err
}

// prepareReply is the reply to one call.
type prepareReply struct {
	prepared PrepareResult
	err      error
}

// prepareCall is one call to a holder. It has room for its reply.
type prepareCall struct {
	peers   *Peers
	address string
	request PrepareRequest
	replies chan<- prepareReply
}

func (c prepareCall) run(ctx context.Context) {
	prepared, err := c.make(ctx)
	c.replies <- prepareReply{prepared: prepared, err: err}
}

func (c prepareCall) make(ctx context.Context) (PrepareResult, error) {
	client, err := c.peers.client(c.address)
	if err != nil {
		return nil, err
	}
	wire, err := client.Prepare(ctx, prepareToWire(c.request))
	if err != nil {
		return nil, err
	}
	return prepareResultFromWire(wire), nil
}
