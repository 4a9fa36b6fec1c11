// Package exchange makes single HTTP exchanges with upstreams, each on a connection of its own, and
// knows of each whether any byte of the request left this process. The engine and service clients
// stand on it: "not run" is said of a request only when this package, or the upstream itself, vouches
// for it.
//
// A connection is never used twice. A pooled one can have gone silent for good while new ones work,
// because something on the way lost track of it; it would swallow the next request, and nobody could
// tell whether it ran. net/http also repeats a request by itself when a reused connection fails,
// above all one with an Idempotency-Key header, which would run a booking twice. Opening a connection
// costs a round trip of about two milliseconds between the data centres, against a first token after
// some hundred.
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
)

// headerBytes bounds an answer's headers; without a bound a faulty upstream fills the memory.
const headerBytes = 64 << 10

// ErrTooLarge means that an answer's body is larger than the reader's bound.
var ErrTooLarge = errors.New("exchange: answer too large")

// errSealed is what a connection says to a write after its exchange was given up.
var errSealed = errors.New("exchange: given up")

// Request is one request to the upstream at Address ("ip:port"). Target is its path and query.
type Request struct {
	Address string
	Method  string
	Target  string
	Header  http.Header
	Body    []byte
}

// Failure is an exchange without an answer. Left tells whether any byte of the request may have left
// this process; when none has, the upstream can't have run it, now or later.
type Failure struct {
	Err       error
	MaybeSent bool
}

// Error is the cause's text.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap gives the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Transport makes exchanges. Connect is the longest that a connection may take to open. It is safe
// for concurrent use once its field is set.
type Transport struct {
	ConnectTimeout time.Duration

	once sync.Once
	base *http.Transport
}

func (t *Transport) transport() *http.Transport {
	t.once.Do(func() {
		dialer := net.Dialer{Timeout: t.ConnectTimeout}
		t.base = &http.Transport{
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: headerBytes,
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &sealableConn{Conn: conn}, nil
			},
		}
	})
	return t.base
}

// Do sends the request once and returns the head of the answer, whose body the caller closes. It
// follows no redirect and asks no proxy. When ctx ends, the exchange ends, the body's reading
// included. Its errors are of type *Failure.
func (t *Transport) Do(ctx context.Context, request Request) (*http.Response, error) {
	var used usedConn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { used.set(info.Conn) },
	})
	raw, err := http.NewRequestWithContext(ctx, request.Method, "http://"+request.Address+request.Target,
		bytes.NewReader(request.Body))
	if err != nil {
		return nil, &Failure{Err: err}
	}
	raw.GetBody = nil // net/http repeats nothing that it can't read again
	if request.Header != nil {
		raw.Header = request.Header.Clone()
	}
	response, err := t.transport().RoundTrip(raw)
	if err != nil {
		return nil, &Failure{Err: err, MaybeSent: used.seal()}
	}
	return response, nil
}

// ReadAll reads a body of at most limit bytes, or fails with ErrTooLarge.
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

// usedConn is the connection that an exchange got, if it got one.
type usedConn struct {
	mu   sync.Mutex
	conn net.Conn
}

func (u *usedConn) set(conn net.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conn = conn
}

// seal stops the connection and reports whether anything left on it. A connection of an unknown type
// counts as used: the promise that nothing left is never made on a guess.
func (u *usedConn) seal() (left bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn == nil {
		return false
	}
	sealable, ok := u.conn.(*sealableConn)
	if !ok {
		return true
	}
	return sealable.seal()
}

// sealableConn notes whether anything was written, and takes no write after it is sealed. net/http
// writes in a goroutine of its own, which may still be about to write when the exchange has already
// been given up; without the seal, "nothing left" could be true when said and false a moment later.
type sealableConn struct {
	net.Conn

	mu     sync.Mutex
	left   bool
	sealed bool
}

// Write notes the write before it is made, so that a write which fails half-way counts.
func (c *sealableConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.left = true
	c.mu.Unlock()
	return c.Conn.Write(data)
}

func (c *sealableConn) seal() (left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.left
}
