// Package exchange makes single HTTP exchanges with upstreams, each on its own connection, and
// tracks whether any byte of the request was sent. The engine and service clients build on it: they
// report a request as not run only if this package or the upstream itself guarantees it.
//
// Connections are never reused. A pooled connection can be dead while new ones work, because a
// device on the path dropped its state. It would swallow the next request, and nothing would show
// whether that request ran. In addition, net/http retries a request by itself if a reused
// connection fails, in particular one with an Idempotency-Key header, which would run a booking
// twice. Opening a connection costs a round trip of about two milliseconds between the data
// centres, compared with some hundred milliseconds to a first token.
package exchange

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/responsehead"
	"lacewingrock.example/lacewingrock/internal/gateway/socket"
)

// maxHeaderBytes bounds the headers of a response. Without a bound, a faulty upstream could exhaust
// memory.
const maxHeaderBytes = 64 << 10

// ErrTooLarge means that the body of a response exceeds the limit.
var ErrTooLarge = errors.New("exchange: response body exceeds the limit")

// errSealed is the error of a write to a connection whose exchange was abandoned.
var errSealed = errors.New("exchange: write after the exchange was abandoned")

// Request to the upstream at Address ("ip:port"). Target is its path and query.
type Request struct {
	Address string
	Method  string
	Target  string
	Header  http.Header
	Body    []byte
}

// Failure is the error of an exchange without a response. MaybeSent reports whether any byte of the
// request may have been sent. If none was, the upstream cannot have run the request and never will.
type Failure struct {
	Err       error
	MaybeSent bool
}

func (f *Failure) Error() string { return f.Err.Error() }

func (f *Failure) Unwrap() error { return f.Err }

// Transport makes exchanges. ConnectTimeout bounds the opening of a connection. A Transport is safe
// for concurrent use once its field is set.
type Transport struct {
	ConnectTimeout time.Duration

	once sync.Once
	base *http.Transport
}

func (t *Transport) httpTransport() *http.Transport {
	t.once.Do(func() {
		dialer := net.Dialer{Timeout: t.ConnectTimeout}
		t.base = &http.Transport{
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &sealableConn{Conn: socket.WithFailure(conn)}, nil
			},
		}
	})
	return t.base
}

// Do sends the request once and returns the response, whose body the caller closes. It follows no
// redirects and uses no proxy. If ctx ends, the exchange ends, and so does reading the body. Errors
// are of type *Failure.
func (t *Transport) Do(ctx context.Context, request Request) (*http.Response, error) {
	var tracker connTracker
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { tracker.set(info.Conn) },
	})
	raw, err := http.NewRequestWithContext(ctx, request.Method, "http://"+request.Address+request.Target,
		bytes.NewReader(request.Body))
	if err != nil {
		return nil, &Failure{Err: err}
	}
	raw.GetBody = nil // net/http retries no request whose body it cannot read again
	if request.Header != nil {
		raw.Header = request.Header.Clone()
	}
	response, err := responsehead.Transport{Base: t.httpTransport()}.RoundTrip(raw)
	if err != nil {
		return nil, &Failure{Err: err, MaybeSent: tracker.seal()}
	}
	return response, nil
}

// ReadAll reads a body of at most limit bytes. If the body is longer, it fails with ErrTooLarge.
func ReadAll(body io.Reader, limit int) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(content) > limit {
		return nil, ErrTooLarge
	}
	return content, nil
}

// ---------------------------------------------------------------------------------------------

// connTracker records the connection that an exchange used, if any.
type connTracker struct {
	mu   sync.Mutex
	conn net.Conn
}

func (t *connTracker) set(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = conn
}

// seal blocks further writes to the connection and reports whether anything was written to it. A
// connection of an unknown type counts as written to, so that a request is never reported as unsent
// without proof.
func (t *connTracker) seal() (maybeSent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return false
	}
	sealable, ok := t.conn.(*sealableConn)
	if !ok {
		return true
	}
	return sealable.seal()
}

// sealableConn records whether anything was written, and rejects writes after it is sealed.
// net/http writes in a separate goroutine, which may be about to write when the exchange has
// already been abandoned. Without the seal, the request could be sent just after it was reported as
// unsent.
type sealableConn struct {
	net.Conn

	mu        sync.Mutex
	maybeSent bool
	sealed    bool
}

// Write records the write before it makes it, so that a write that fails part-way counts.
func (c *sealableConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.maybeSent = true
	c.mu.Unlock()
	return c.Conn.Write(data)
}

func (c *sealableConn) seal() (maybeSent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.maybeSent
}
