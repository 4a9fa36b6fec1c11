// Package forward sends calls to upstreams over HTTP and reads the headers of their responses. The returned error says
// whether the call may have run: see ErrNotConnected and ErrBrokenResponse.
package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/call"
	"lacewingrock.example/lacewingrock/internal/gateway/responsehead"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

var (
	// ErrNotConnected: no connection was established, so the call cannot have run.
	ErrNotConnected = errors.New("forward: could not connect to upstream")
	// ErrBrokenResponse: the connection or the response broke, and the call may have run.
	ErrBrokenResponse = errors.New("forward: answer broken")
	// ErrHeadTooLong is an ErrBrokenResponse: the head of the response, or what was sent in its place, exceeds
	// maxHeadBytes.
	ErrHeadTooLong = errors.WithMessage(ErrBrokenResponse, "head too long")
)

// maxHeadBytes bounds the head of a response. Without a bound, an upstream in trouble that sends no end of it would
// fill the memory of the instance.
const maxHeadBytes = 64 << 10

const (
	// idleTimeout is how long an idle connection is kept. Upstreams close idle connections after some seconds, and a
	// call sent on a connection that is being closed is lost, so the instance closes it well before that.
	idleTimeout = 2 * time.Second
	// maxIdle bounds the idle connections to one upstream, which count towards that upstream's connection limit.
	maxIdle = 8
)

// Client sends calls to upstreams. Set the exported fields before the first call.
type Client struct {
	Dialect call.Dialect
	// Dial opens a connection to an upstream.
	Dial func(ctx context.Context, upstream traffic.Upstream) (net.Conn, error)
	// KeepsConnections reports whether connections to an upstream are kept for the next call.
	KeepsConnections func(upstream string) bool

	mutex      sync.Mutex
	transports map[string]transports
}

// transports are the HTTP clients of one life of an upstream, at one address. The library may use an idle connection for any request, also one that
// asks for its connection to be closed afterwards, so calls on new connections have a client that keeps none.
type transports struct {
	address string
	life    traffic.Life

	reusing *http.Transport
	single  *http.Transport
}

// isFor reports whether the clients are for the declared life of their upstream.
func (t transports) isFor(upstream traffic.Upstream) bool {
	return t.address == upstream.Address && t.life == upstream.Life()
}

func (t transports) closeIdle() {
	t.reusing.CloseIdleConnections()
	t.single.CloseIdleConnections()
}

// Framing is how an upstream marks the end of a response's body.
type Framing string

// The framings of HTTP/1.1.
const (
	FramingLength Framing = "length"
	FramingChunks Framing = "chunks"
	// FramingClose: the body ends with the connection. An upstream that crashes may close its connections in order, so the
	// end of such a body does not show that it is complete.
	FramingClose Framing = "close"
)

func framingOf(response *http.Response) Framing {
	switch {
	case response.ContentLength >= 0:
		return FramingLength
	case len(response.TransferEncoding) > 0:
		return FramingChunks
	}
	return FramingClose
}

// bodyLength returns the stated length of the body that follows, which is none for a request of the head only.
func bodyLength(response *http.Response) int64 {
	if response.Request != nil && response.Request.Method == http.MethodHead {
		return 0
	}
	return response.ContentLength
}

// Response is an upstream's response whose body has not been read yet.
type Response struct {
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	Framing Framing
	// Length is the length of the body that follows as the upstream states it, negative if it states none.
	Length int64
	Info   call.ResponseInfo
}

