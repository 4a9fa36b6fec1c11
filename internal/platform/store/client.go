// The HTTP client of the key-value service. Every call of an instance to the store uses it. It applies
// the timeout, counts the call, and maps failures to the errors of this package.

package store

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/responsehead"
	"lacewingrock.example/lacewingrock/internal/gateway/socket"
)

const (
	// DefaultTimeout bounds a call if Timeout is not set. The service responds in milliseconds; the
	// timeout is for a connection that has stopped responding.
	DefaultTimeout = 2 * time.Second
	// maxValue is slightly above the largest value that the service stores.
	maxValue = 1<<20 + 1<<16
	// maxList bounds the response to List.
	maxList = 64 << 20
	// idleTimeout is how long an unused connection is kept open. A middlebox may drop an idle connection
	// silently; the shorter the timeout, the fewer calls are lost on such a connection.
	idleTimeout = 20 * time.Second
	// revisionHeader carries the revision of a value.
	revisionHeader = "X-Revision"
)

// Client is a Store that uses HTTP. Set the exported fields before the first call.
type Client struct {
	// Address is the service's IP and port.
	Address string
	// Timeout bounds each call; for a watch it is added to the wait. Zero means DefaultTimeout.
	Timeout time.Duration
	// Calls counts the calls sent; a watch counts once.
	Calls atomic.Int64

	once      sync.Once
	transport *http.Transport
}

var _ Store = (*Client)(nil)

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (entry Entry, err error) {
	defer func() { err = errors.WithMessagef(err, "get %s", key) }()
	response, err := c.call(ctx, request{method: http.MethodGet, path: "/v1/kv/" + key})
	if err != nil {
		return Entry{}, err
	}
	return response.entry(key)
}

// CompareAndSwap writes a key whose revision is the expected one.
func (c *Client) CompareAndSwap(
	ctx context.Context, key string, expected int64, value []byte,
) (entry Entry, err error) {
	defer func() { err = errors.WithMessagef(err, "swap %s", key) }()
	response, err := c.call(ctx, request{
		method: http.MethodPut, path: "/v1/kv/" + key, query: expectQuery(expected), body: value, writes: true,
	})
	if err != nil {
		return Entry{}, err
	}
	response.body = value
	entry, err = response.entry(key)
	if err != nil {
		// The write succeeded, but the response does not state the new revision.
		return Entry{}, withCause(ErrUnknown, err)
	}
	return entry, nil
}

// Delete removes a key whose revision is the expected one.
func (c *Client) Delete(ctx context.Context, key string, expected int64) (err error) {
	defer func() { err = errors.WithMessagef(err, "delete %s", key) }()
	_, err = c.call(ctx, request{
		method: http.MethodDelete, path: "/v1/kv/" + key, query: expectQuery(expected), writes: true,
	})
	return err
}

// List reads all keys with a prefix.
func (c *Client) List(ctx context.Context, prefix string) (entries []Entry, err error) {
	defer func() { err = errors.WithMessagef(err, "list %s", prefix) }()
	response, err := c.call(ctx, request{
		method: http.MethodGet, path: "/v1/kv", query: url.Values{"prefix": {prefix}}, limit: maxList,
	})
	if err != nil {
		return nil, err
	}
	return decodeList(response.body)
}

// Watch waits for a revision of the key above after. wait must be above zero: the service replaces zero
// with its own default.
func (c *Client) Watch(
	ctx context.Context, key string, after int64, wait time.Duration,
) (entry Entry, err error) {
	defer func() {
		if !errors.Is(err, ErrNotChanged) {
			err = errors.WithMessagef(err, "watch %s", key)
		}
	}()
	query := url.Values{"after": {strconv.FormatInt(after, 10)}, "wait": {wait.String()}}
	response, err := c.call(ctx, request{
		method: http.MethodGet, path: "/v1/watch/" + key, query: query, wait: wait,
	})
	if err != nil {
		return Entry{}, err
	}
	return response.entry(key)
}

func expectQuery(revision int64) url.Values {
	return url.Values{"expect": {strconv.FormatInt(revision, 10)}}
}

