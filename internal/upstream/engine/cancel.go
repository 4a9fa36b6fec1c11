package engine

// Cancellation of a stream by its request ID. It is used by the instance that dispatched the
// request, or by the holder after that instance has failed.

import (
	"context"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/upstream/exchange"
)

// Cancel ends the stream of a dispatch. It returns nil only if the engine has confirmed that the
// stream is no longer running or never ran.
func (c *Client) Cancel(ctx context.Context, id string) (err error) {
	defer func() { err = errors.WithMessage(err, "cancel stream") }()
	c.initialize()
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
	if isForOtherRequest(response, id) {
		c.reportFault(FaultCrossed)
		return errors.New("response to another request")
	}
	if response.StatusCode >= http.StatusMultipleChoices && response.StatusCode != http.StatusNotFound {
		return errors.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// streamTarget is the path of a stream at an engine.
func streamTarget(id string) string {
	return "/v1/streams/" + url.PathEscape(id)
}