// Do sends a call. If newConnection is set, it opens a new connection: on a reused connection the call could cross with
// the upstream's close, or read a late second response to an earlier call, and its outcome would be unknown.
func (c *Client) Do(
	ctx context.Context, upstream traffic.Upstream, outgoing call.Call, attempt call.Attempt, newConnection bool,
) (result *Response, err error) {
	target, err := targetURL(upstream.Address, outgoing.Target)
	if err != nil {
		return nil, err
	}
	request := &http.Request{
		Method:        outgoing.Method,
		URL:           target,
		Host:          outgoing.Host,
		Header:        c.Dialect.RequestHeader(outgoing, attempt),
		ContentLength: int64(len(outgoing.Body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if len(outgoing.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(outgoing.Body))
	}
	if _, stated := request.Header["User-Agent"]; !stated {
		request.Header["User-Agent"] = nil // otherwise net/http adds its own
	}
	exchange := newExchange(call.WithID(ctx, outgoing.ID))
	transport := c.transport(upstream, newConnection || !c.KeepsConnections(upstream.ID))
	response, err := responsehead.Transport{Base: transport}.RoundTrip(request.WithContext(exchange.ctx))
	if err != nil {
		exchange.cancel(nil)
		return nil, exchange.classify(err)
	}
	response.Body = &exchangeBody{ReadCloser: response.Body, exchange: exchange}
	result = &Response{
		Status:  response.StatusCode,
		Header:  response.Header,
		Body:    response.Body,
		Framing: framingOf(response),
		Length:  bodyLength(response),
		Info:    c.Dialect.ParseResponse(response),
	}
	if err := c.check(outgoing, result); err != nil {
		return result, err
	}
	exchange.forwardStatement(result.Info)
	return result, nil
}

// CheckTarget returns an error for a request target that cannot be sent unchanged: one that begins with two slashes and has bytes that
// are not allowed in a path.
func CheckTarget(target string) error {
	_, err := targetURL("", target)
	return err
}

// targetURL returns the URL with which net/http sends the given request target unchanged. It would send an opaque one that begins with
// two slashes in absolute form, which names another host and path.
func targetURL(address, target string) (*url.URL, error) {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}, nil
	}
	raw, query, hasQuery := strings.Cut(target, "?")
	path, err := url.PathUnescape(raw)
	if err != nil {
		return nil, errors.WithMessage(err, "forward")
	}
	result := &url.URL{Scheme: "http", Host: address, Path: path, RawPath: raw, RawQuery: query, ForceQuery: hasQuery}
	if result.RequestURI() != target {
		return nil, errors.New("forward: the path cannot be sent unchanged")
	}
	return result, nil
}

// check rejects a response that does not belong to this call. A late second response to an earlier call can arrive
// where this call's response is expected, and the caller would get the response of another caller.
func (c *Client) check(outgoing call.Call, response *Response) error {
	switch {
	case response.Info.ID != outgoing.ID && response.Info.ID != "":
		response.Body.Close()
		return errors.WithMessagef(ErrBrokenResponse, "response belongs to request %s", response.Info.ID)
	case response.Header.Get("Content-Encoding") != "":
		response.Body.Close()
		return errors.WithMessage(ErrBrokenResponse, "body is encoded but no encoding was requested")
	case response.Status < 300 && !response.Info.Signed:
		response.Body.Close()
		return errors.WithMessage(ErrBrokenResponse, "successful response without the upstream's signature")
	}
	return nil
}

// CloseIdle closes the idle connections to an upstream.
func (c *Client) CloseIdle(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if known, found := c.transports[id]; found {
		known.closeIdle()
	}
}

// CloseIdleExcept closes the idle connections to all upstreams except the given ones.
func (c *Client) CloseIdleExcept(ids map[string]bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for id, known := range c.transports {
		if !ids[id] {
			known.closeIdle()
			delete(c.transports, id)
		}
	}
}

// ---------------------------------------------------------------------------------------------

func (c *Client) transport(upstream traffic.Upstream, newConnection bool) *http.Transport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known, found := c.transports[upstream.ID]
	if found && !known.isFor(upstream) {
		known.closeIdle()
	}
	if !found || !known.isFor(upstream) {
		known = transports{
			address: upstream.Address, life: upstream.Life(),
			reusing: c.newTransport(upstream), single: c.newTransport(upstream),
		}
		known.single.DisableKeepAlives = true
		if c.transports == nil {
			c.transports = make(map[string]transports)
		}
		c.transports[upstream.ID] = known
	}
	if newConnection {
		return known.single
	}
	return known.reusing
}

func (c *Client) newTransport(upstream traffic.Upstream) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			connection, err := c.Dial(ctx, upstream)
			if err != nil {
				return nil, dialError{err}
			}
			return connection, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// dialError marks an error of opening a connection.
type dialError struct{ error }
