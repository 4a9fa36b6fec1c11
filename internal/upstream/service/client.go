// Package service is the client of plain services, the ones beside the model engines. A call is sent
// at most once, on a connection of its own, and ends in one of three outcomes.
package service

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/upstream/exchange"
)

// Headers of the services' protocol.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// Call is one call of a plain service. Path begins with a slash and is relative to the service, in its
// escaped form; ID is the identity that the answer must repeat. IdempotencyKey goes on to the service
// when set.
type Call struct {
	ID             string
	Method         string
	Path           string
	RawQuery       string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
}

// Response of a plain service, whole, with the headers that may go back to the caller.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Outcome of a call; sealed.
type Outcome interface{ outcome() }

// NotRun is the outcome in which no byte of the call left this process.
type NotRun struct{ Err error }

// Ran is the outcome in which the service answered.
type Ran struct{ Response Response }

// Unknown is the outcome in which the call left this process, and whether it ran can't be told.
type Unknown struct{ Err error }

func (NotRun) outcome()  {}
func (Ran) outcome()     {}
func (Unknown) outcome() {}

// ErrMismatchedResponse means that the answer belongs to another call.
var ErrMismatchedResponse = errors.New("service: answer to another call")

// Limits of a call. None has a measured reason yet.
type Limits struct {
	// ConnectTimeout is the longest a connection may take to open, ResponseTimeout the longest from the start of the
	// call to the end of its answer.
	ConnectTimeout, ResponseTimeout time.Duration
	// MaxResponseBytes bounds an answer's body.
	MaxResponseBytes int
}

// DefaultLimits suit services in the same region.
func DefaultLimits() Limits {
	return Limits{ConnectTimeout: time.Second, ResponseTimeout: 10 * time.Second, MaxResponseBytes: 1 << 20}
}

// Client of plain services. The zero Limits mean DefaultLimits. It is safe for concurrent use once its
// fields are set.
type Client struct {
	Limits Limits

	once      sync.Once
	limits    Limits
	transport exchange.Transport
}

func (c *Client) prepare() {
	c.once.Do(func() {
		c.limits = c.Limits
		if c.limits == (Limits{}) {
			c.limits = DefaultLimits()
		}
		c.transport.ConnectTimeout = c.limits.ConnectTimeout
	})
}

// Do sends the call once to the service at address ("ip:port"). Nothing is ever sent again here,
// whatever the method: repeating is the caller's decision, made on the outcome.
//
// A call whose ctx ends after it left is Unknown at once; the service may still run it.
func (c *Client) Do(ctx context.Context, address string, call Call) Outcome {
	c.prepare()
	ctx, cancel := context.WithTimeout(ctx, c.limits.ResponseTimeout)
	defer cancel()
	response, err := c.transport.Do(ctx, exchange.Request{
		Address: address,
		Method:  call.Method,
		Target:  target(call),
		Header:  requestHeader(call),
		Body:    call.Body,
	})
	if err != nil {
		return unanswered(err)
	}
	defer response.Body.Close()
	return c.answered(response, call)
}

func target(call Call) string {
	if call.RawQuery == "" {
		return call.Path
	}
	return call.Path + "?" + call.RawQuery
}

func unanswered(err error) Outcome {
	var failure *exchange.Failure
	if errors.As(err, &failure) && !failure.MaybeSent {
		return NotRun{Err: err}
	}
	return Unknown{Err: err}
}

// answered reads the whole answer. An answer that is crossed, cut or too large leaves the outcome
// unknown: its status can't be trusted, or can't be passed on whole.
func (c *Client) answered(response *http.Response, call Call) Outcome {
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

// requestHeader is what goes on of the caller's headers, with the call's identity and key.
func requestHeader(call Call) http.Header {
	header := ForwardableHeader(call.Header)
	header.Set(headerRequestID, call.ID)
	if call.IdempotencyKey != "" {
		header.Set(headerIdempotencyKey, call.IdempotencyKey)
	}
	return header
}

// keptBack are headers that never pass between a caller and a service: credentials, which no service
// may see; those about one connection; and those that this project sets itself.
var keptBack = map[string]bool{
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

// ForwardableHeader copies the headers that may pass, those named by Connection left out as well.
func ForwardableHeader(header http.Header) http.Header {
	perConnection := map[string]bool{}
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			perConnection[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	safe := http.Header{}
	for name, values := range header {
		if keptBack[name] || perConnection[name] {
			continue
		}
		safe[name] = append([]string(nil), values...)
	}
	return safe
}
