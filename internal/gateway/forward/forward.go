// Package forward sends calls to upstreams over HTTP and reads the beginning of their answers. What is
// known about whether a call ran is in the error: see ErrUnreached.
package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/call"
	"lacewingrock.example/lacewingrock/internal/gateway/socket"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
)

var (
	// ErrNotConnected: no connection was made, so the call cannot have run.
	ErrNotConnected = errors.New("forward: upstream not reached")
	// ErrBrokenResponse: the connection or the answer broke, and the call may have run.
	ErrBrokenResponse = errors.New("forward: answer broken")
)

const (
	// connectWithin bounds a new connection; one takes a few milliseconds.
	connectWithin = 250 * time.Millisecond
	// idleFor is how long an idle connection is kept. Upstreams close theirs after some seconds; a call
	// on a connection that is being closed is lost, so this ends well before.
	idleFor = 2 * time.Second
	// mostIdle bounds the kept connections to one upstream, which count against what it takes.
	mostIdle = 8
)

// Client sends calls. Set Dialect before the first call.
type Client struct {
	Dialect call.Dialect

	mutex      sync.Mutex
	transports map[string]*http.Transport
}

// Response is an upstream's answer with its body still to be read.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length of the body, negative if it is not stated.
	Length int64
	Info   call.ResponseInfo
}

// Do sends a call. A fresh send uses a new connection: on a kept one the call could cross the upstream's
// close, or meet a late second answer to an earlier call, and its outcome would not be known.
func (c *Client) Do(
	ctx context.Context, upstream traffic.Upstream, calling call.Call, send call.Attempt, fresh bool,
) (answer *Response, err error) {
	request := &http.Request{
		Method:        calling.Method,
		URL:           &url.URL{Scheme: "http", Host: upstream.Address, Opaque: calling.Target},
		Host:          calling.Host,
		Header:        c.Dialect.RequestHeader(calling, send),
		ContentLength: int64(len(calling.Body)),
		Close:         fresh,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if len(calling.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(calling.Body))
	}
	if _, stated := request.Header["User-Agent"]; !stated {
		request.Header["User-Agent"] = nil // the library would add its own
	}
	response, err := c.transport(upstream).RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, classify(err)
	}
	answer = &Response{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   response.Body,
		Length: response.ContentLength,
		Info:   c.Dialect.ParseResponse(response),
	}
	return answer, c.check(calling, answer)
}

// check rejects an answer that is not this call's own: a late second answer to an earlier call stands
// where this call's answer is due, and its caller would get another caller's answer.
func (c *Client) check(calling call.Call, answer *Response) error {
	switch {
	case answer.Info.ID != calling.ID && answer.Info.ID != "":
		answer.Body.Close()
		return errors.WithMessagef(ErrBrokenResponse, "answer belongs to request %s", answer.Info.ID)
	case answer.Header.Get("Content-Encoding") != "":
		answer.Body.Close()
		return errors.WithMessage(ErrBrokenResponse, "body is encoded though no encoding was asked for")
	case answer.Status < 300 && !answer.Info.Signed:
		answer.Body.Close()
		return errors.WithMessage(ErrBrokenResponse, "success without the upstream's signature")
	}
	return nil
}

// CloseIdleExcept drops the connections to all upstreams but the given ones.
func (c *Client) CloseIdleExcept(ids map[string]bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for id, transport := range c.transports {
		if !ids[id] {
			transport.CloseIdleConnections()
			delete(c.transports, id)
		}
	}
}

// ---------------------------------------------------------------------------------------------

func (c *Client) transport(upstream traffic.Upstream) *http.Transport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if transport, found := c.transports[upstream.ID]; found {
		return transport
	}
	dialer := socket.Dialer(connectWithin)
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, dialError{err}
			}
			return connection, nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: mostIdle,
		IdleConnTimeout:     idleFor,
	}
	if c.transports == nil {
		c.transports = make(map[string]*http.Transport)
	}
	c.transports[upstream.ID] = transport
	return transport
}

// dialError marks an error of making a connection.
type dialError struct{ error }

func classify(err error) error {
	var dial dialError
	if errors.As(err, &dial) {
		return errors.WithMessage(ErrNotConnected, err.Error())
	}
	return errors.WithMessage(ErrBrokenResponse, err.Error())
}
