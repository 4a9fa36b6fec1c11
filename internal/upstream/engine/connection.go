package engine

import (
	"context"
	"io"
	"net/http"

	"lacewingrock.example/lacewingrock/internal/caller/stream"
	"lacewingrock.example/lacewingrock/internal/upstream/exchange"
)

// connection reads the events of one accepted response. It reads beside the run, so that a silent connection can be
// kept while the stream is resumed on another one.
type connection struct {
	body     io.ReadCloser
	received chan received
	// ctx is the context of the exchange, which ends with close.
	ctx  context.Context
	idle *idleTimer
}

// received is an event, or the error that ended the response.
type received struct {
	event stream.Event
	err   error
}

// openConnection starts reading a response. It disarms the idle timer, because whoever receives the events measures the
// silence between them.
func openConnection(ctx context.Context, idle *idleTimer, body io.ReadCloser, maxLineBytes int) *connection {
	idle.disarm()
	c := &connection{body: body, received: make(chan received), ctx: ctx, idle: idle}
	go c.run(maxLineBytes)
	return c
}

// run reads until the response or the exchange ends.
func (c *connection) run(maxLineBytes int) {
	defer c.body.Close()
	reader := stream.NewReader(c.body, maxLineBytes)
	for {
		event, err := reader.Next()
		select {
		case c.received <- received{event: event, err: err}:
		case <-c.ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// close ends the exchange.
func (c *connection) close() { c.idle.stop() }

// opening is an exchange whose response has not begun.
type opening struct {
	transport *exchange.Transport
	request   exchange.Request
	done      chan struct{}
	response  *http.Response
	err       error
}

// open sends a request.
func open(ctx context.Context, transport *exchange.Transport, request exchange.Request) *opening {
	o := &opening{transport: transport, request: request, done: make(chan struct{})}
	go o.run(ctx)
	return o
}

func (o *opening) run(ctx context.Context) {
	defer close(o.done)
	o.response, o.err = o.transport.Do(ctx, o.request)
}

// discard waits for the end of an exchange whose context has ended, and closes the response that may have begun before.
func (o *opening) discard() {
	<-o.done
	if o.err == nil {
		_ = o.response.Body.Close()
	}
}
