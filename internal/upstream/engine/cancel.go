package engine

// Cancelling a stream, by whoever knows its identity: the instance that dispatched it, or the holder
// when that instance has died.

import (
	"context"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/upstream/exchange"
)

// Cancel ends the stream of a dispatch. It returns nil only when the engine has confirmed that the
// stream runs no more, or never did.
func (c *Client) Cancel(ctx context.Context, id string) (err error) {
	defer func() { err = errors.WithMessage(err, "cancel a stream") }()
	c.prepare()
	ctx, cancel := context.WithTimeout(ctx, c.limits.CancelTimeout)
	defer cancel()
	response, err := c.transport.Do(ctx, exchange.Request{
		Address: c.Address,
		Method:  http.MethodDelete,
		Target:  streamTarget(id),
		Header:  http.Header{headerRequestID: {id}},
	})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if crossed(response, id) {
		c.observe(FaultCrossed)
		return errors.New("answer to another call")
	}
	if response.StatusCode >= http.StatusMultipleChoices && response.StatusCode != http.StatusNotFound {
		return errors.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// streamTarget is where an engine keeps a stream.
func streamTarget(id string) string {
	return "/v1/streams/" + url.PathEscape(id)
}
