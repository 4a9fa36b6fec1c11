package forward

import (
	"context"
	"io"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
)

// exchange.go observes whether a request was sent, and keeps the HTTP client from sending it again by itself. The client
// does so if a reused connection breaks before the response and the method is a safe one. The request may have run by
// then, which the caller of this package would not learn: a failure to connect again would look as if nothing had been
// sent, and the second run would count in no budget.

var errSentAgain = errors.New("forward: connection broke after the request was sent")

// exchange is one request and its response.
type exchange struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// sent: the whole request was written to a connection.
	sent atomic.Bool
}

func newExchange(ctx context.Context) *exchange {
	e := &exchange{}
	ctx, e.cancel = context.WithCancelCause(ctx)
	e.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			if e.sent.Load() {
				e.cancel(errSentAgain)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				e.sent.Store(true)
			}
		},
	})
	return e
}

// classify returns ErrNotConnected only if no connection carried the request.
func (e *exchange) classify(err error) error {
	var dial dialError
	if errors.As(err, &dial) && !e.sent.Load() {
		return errors.WithMessage(ErrNotConnected, err.Error())
	}
	return errors.WithMessage(ErrBrokenResponse, err.Error())
}

// exchangeBody ends the exchange when the response has been read.
type exchangeBody struct {
	io.ReadCloser
	exchange *exchange
}

// Close closes the body.
func (b *exchangeBody) Close() error {
	err := b.ReadCloser.Close()
	b.exchange.cancel(nil)
	return err
}
