// The HTTP client of the platform's list. What it reads is handed on as it is: a hint.

package listing

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// DefaultTimeout bounds a read when Timeout is not set; it has no measured reason yet.
	DefaultTimeout = 2 * time.Second
	// maxAnswer bounds the list: some 4,500 machines at the target, far below it.
	maxAnswer = 4 << 20
)

// ErrUnavailable tells that the list could not be read, or what came was not a list.
var ErrUnavailable = errors.New("listing: unavailable")

// Client is a Listing over HTTP. Set the exported fields before the first call.
type Client struct {
	// Address is the list's IP and port.
	Address string
	// Timeout bounds each read; zero means DefaultTimeout.
	Timeout time.Duration
	// Calls counts the reads sent.
	Calls atomic.Int64
}

var _ Listing = (*Client)(nil)

// Members reads the list. Lines with a role that is not known are left out, so that the platform may
// list more than this program knows.
func (c *Client) Members(ctx context.Context) (members []Member, err error) {
	defer func() { err = errors.WithMessage(err, "read the instance list") }()
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: c.Address, Path: "/v1/members"}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, errors.WithMessage(ErrUnavailable, err.Error())
	}
	// The list is read every few seconds at the most. A connection of its own for each read cannot
	// have gone silent since the last one.
	request.Close = true
	c.Calls.Add(1)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, errors.WithMessage(ErrUnavailable, err.Error())
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.WithMessagef(ErrUnavailable, "status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, errors.WithMessage(ErrUnavailable, err.Error())
	}
	return decode(body)
}

// decode maps the list's JSON; its field names are the list's own.
func decode(body []byte) (members []Member, err error) {
	var wire []struct {
		Name       string
		Role       string
		Address    string
		DataCentre string
		Leaving    bool
	}
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, errors.WithMessage(ErrUnavailable, err.Error())
	}
	members = make([]Member, 0, len(wire))
	for _, w := range wire {
		switch role := Role(w.Role); role {
		case RoleInstance, RoleEngine, RoleService:
			members = append(members, Member{
				Name: w.Name, Role: role, Address: w.Address, DataCentre: w.DataCentre, Leaving: w.Leaving,
			})
		}
	}
	return members, nil
}