// decodeList parses the service's JSON array; the service defines the field names.
func decodeList(body []byte) (entries []Entry, err error) {
	var wire []struct {
		Key      string
		Value    string
		Revision int64
	}
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, withCause(ErrUnavailable, err)
	}
	entries = make([]Entry, len(wire))
	for i, w := range wire {
		value, err := base64.StdEncoding.DecodeString(w.Value)
		if err != nil {
			return nil, withCause(ErrUnavailable, err)
		}
		entries[i] = Entry{Key: w.Key, Value: value, Revision: w.Revision}
	}
	return entries, nil
}

// ---------------------------------------------------------------------------------------------

// request is one call. writes marks a write, whose outcome is unknown if the response is lost.
type request struct {
	method string
	path   string
	query  url.Values
	body   []byte
	writes bool
	wait   time.Duration
	limit  int64
}

// result is the header and the body of a successful response.
type result struct {
	header http.Header
	body   []byte
}

func (r result) entry(key string) (entry Entry, err error) {
	revision, err := strconv.ParseInt(r.header.Get(revisionHeader), 10, 64)
	if err != nil {
		return Entry{}, withCause(ErrUnavailable, err)
	}
	return Entry{Key: key, Value: r.body, Revision: revision}, nil
}

// call sends one request and maps its outcome to a result or an error. It does not retry: only the
// caller can decide whether a write may be sent again.
func (c *Client) call(ctx context.Context, r request) (received result, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.wait+c.timeout())
	defer cancel()
	// Without a connection, nothing was sent. Once there is a connection, bytes may have reached the
	// service even if the call fails, so the outcome of a write is unknown. Without this distinction an
	// operator would read "nothing was changed" about a change that was made.
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	target := url.URL{Scheme: "http", Host: c.Address, Path: r.path, RawQuery: r.query.Encode()}
	httpRequest, err := http.NewRequestWithContext(
		httptrace.WithClientTrace(ctx, trace), r.method, target.String(), bytes.NewReader(r.body))
	if err != nil {
		return result{}, withCause(ErrUnavailable, err)
	}
	c.Calls.Add(1)
	response, err := responsehead.Transport{Base: c.roundTripper()}.RoundTrip(httpRequest)
	if err != nil {
		c.closeIdleOnTimeout(err)
		return result{}, lostResponse(r.writes && sent.Load(), err)
	}
	defer response.Body.Close()
	if err := statusError(response.StatusCode, r.writes); err != nil {
		return result{}, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, r.bodyLimit()))
	if err != nil {
		c.closeIdleOnTimeout(err)
		return result{}, lostResponse(r.writes, err)
	}
	return result{header: response.Header, body: body}, nil
}

// statusError maps a status to an error. During an outage, over its rate limit, or on an invalid request
// the service refuses before it writes anything. An unexpected status, such as one from a proxy in
// between, does not mean that nothing was written.
func statusError(status int, writes bool) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNoContent:
		if writes {
			return nil
		}
		return ErrNotChanged
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return withCause(ErrUnavailable, errors.Errorf("status %d", status))
	}
	return lostResponse(writes, errors.Errorf("unexpected status %d", status))
}

// lostResponse returns the error of a call without a usable response.
func lostResponse(mayHaveWritten bool, cause error) error {
	if mayHaveWritten {
		return withCause(ErrUnknown, cause)
	}
	return withCause(ErrUnavailable, cause)
}

// withCause returns an error that matches the sentinel with errors.Is and whose text includes the cause.
func withCause(sentinel, cause error) error {
	return errors.WithMessage(sentinel, cause.Error())
}

// closeIdleOnTimeout closes the idle connections if the call timed out. If one connection has stopped
// responding, the other idle ones probably have too, and each of them would fail one more call.
func (c *Client) closeIdleOnTimeout(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		c.roundTripper().CloseIdleConnections()
	}
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultTimeout
}

func (r request) bodyLimit() int64 {
	if r.limit > 0 {
		return r.limit
	}
	return maxValue
}

// roundTripper returns the transport, which the first call creates. It is used without http.Client, which
// would follow redirects and so send a write twice.
func (c *Client) roundTripper() *http.Transport {
	c.once.Do(func() {
		dialer := &net.Dialer{Timeout: c.timeout(), KeepAlive: idleTimeout}
		c.transport = &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				opened, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return socket.WithFailure(opened), nil
			},
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}
	})
	return c.transport
}
