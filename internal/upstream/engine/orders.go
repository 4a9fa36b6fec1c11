package engine

// Orders that the holder of an upstream sends to its engine. Each carries a fencing number. Typed
// errors report what the engine did with an order.

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/upstream/exchange"
)

// Errors of orders, for use with errors.Is.
var (
	// ErrStaleFence means that the engine has seen a higher fencing number. The order was not
	// executed.
	ErrStaleFence = errors.New("engine: order has a stale fencing number")
	// ErrNoSlot means that all adapter slots are occupied. The order was not executed.
	ErrNoSlot = errors.New("engine: no free adapter slot")
	// ErrInUse means that the adapter version is serving requests. The order was not executed.
	ErrInUse = errors.New("engine: adapter version in use")
	// ErrLoadFailed means that the engine could not get the weights.
	ErrLoadFailed = errors.New("engine: load failed")
	// ErrNotExecuted means that the order was not sent, or that the engine rejected it, as it does
	// during startup.
	ErrNotExecuted = errors.New("engine: order not executed")
	// ErrOutcomeUnknown means that the order may have been executed, or may still be executed later.
	ErrOutcomeUnknown = errors.New("engine: outcome of the order unknown")
)

// Order to load or unload an adapter version. Source is its location in the weight store.
type Order struct {
	Adapter string
	Version string
	Source  string
	Fence   int64
}

// wireOrder is the request body of every order. The field names are those of the engine protocol.
type wireOrder struct {
	Adapter string `json:"Adapter,omitempty"`
	Version string `json:"Version,omitempty"`
	Source  string `json:"Source,omitempty"`
	Role    string `json:"Role,omitempty"`
	Fence   int64  `json:"Fence"`
}

// wireError is the error object in an engine's error response.
type wireError struct {
	Error struct {
		Message string `json:"message"`
		Code    string `json:"code"`
	} `json:"error"`
}

// Error codes of refused orders and completions.
const (
	codeStaleFence    = "stale_fence"
	codeNoSlot        = "no_slot"
	codeInUse         = "in_use"
	codeModelNotFound = "model_not_found"
)

// Load orders the engine to load an adapter version and waits until it is loaded.
func (c *Client) Load(ctx context.Context, order Order) error {
	c.initialize()
	wire := wireOrder{Adapter: order.Adapter, Version: order.Version, Source: order.Source, Fence: order.Fence}
	return c.sendOrder(ctx, c.limits.LoadTimeout, "/orders/load", wire)
}

// Unload orders the engine to unload an adapter version.
func (c *Client) Unload(ctx context.Context, order Order) error {
	c.initialize()
	wire := wireOrder{Adapter: order.Adapter, Version: order.Version, Fence: order.Fence}
	return c.sendOrder(ctx, c.limits.OrderTimeout, "/orders/unload", wire)
}

// SetRole orders the engine to change its role.
func (c *Client) SetRole(ctx context.Context, role string, fence int64) error {
	c.initialize()
	return c.sendOrder(ctx, c.limits.OrderTimeout, "/orders/role", wireOrder{Role: role, Fence: fence})
}

func (c *Client) sendOrder(ctx context.Context, limit time.Duration, target string, wire wireOrder) (err error) {
	defer func() { err = errors.WithMessage(err, target) }()
	body, err := json.Marshal(wire)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	id := uuid.NewString()
	response, err := c.transport.Do(ctx, exchange.Request{
		Address: c.Address,
		Method:  http.MethodPost,
		Target:  target,
		Header:  jsonHeader(id),
		Body:    body,
	})
	if err != nil {
		return c.orderSendError(err)
	}
	defer response.Body.Close()
	if isForOtherRequest(response, id) {
		c.reportFault(FaultCrossed)
		return errors.WithMessage(ErrOutcomeUnknown, "response to another order")
	}
	return c.orderResult(response)
}

// orderSendError distinguishes an order that was never sent from one whose response was lost. The
// difference matters to the holder: an order that may still be executed can evict an adapter
// version that the holder has pinned since.
func (c *Client) orderSendError(err error) error {
	var failure *exchange.Failure
	if errors.As(err, &failure) && !failure.MaybeSent {
		c.reportFault(FaultConnect)
		return errors.WithMessage(ErrNotExecuted, err.Error())
	}
	c.reportFault(FaultCut)
	return errors.WithMessage(ErrOutcomeUnknown, err.Error())
}

func (c *Client) orderResult(response *http.Response) error {
	if response.StatusCode == http.StatusOK {
		return nil
	}
	refused := readError(response, c.limits.MaxResponseBytes)
	reason := http.StatusText(response.StatusCode) + " " + refused.Error.Code
	switch response.StatusCode {
	case http.StatusConflict:
		return conflictError(refused.Error.Code, reason)
	case http.StatusBadGateway:
		return errors.WithMessage(ErrLoadFailed, refused.Error.Message)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests,
		http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed:
		return errors.WithMessage(ErrNotExecuted, reason)
	}
	return errors.WithMessage(ErrOutcomeUnknown, reason)
}

func conflictError(code, reason string) error {
	switch code {
	case codeStaleFence:
		return ErrStaleFence
	case codeNoSlot:
		return ErrNoSlot
	case codeInUse:
		return ErrInUse
	}
	return errors.WithMessage(ErrOutcomeUnknown, reason)
}

// readError reads the error object of a response. If it cannot be read, the code is empty, and an
// empty code never counts as proof that the request did not run.
func readError(response *http.Response, limit int) (refused wireError) {
	body, err := exchange.ReadAll(response.Body, limit)
	if err != nil {
		return wireError{}
	}
	if json.Unmarshal(body, &refused) != nil {
		return wireError{}
	}
	return refused
}

// isForOtherRequest reports whether the response carries the ID of a different request.
func isForOtherRequest(response *http.Response, id string) bool {
	responseID := response.Header.Get(headerRequestID)
	return responseID != "" && responseID != id
}
