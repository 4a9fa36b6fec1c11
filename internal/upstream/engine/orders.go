package engine

// The orders of an upstream's holder, each with its fencing number, and the typed errors that tell
// what an engine did with one.

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/upstream/exchange"
)

// Errors of orders, told apart with errors.Is.
var (
	// ErrStaleFence means that the engine knows a higher fencing number; nothing was done.
	ErrStaleFence = errors.New("engine: order with an old fencing number")
	// ErrNoSlot means that all slots are taken; nothing was done.
	ErrNoSlot = errors.New("engine: no free slot")
	// ErrInUse means that the adapter version is serving; nothing was done.
	ErrInUse = errors.New("engine: adapter version in use")
	// ErrLoadFailed means that the engine could not get the weights.
	ErrLoadFailed = errors.New("engine: load failed")
	// ErrNotExecuted means that the order did not leave this process, or that the engine refused it, as it
	// does while it starts.
	ErrNotExecuted = errors.New("engine: order not done")
	// ErrOutcomeUnknown means that the order may have been carried out, or may be yet.
	ErrOutcomeUnknown = errors.New("engine: outcome of the order unknown")
)

// Order to load or unload an adapter version. Source is where the weight store keeps it.
type Order struct {
	Adapter string
	Version string
	Source  string
	Fence   int64
}

// wireOrder is the body of every order; the fields are spelled as in the engines' protocol.
type wireOrder struct {
	Adapter string `json:"Adapter,omitempty"`
	Version string `json:"Version,omitempty"`
	Source  string `json:"Source,omitempty"`
	Role    string `json:"Role,omitempty"`
	Fence   int64  `json:"Fence"`
}

// wireRefusal is the error object of an engine's refusal.
type wireRefusal struct {
	Error struct {
		Message string `json:"message"`
		Code    string `json:"code"`
	} `json:"error"`
}

// Codes of refused orders and completions.
const (
	codeStaleFence    = "stale_fence"
	codeNoSlot        = "no_slot"
	codeInUse         = "in_use"
	codeModelNotFound = "model_not_found"
)

// Load orders the engine to load an adapter version and waits until it has.
func (c *Client) Load(ctx context.Context, order Order) error {
	c.prepare()
	wire := wireOrder{Adapter: order.Adapter, Version: order.Version, Source: order.Source, Fence: order.Fence}
	return c.order(ctx, c.limits.LoadTimeout, "/orders/load", wire)
}

// Unload orders the engine to give up an adapter version.
func (c *Client) Unload(ctx context.Context, order Order) error {
	c.prepare()
	wire := wireOrder{Adapter: order.Adapter, Version: order.Version, Fence: order.Fence}
	return c.order(ctx, c.limits.OrderTimeout, "/orders/unload", wire)
}

// SetRole orders the engine to change its role.
func (c *Client) SetRole(ctx context.Context, role string, fence int64) error {
	c.prepare()
	return c.order(ctx, c.limits.OrderTimeout, "/orders/role", wireOrder{Role: role, Fence: fence})
}

func (c *Client) order(ctx context.Context, limit time.Duration, target string, wire wireOrder) (err error) {
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
		return c.orderLost(err)
	}
	defer response.Body.Close()
	if crossed(response, id) {
		c.observe(FaultCrossed)
		return errors.WithMessage(ErrOutcomeUnknown, "answer to another order")
	}
	return c.orderAnswered(response)
}

// orderLost tells an order that never left from one whose answer was lost. The difference matters to
// the holder: an order that may yet be carried out can evict what it has pinned since.
func (c *Client) orderLost(err error) error {
	var failure *exchange.Failure
	if errors.As(err, &failure) && !failure.MaybeSent {
		c.observe(FaultConnect)
		return errors.WithMessage(ErrNotExecuted, err.Error())
	}
	c.observe(FaultCut)
	return errors.WithMessage(ErrOutcomeUnknown, err.Error())
}

func (c *Client) orderAnswered(response *http.Response) error {
	if response.StatusCode == http.StatusOK {
		return nil
	}
	refused := readRefusal(response, c.limits.MaxResponseBytes)
	reason := http.StatusText(response.StatusCode) + " " + refused.Error.Code
	switch response.StatusCode {
	case http.StatusConflict:
		return conflict(refused.Error.Code, reason)
	case http.StatusBadGateway:
		return errors.WithMessage(ErrLoadFailed, refused.Error.Message)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests,
		http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed:
		return errors.WithMessage(ErrNotExecuted, reason)
	}
	return errors.WithMessage(ErrOutcomeUnknown, reason)
}

func conflict(code, reason string) error {
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

// readRefusal reads an error object; one that can't be read gives an empty code, which no decision
// takes for a promise.
func readRefusal(response *http.Response, limit int) (refused wireRefusal) {
	body, err := exchange.ReadAll(response.Body, limit)
	if err != nil {
		return wireRefusal{}
	}
	if json.Unmarshal(body, &refused) != nil {
		return wireRefusal{}
	}
	return refused
}

// crossed tells an answer that names another request.
func crossed(response *http.Response, id string) bool {
	answered := response.Header.Get(headerRequestID)
	return answered != "" && answered != id
}
