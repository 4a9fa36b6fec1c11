// Package service is the client of plain services, which are upstreams other than model engines. A
// call is sent at most once, on its own connection, and ends in one of three outcomes.
package service

import (
	"cmp"
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/upstream/exchange"
)

// Headers of the service protocol.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// Call is one call of a plain service. Path begins with a slash, is relative to the service, and is
// in its escaped form. ID is the request ID, which the response must repeat. IdempotencyKey is
// forwarded to the service if set.
type Call struct {
	ID             string
	Method         string
	Path           string
	RawQuery       string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
	// ResponseTimeout overrides that of the client's limits if set.
	ResponseTimeout time.Duration
}

// Response is the complete response of a plain service, with the headers that may be returned to
// the caller.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Outcome of a call, one of the types below.
type Outcome interface{ outcome() }

// NotRun means that no byte of the call was sent.
type NotRun struct{ Err error }

// Ran means that the service responded.
type Ran struct{ Response Response }

// Unknown means that the call may have been sent and it cannot be determined whether it ran.
type Unknown struct{ Err error }

func (NotRun) outcome()  {}
func (Ran) outcome()     {}
func (Unknown) outcome() {}

// ErrMismatchedResponse means that the response belongs to another call.
var ErrMismatchedResponse = errors.New("service: response to another call")

// Limits of a call.
type Limits struct {
	// ConnectTimeout bounds the opening of a connection, ResponseTimeout the time from the start of
	// the call to the end of the response.
	ConnectTimeout, ResponseTimeout time.Duration
	// MaxResponseBytes bounds the body of a response.
	MaxResponseBytes int
}

// DefaultLimits are for services in the same region.
func DefaultLimits() Limits {
	return Limits{ConnectTimeout: time.Second, ResponseTimeout: 10 * time.Second, MaxResponseBytes: 1 << 20}
}

// Client of plain services. If Limits is zero, DefaultLimits are used. A Client is safe for
// concurrent use once its fields are set.
type Client struct {
	Limits Limits

	once      sync.Once
	limits    Limits
	transport exchange.Transport
}

func (c *Client) initialize() {
	c.once.Do(func() {
		c.limits = c.Limits
		if c.limits == (Limits{}) {
			c.limits = DefaultLimits()
		}
		c.transport.ConnectTimeout = c.limits.ConnectTimeout
	})
}

// Do sends the call once to the service at address ("ip:port"). It never retries, whatever the
// method: the caller decides on retries, based on the outcome.
//
// If ctx ends after the call was sent, the outcome is Unknown at once; the service may still run
// the call.
func (c *Client) Do(ctx context.Context, address string, call Call) Outcome {
	c.initialize()
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(call.ResponseTimeout, c.limits.ResponseTimeout))
	defer cancel()
	response, err := c.transport.Do(ctx, exchange.Request{
		Address: address,
		Method:  call.Method,
		Target:  requestTarget(call),
		Header:  requestHeader(call),
		Body:    call.Body,
	})
	if err != nil {
		return errorOutcome(err)
	}
	defer response.Body.Close()
	return c.responseOutcome(response, call)
}

func requestTarget(call Call) string {
	if call.RawQuery == "" {
		return call.Path
	}
	return call.Path + "?" + call.RawQuery
}

func errorOutcome(err error) Outcome {
	var failure *exchange.Failure
	if errors.As(err, &failure) && !failure.MaybeSent {
		return NotRun{Err: err}
	}
	return Unknown{Err: err}
}

// responseOutcome reads the whole response. If the response belongs to another call, is cut or is
// too large, the outcome is unknown: its status cannot be trusted, or it cannot be forwarded in
// full.
func (c *Client) responseOutcome(response *http.Response, call Call) Outcome {
	if response.Header.Get(headerRequestID) != call.ID {
		return Unknown{Err: ErrMismatchedResponse}
	}
	body, err := exchange.ReadAll(response.Body, c.limits.MaxResponseBytes)
	if err != nil {
		return Unknown{Err: err}
	}
	return Ran{Response: Response{
		Status: response.StatusCode,
		Header: ForwardableHeader(response.Header),
		Body:   body,
	}}
}

// ---------------------------------------------------------------------------------------------

// requestHeader returns the caller's headers that are forwarded, with the request ID and the
// idempotency key.
func requestHeader(call Call) http.Header {
	header := ForwardableHeader(call.Header)
	header.Set(headerRequestID, call.ID)
	if call.IdempotencyKey != "" {
		header.Set(headerIdempotencyKey, call.IdempotencyKey)
	}
	return header
}

// neverForwarded are headers that are not forwarded between callers and services: credentials,
// which no service may see; headers about a single connection; and headers that this project sets
// itself.
var neverForwarded = map[string]bool{
	"Authorization":       true,
	"Proxy-Authorization": true,
	"Cookie":              true,
	"Set-Cookie":          true,
	"X-Api-Key":           true,
	"Api-Key":             true,
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Host":                true,
	"Content-Length":      true,
	"X-Request-Id":        true,
	"X-Run":               true,
	"Idempotency-Key":     true,
	"X-Idempotency-Key":   true,
}

// ForwardableHeader copies the headers that may be forwarded. It also omits those named by the
// Connection header.
func ForwardableHeader(header http.Header) http.Header {
	perConnection := map[string]bool{}
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			perConnection[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	safe := http.Header{}
	for name, values := range header {
		if neverForwarded[name] || perConnection[name] {
			continue
		}
		safe[name] = append([]string(nil), values...)
	}
	return safe
}
