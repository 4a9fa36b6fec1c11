// The HTTP client of the platform's list. It returns the list as read; callers use it only as a hint.

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

	"lacewingrock.example/lacewingrock/internal/gateway/responsehead"
)

const (
	// DefaultTimeout bounds a read if Timeout is not set.
	DefaultTimeout = 2 * time.Second
	// maxResponse bounds the response body. The target of about 4,500 machines stays far below it.
	maxResponse = 4 << 20
)

// ErrUnavailable means that the list could not be read, or that the response is not a list.
var ErrUnavailable = errors.New("listing: unavailable")

// Client is a Listing that uses HTTP. Set the exported fields before the first call.
type Client struct {
	// Address is the list's IP and port.
	Address string
	// Timeout bounds each read; zero means DefaultTimeout.
	Timeout time.Duration
	// Calls counts the read requests sent.
	Calls atomic.Int64
}

var _ Listing = (*Client)(nil)

// Members reads the list. It skips entries with an unknown role, so that the platform can add roles that
// this program does not support.
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
	// The list is read at most once every few seconds. A new connection for each read avoids a kept
	// connection that has stopped responding since the previous read.
	request.Close = true
	c.Calls.Add(1)
	response, err := responsehead.Transport{Base: http.DefaultTransport}.RoundTrip(request)
	if err != nil {
		return nil, errors.WithMessage(ErrUnavailable, err.Error())
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.WithMessagef(ErrUnavailable, "status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return nil, errors.WithMessage(ErrUnavailable, err.Error())
	}
	return decode(body)
}

// decode parses the list's JSON; the platform defines the field names.
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
