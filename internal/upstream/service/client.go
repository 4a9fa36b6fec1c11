// Package service is the client of plain services, the ones beside the model engines. A call is sent
// at most once, on a connection of its own, and ends in one of three outcomes.
package service

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Call is one call of a plain service. Path begins with a slash and is relative to the service; ID is
// the identity that the answer must repeat. IdempotencyKey goes on to the service when set.
type Call struct {
	ID             string
	Method         string
	Path           string
	RawQuery       string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
}

// Answer of a plain service, whole.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Outcome of a call; sealed.
type Outcome interface{ outcome() }

// NotRun is the outcome in which no byte of the call left this process.
type NotRun struct{ Err error }

// Ran is the outcome in which the service answered.
type Ran struct{ Answer Answer }

// Unknown is the outcome in which the call left this process, and whether it ran can't be told.
type Unknown struct{ Err error }

func (NotRun) outcome()  {}
func (Ran) outcome()     {}
func (Unknown) outcome() {}

// Limits of a call. None has a measured reason yet.
type Limits struct {
	// Connect is the longest a connection may take to open, Answer the longest from send to answer.
	Connect, Answer time.Duration
	// AnswerBytes bounds an answer's body.
	AnswerBytes int
}

// DefaultLimits suit services in the same region.
func DefaultLimits() Limits {
	return Limits{Connect: time.Second, Answer: 10 * time.Second, AnswerBytes: 1 << 20}
}

// Client of plain services. The zero Limits mean DefaultLimits.
type Client struct {
	Limits Limits
}

// Do sends the call once to the service at address ("ip:port").
func (c *Client) Do(ctx context.Context, address string, call Call) Outcome {
	return NotRun{Err: errors.New("service: not built yet")}
}
