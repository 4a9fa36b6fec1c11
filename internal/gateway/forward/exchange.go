package forward

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/call"
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
	// connection is the last one that was used.
	connection atomic.Pointer[net.Conn]
}

func newExchange(ctx context.Context) *exchange {
	e := &exchange{}
	ctx, e.cancel = context.WithCancelCause(ctx)
	e.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			e.connection.Store(&info.Conn)
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

// relayedConnection is a connection through another instance, which the upstream takes for the sender of the request.
type relayedConnection interface {
	// ForwardStatement gives that instance what the upstream has stated in its response, without waiting for it.
	ForwardStatement(retryAfter time.Duration, leaving bool)
}

// forwardStatement gives the instance that carried the request what the upstream has stated to it.
func (e *exchange) forwardStatement(info call.ResponseInfo) {
	if info.Misdirected || info.RetryAfter <= 0 && !info.Leaving {
		return
	}
	connection := e.connection.Load()
	if connection == nil {
		return
	}
	if relayed, ok := (*connection).(relayedConnection); ok {
		relayed.ForwardStatement(info.RetryAfter, info.Leaving)
	}
}

// headTooLongText is in the error of net/http for a head beyond MaxResponseHeaderBytes, which has no type of its own.
const headTooLongText = "server response headers exceeded"

// classify returns ErrNotConnected only if no connection carried the request.
func (e *exchange) classify(err error) error {
	var dial dialError
	if e.connection.Load() == nil || errors.As(err, &dial) && !e.sent.Load() {
		return errors.WithMessage(ErrNotConnected, err.Error())
	}
	if strings.Contains(err.Error(), headTooLongText) {
		return errors.WithMessage(ErrHeadTooLong, err.Error())
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
