// Package client calls the operators' API of an instance. lacewingctl is built on it. It makes one
// attempt for each call: only the operator can decide whether a change may be sent again.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/gateway/responsehead"
	"lacewingrock.example/lacewingrock/internal/operator/message"
)

const (
	// DefaultTimeout bounds a call, in addition to its wait; the instance itself bounds a change by 10 s.
	DefaultTimeout = 15 * time.Second
	// maxResponse bounds a response body: a list of 45,000 adapters is about 10 MB.
	maxResponse = 256 << 20
)

// Client calls one instance. Set the exported fields before the first call.
type Client struct {
	// Server is the instance's URL for operators, such as "http://10.0.0.1:7002".
	Server string
	// Token is the operator's token.
	Token string
	// Timeout bounds each call, in addition to its wait; zero means DefaultTimeout.
	Timeout time.Duration
}

// RefusedError is the error of a call that the instance refused.
type RefusedError struct {
	Status int
	Detail message.FailureDetail
}

// Error returns the message and every problem, one per line.
func (r *RefusedError) Error() string {
	lines := []string{r.Detail.Message}
	for _, p := range r.Detail.Problems {
		line := p.Kind + "/" + p.Name
		if p.Field != "" {
			line += " " + p.Field
		}
		lines = append(lines, "  "+line+": "+p.Problem)
	}
	return strings.Join(lines, "\n")
}

// NoResponseError is the error of a call without a usable response: the connection failed, or the response
// was lost. If Sent is false, nothing was changed; otherwise that is not known.
type NoResponseError struct {
	Sent  bool
	Cause error
}

// Error states whether anything can have been changed.
func (u *NoResponseError) Error() string {
	if u.Sent {
		return "the answer was lost: " + u.Cause.Error()
	}
	return "the instance cannot be reached, and nothing was sent: " + u.Cause.Error()
}

// ---------------------------------------------------------------------------------------------

// Apply declares the resources of a file, and waits up to wait until they are in force on every instance.
func (c *Client) Apply(ctx context.Context, file []byte, wait time.Duration) (accepted message.Accepted, err error) {
	err = c.call(ctx, call{method: http.MethodPost, path: "/v1/apply", body: file, wait: wait}, &accepted)
	return accepted, err
}

// Get reads one resource.
func (c *Client) Get(ctx context.Context, kind, name string) (resources message.Resources, err error) {
	err = c.call(ctx, call{method: http.MethodGet, path: resourcePath(kind, name)}, &resources)
	return resources, err
}

// List reads all resources of a kind.
func (c *Client) List(ctx context.Context, kind string) (resources message.Resources, err error) {
	path := "/v1/resources/" + url.PathEscape(kind)
	err = c.call(ctx, call{method: http.MethodGet, path: path}, &resources)
	return resources, err
}

// Delete removes a resource if its version is the given one; version 0 accepts any.
func (c *Client) Delete(
	ctx context.Context, kind, name string, version int64, wait time.Duration,
) (accepted message.Accepted, err error) {
	query := url.Values{}
	if version > 0 {
		query.Set("version", strconv.FormatInt(version, 10))
	}
	err = c.call(ctx, call{
		method: http.MethodDelete, path: resourcePath(kind, name), query: query, wait: wait,
	}, &accepted)
	return accepted, err
}

// Watch waits for a revision above after, and returns what changed.
func (c *Client) Watch(ctx context.Context, after int64, wait time.Duration) (changes message.Changes, err error) {
	query := url.Values{"after": {strconv.FormatInt(after, 10)}}
	err = c.call(ctx, call{method: http.MethodGet, path: "/v1/watch", query: query, wait: wait}, &changes)
	return changes, err
}

// GrantKey creates a key. Only the response contains its secret.
func (c *Client) GrantKey(
	ctx context.Context, workspace, name string, wait time.Duration,
) (granted message.Granted, err error) {
	body, err := json.Marshal(message.Grant{Workspace: workspace, Name: name})
	if err != nil {
		return message.Granted{}, err
	}
	err = c.call(ctx, call{method: http.MethodPost, path: "/v1/keys", body: body, wait: wait}, &granted)
	return granted, err
}

// WithdrawKey withdraws a key, so that it is no longer accepted.
func (c *Client) WithdrawKey(
	ctx context.Context, name string, wait time.Duration,
) (accepted message.Accepted, err error) {
	path := "/v1/keys/" + url.PathEscape(name) + "/withdraw"
	err = c.call(ctx, call{method: http.MethodPost, path: path, wait: wait}, &accepted)
	return accepted, err
}

// Status reads which revision is in force on each instance.
func (c *Client) Status(ctx context.Context) (status message.Status, err error) {
	err = c.call(ctx, call{method: http.MethodGet, path: "/v1/status"}, &status)
	return status, err
}

// Burn reads the burn report: how fast each workspace uses up its error budget.
func (c *Client) Burn(ctx context.Context) (report message.Burn, err error) {
	err = c.call(ctx, call{method: http.MethodGet, path: "/v1/report/burn"}, &report)
	return report, err
}

func resourcePath(kind, name string) string {
	return "/v1/resources/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// ---------------------------------------------------------------------------------------------

// call is one request. wait is sent in the query and added to the timeout.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	wait   time.Duration
}

func (c *Client) call(ctx context.Context, r call, into any) (err error) {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, r.wait+timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.method, c.target(r), bytes.NewReader(r.body))
	if err != nil {
		return &NoResponseError{Cause: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set("Content-Type", "application/json")
	response, err := responsehead.Transport{Base: http.DefaultTransport}.RoundTrip(request)
	if err != nil {
		return &NoResponseError{Sent: !dialFailed(err), Cause: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return &NoResponseError{Sent: true, Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return refused(response.StatusCode, body)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return &NoResponseError{Sent: true, Cause: errors.WithMessage(err, "the answer is not understood")}
	}
	return nil
}

func (c *Client) target(r call) string {
	query := r.query
	if query == nil {
		query = url.Values{}
	}
	if r.wait > 0 {
		query.Set("wait", r.wait.String())
	}
	target := strings.TrimRight(c.Server, "/") + r.path
	if len(query) == 0 {
		return target
	}
	return target + "?" + query.Encode()
}

// refused decodes a refusal. A body that is not a refusal of the API comes from an intermediary, such as a
// proxy.
func refused(status int, body []byte) error {
	var failure message.Failure
	err := json.Unmarshal(body, &failure)
	if err != nil || failure.Error.Code == "" {
		return &NoResponseError{Sent: true, Cause: fmt.Errorf("unexpected answer with status %d", status)}
	}
	return &RefusedError{Status: status, Detail: failure.Error}
}
