// The HTTP client of the key-value service. Every call of an instance to the store goes through it:
// it bounds the time, counts the call, and sorts what came back into the errors of this package.

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
)

const (
	// DefaultTimeout bounds a call when Timeout is not set. The service answers in milliseconds; the
	// limit is for a connection that went silent, and has no measured reason yet.
	DefaultTimeout = 2 * time.Second
	// maxValue is a little above the largest value the service holds.
	maxValue = 1<<20 + 1<<16
	// maxList bounds the answer to List.
	maxList = 64 << 20
	// idleFor is how long an unused connection is kept. Something between the two ends may lose track
	// of an idle connection; the shorter it is kept, the rarer a call is lost to one.
	idleFor = 20 * time.Second
	// revisionHeader carries the revision of a value.
	revisionHeader = "X-Revision"
)

// Client is a Store over HTTP. Set the exported fields before the first call.
type Client struct {
	// Address is the service's IP and port.
	Address string
	// Timeout bounds each call, a watch beyond its wait; zero means DefaultTimeout.
	Timeout time.Duration
	// Calls counts the calls sent, a waiting watch as one.
	Calls atomic.Int64

	once      sync.Once
	transport *http.Transport
}

var _ Store = (*Client)(nil)

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (entry Entry, err error) {
	defer func() { err = errors.WithMessagef(err, "get %s", key) }()
	answer, err := c.call(ctx, request{method: http.MethodGet, path: "/v1/kv/" + key})
	if err != nil {
		return Entry{}, err
	}
	return answer.entry(key)
}

// CompareAndSwap writes a key whose revision is the expected one.
func (c *Client) CompareAndSwap(
	ctx context.Context, key string, expected int64, value []byte,
) (entry Entry, err error) {
	defer func() { err = errors.WithMessagef(err, "swap %s", key) }()
	answer, err := c.call(ctx, request{
		method: http.MethodPut, path: "/v1/kv/" + key, query: expecting(expected), body: value, writes: true,
	})
	if err != nil {
		return Entry{}, err
	}
	answer.body = value
	entry, err = answer.entry(key)
	if err != nil {
		// The write was accepted, but what it made cannot be told.
		return Entry{}, because(ErrUnknown, err)
	}
	return entry, nil
}

// Delete removes a key whose revision is the expected one.
func (c *Client) Delete(ctx context.Context, key string, expected int64) (err error) {
	defer func() { err = errors.WithMessagef(err, "delete %s", key) }()
	_, err = c.call(ctx, request{
		method: http.MethodDelete, path: "/v1/kv/" + key, query: expecting(expected), writes: true,
	})
	return err
}

// List reads all keys with a prefix.
func (c *Client) List(ctx context.Context, prefix string) (entries []Entry, err error) {
	defer func() { err = errors.WithMessagef(err, "list %s", prefix) }()
	answer, err := c.call(ctx, request{
		method: http.MethodGet, path: "/v1/kv", query: url.Values{"prefix": {prefix}}, limit: maxList,
	})
	if err != nil {
		return nil, err
	}
	return decodeList(answer.body)
}

// Watch waits for a revision of the key above after. wait must be above zero: the service takes zero
// for its own default.
func (c *Client) Watch(
	ctx context.Context, key string, after int64, wait time.Duration,
) (entry Entry, err error) {
	defer func() {
		if !errors.Is(err, ErrNotChanged) {
			err = errors.WithMessagef(err, "watch %s", key)
		}
	}()
	query := url.Values{"after": {strconv.FormatInt(after, 10)}, "wait": {wait.String()}}
	answer, err := c.call(ctx, request{
		method: http.MethodGet, path: "/v1/watch/" + key, query: query, wait: wait,
	})
	if err != nil {
		return Entry{}, err
	}
	return answer.entry(key)
}

func expecting(revision int64) url.Values {
	return url.Values{"expect": {strconv.FormatInt(revision, 10)}}
}

