// Package client calls the operators' API of an instance. lacewingctl is built on it. It makes one
// attempt for each call: whether a change may be sent again is the operator's to decide.
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

	"lacewingrock.example/lacewingrock/internal/operator/message"
)

const (
	// DefaultTimeout bounds a call beyond what it waits for; the instance itself gives a change 10 s.
	DefaultTimeout = 15 * time.Second
	// maxAnswer bounds an answer: a list of 45,000 adapters is some 10 MB.
	maxAnswer = 256 << 20
)

// Client calls one instance. Set the exported fields before the first call.
type Client struct {
	// Server is the instance's URL for operators, such as "http://10.0.0.1:7002".
	Server string
	// Token is the operator's.
	Token string
	// Timeout bounds each call beyond what it waits for; zero means DefaultTimeout.
	Timeout time.Duration
}

// RefusedError is the error of a call that the instance refused.
type RefusedError struct {
	Status int
	Detail message.FailureDetail
}

// Error gives the message and every problem, one a line.
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

// NoResponseError is the error of a call without a usable answer: no connection, or a lost answer. Whether
// a change was made is not known unless Sent is false.
type NoResponseError struct {
	Sent  bool
	Cause error
}

// Error says whether anything can have been changed.
func (u *NoResponseError) Error() string {
	if u.Sent {
		return "the answer was lost: " + u.Cause.Error()
	}
	return "the instance cannot be reached, and nothing was sent: " + u.Cause.Error()
}

// ---------------------------------------------------------------------------------------------

// Apply sends a file of resources, and waits up to wait for it to be in force everywhere.
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

// Delete removes a resource that has the version, or any version if it is 0.
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

// Watch waits for a revision above after, and tells what changed.
func (c *Client) Watch(ctx context.Context, after int64, wait time.Duration) (changes message.Changes, err error) {
	query := url.Values{"after": {strconv.FormatInt(after, 10)}}
	err = c.call(ctx, call{method: http.MethodGet, path: "/v1/watch", query: query, wait: wait}, &changes)
	return changes, err
}

// GrantKey makes a key. Its secret is in the answer and nowhere else.
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

// WithdrawKey ends the use of a key.
func (c *Client) WithdrawKey(
	ctx context.Context, name string, wait time.Duration,
) (accepted message.Accepted, err error) {
	path := "/v1/keys/" + url.PathEscape(name) + "/withdraw"
	err = c.call(ctx, call{method: http.MethodPost, path: path, wait: wait}, &accepted)
	return accepted, err
}

// Status says on which instances which revision is in force.
func (c *Client) Status(ctx context.Context) (status message.Status, err error) {
	err = c.call(ctx, call{method: http.MethodGet, path: "/v1/status"}, &status)
	return status, err
}

// Burn reads the report on service-level burn.
func (c *Client) Burn(ctx context.Context) (report message.Burn, err error) {
	err = c.call(ctx, call{method: http.MethodGet, path: "/v1/report/burn"}, &report)
	return report, err
}

func resourcePath(kind, name string) string {
	return "/v1/resources/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// ---------------------------------------------------------------------------------------------

// call is one request. wait goes into the query and lengthens the time limit.
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
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return &NoResponseError{Sent: !dialFailed(err), Cause: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
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

// refused reads the refusal; what is no refusal of ours came from something in between.
func refused(status int, body []byte) error {
	var failure message.Failure
	err := json.Unmarshal(body, &failure)
	if err != nil || failure.Error.Code == "" {
		return &NoResponseError{Sent: true, Cause: fmt.Errorf("unexpected answer with status %d", status)}
	}
	return &RefusedError{Status: status, Detail: failure.Error}
}
