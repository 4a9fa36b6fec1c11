// Package engine is the client of one model engine: it runs completions as streams, resumes them on a
// new connection when the old one goes silent, cancels them, and gives the holder's orders. What may
// have run and what certainly has not is told apart in typed outcomes.
package engine

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lacewingrock.example/lacewingrock/internal/caller/completion"
	"lacewingrock.example/lacewingrock/internal/caller/stream"
	"lacewingrock.example/lacewingrock/internal/upstream/exchange"
)

// The headers of the engines' protocol.
const (
	headerRequestID   = "X-Request-Id"
	headerPriority    = "X-Priority"
	headerServedModel = "X-Served-Model"
	headerRetryAfter  = "Retry-After"
)

// Limits bound each phase of an exchange. None has a measured reason yet but for the target's first
// token (0.54 s) and gap between tokens (30 ms), which they stand well above.
type Limits struct {
	// ConnectTimeout is the longest a connection may take to open.
	ConnectTimeout time.Duration
	// FirstTokenTimeout is the longest wait from the send to the first event.
	FirstTokenTimeout time.Duration
	// InterTokenTimeout is the longest wait between two events.
	InterTokenTimeout time.Duration
	// MaxResumes is how many connections in a row may be tried without a new event on any of them.
	MaxResumes int
	// CancelTimeout bounds the cancelling of a stream that is no longer wanted.
	CancelTimeout time.Duration
	// OrderTimeout bounds a role or unload order, LoadTimeout a load order, ReportTimeout a report or an events page.
	OrderTimeout, LoadTimeout, ReportTimeout time.Duration
	// MaxLineBytes bounds a line of a stream, MaxResponseBytes any other answer.
	MaxLineBytes, MaxResponseBytes int
}

// DefaultLimits suit engines in the same region.
func DefaultLimits() Limits {
	return Limits{
		ConnectTimeout:    time.Second,
		FirstTokenTimeout: 10 * time.Second,
		InterTokenTimeout: 3 * time.Second,
		MaxResumes:        3,
		CancelTimeout:     2 * time.Second,
		OrderTimeout:      5 * time.Second,
		LoadTimeout:       30 * time.Second,
		ReportTimeout:     2 * time.Second,
		MaxLineBytes:      1 << 20,
		MaxResponseBytes:  4 << 20,
	}
}

// Client of the engine at Address ("ip:port"). The zero Limits mean DefaultLimits. It is safe for
// concurrent use once its fields are set.
type Client struct {
	Address string
	Limits  Limits
	// OnFault, when set, is told of each fault that the client got over or gave up on, for counters.
	OnFault func(Fault)

	once      sync.Once
	limits    Limits
	transport exchange.Transport
}

// Fault is something an engine or the way to it did wrong.
type Fault string

// The faults, as they are counted.
const (
	FaultConnect    Fault = "connect"
	FaultSilent     Fault = "silent"
	FaultCut        Fault = "cut"
	FaultCrossed    Fault = "crossed"
	FaultWrongModel Fault = "wrong_model"
	FaultMalformed  Fault = "malformed"
	FaultRefused    Fault = "refused"
)

// Dispatch is one run of a request at an engine. ID must differ between two runs of one request at
// one engine, as the engine keeps streams by it. Model is "adapter@version".
type Dispatch struct {
	ID       string
	API      completion.API
	Model    string
	Priority int
	Body     []byte
}

// Sink receives a stream as it comes, each token once and in order, without the ending [DONE]. Tokens
// is the number generated so far. An error from it cancels the stream. Begin comes before the first
// event, and only if there is one.
type Sink interface {
	Begin(model string) error
	Event(event stream.Event, tokens int) error
}

// Outcome of a dispatch; sealed. Each type says how far the run got.
type Outcome interface{ outcome() }

// Completed is the outcome in which the stream came whole, up to [DONE]. Usage is the engine's count, when it gave one.
type Completed struct {
	Tokens int
	Usage  stream.Usage
}

// NotRun is the outcome in which no byte of the request left this process, or the engine refused it before running.
type NotRun struct{ Err error }

// NotResident is the outcome in which the engine does not hold the adapter version; not run.
type NotResident struct{}

// Full is the outcome in which the engine has no batch place free; not run.
type Full struct{ RetryAfter time.Duration }

// Rejected is the outcome in which the engine found the request itself wrong (status 4xx); not run.
type Rejected struct {
	Status  int
	Message string
}

// WrongModel is the outcome in which the engine ran something else; nothing of it reached the sink.
type WrongModel struct {
	ServedModel   string
	StopConfirmed bool
}

// Failed is the outcome in which the stream was lost after Tokens tokens and could not be resumed.
// Stopped tells whether the engine confirmed that it runs no more. Lost tells that the engine itself
// went away while the request ran there, as it does when it crashes: nothing listens at its address any
// more, or it no longer knows the stream. Otherwise the way to it may be at fault.
type Failed struct {
	Tokens        int
	Err           error
	StopConfirmed bool
	EngineLost    bool
}

// Unknown is the outcome in which the request left this process, and whether it ran can't be told.
// Stopped and Lost are as with Failed; a request that never arrived looks like one that was lost.
type Unknown struct {
	Err           error
	StopConfirmed bool
	EngineLost    bool
}

// Cancelled is the outcome in which the caller went away or the sink failed. Stopped tells whether the engine confirmed.
type Cancelled struct {
	Tokens        int
	Err           error
	StopConfirmed bool
}

func (Completed) outcome()   {}
func (NotRun) outcome()      {}
func (NotResident) outcome() {}
func (Full) outcome()        {}
func (Rejected) outcome()    {}
func (WrongModel) outcome()  {}
func (Failed) outcome()      {}
func (Unknown) outcome()     {}
func (Cancelled) outcome()   {}

// ---------------------------------------------------------------------------------------------

// Complete runs one completion and returns when it has ended, one way or another. When ctx ends, the
// stream is cancelled at the engine before Complete returns.
func (c *Client) Complete(ctx context.Context, dispatch Dispatch, sink Sink) Outcome {
	c.prepare()
	r := &runner{client: c, dispatch: dispatch, sink: sink}
	return r.complete(ctx)
}

// prepare fixes the limits at the first use.
func (c *Client) prepare() {
	c.once.Do(func() {
		c.limits = c.Limits
		if c.limits == (Limits{}) {
			c.limits = DefaultLimits()
		}
		c.transport.ConnectTimeout = c.limits.ConnectTimeout
	})
}

func (c *Client) observe(fault Fault) {
	if c.OnFault != nil {
		c.OnFault(fault)
	}
}

// jsonHeader is the header of a request with a JSON body and an identity.
func jsonHeader(id string) http.Header {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(headerRequestID, id)
	return header
}

// retryAfter reads when to come back; a second when the engine does not say.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get(headerRetryAfter))
	if err != nil || seconds < 1 {
		return time.Second
	}
	return time.Duration(seconds) * time.Second
}