// decodeList maps the service's JSON array; its field names are the service's own.
func decodeList(body []byte) (entries []Entry, err error) {
	var wire []struct {
		Key      string
		Value    string
		Revision int64
	}
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, because(ErrUnavailable, err)
	}
	entries = make([]Entry, len(wire))
	for i, w := range wire {
		value, err := base64.StdEncoding.DecodeString(w.Value)
		if err != nil {
			return nil, because(ErrUnavailable, err)
		}
		entries[i] = Entry{Key: w.Key, Value: value, Revision: w.Revision}
	}
	return entries, nil
}

// ---------------------------------------------------------------------------------------------

// request is one call. writes says that a lost answer leaves the outcome unknown.
type request struct {
	method string
	path   string
	query  url.Values
	body   []byte
	writes bool
	wait   time.Duration
	limit  int64
}

// answer is what came back with a status that means success.
type answer struct {
	header http.Header
	body   []byte
}

func (a answer) entry(key string) (entry Entry, err error) {
	revision, err := strconv.ParseInt(a.header.Get(revisionHeader), 10, 64)
	if err != nil {
		return Entry{}, because(ErrUnavailable, err)
	}
	return Entry{Key: key, Value: a.body, Revision: revision}, nil
}

// call sends one request and maps its outcome. It makes no second attempt: only the caller knows
// whether the write may be sent again.
func (c *Client) call(ctx context.Context, r request) (a answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.wait+c.timeout())
	defer cancel()
	// A connection that could not be had means that nothing was sent. From the moment there is one,
	// bytes may have reached the service though the call fails: then a write's outcome is unknown.
	// Without the distinction an operator would read "nothing was changed" about a change that was.
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	target := url.URL{Scheme: "http", Host: c.Address, Path: r.path, RawQuery: r.query.Encode()}
	httpRequest, err := http.NewRequestWithContext(
		httptrace.WithClientTrace(ctx, trace), r.method, target.String(), bytes.NewReader(r.body))
	if err != nil {
		return answer{}, because(ErrUnavailable, err)
	}
	c.Calls.Add(1)
	response, err := c.roundTripper().RoundTrip(httpRequest)
	if err != nil {
		c.dropSilent(err)
		return answer{}, lost(r.writes && sent.Load(), err)
	}
	defer response.Body.Close()
	if err := statusError(response.StatusCode, r.writes); err != nil {
		return answer{}, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, r.bodyLimit()))
	if err != nil {
		c.dropSilent(err)
		return answer{}, lost(r.writes, err)
	}
	return answer{header: response.Header, body: body}, nil
}

// statusError sorts the statuses of the service. It refuses before doing anything when it is out, over
// its rate, or does not take the request. An unexpected status, such as that of something that stands
// in between, does not say that nothing was written.
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
		return because(ErrUnavailable, errors.Errorf("status %d", status))
	}
	return lost(writes, errors.Errorf("unexpected status %d", status))
}

// lost gives the error of a call without a usable answer.
func lost(mayHaveWritten bool, cause error) error {
	if mayHaveWritten {
		return because(ErrUnknown, cause)
	}
	return because(ErrUnavailable, cause)
}

// because gives an error that is the sentinel to errors.Is and tells the cause as well.
func because(sentinel, cause error) error {
	return errors.WithMessage(sentinel, cause.Error())
}

// dropSilent closes the idle connections after a call that ran out of time. If one connection went
// silent, those idle beside it probably did too, and each would swallow one more call.
func (c *Client) dropSilent(err error) {
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

// roundTripper is made on the first call. It is used without http.Client, which would follow
// redirects and so send a write twice.
func (c *Client) roundTripper() *http.Transport {
	c.once.Do(func() {
		dialer := &net.Dialer{Timeout: c.timeout(), KeepAlive: idleFor}
		c.transport = &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     idleFor,
			DisableCompression:  true,
		}
	})
	return c.transport
}
