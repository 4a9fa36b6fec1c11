// Package engine is the client of one model engine. It runs completions as streams, resumes them on
// a new connection if the old one stalls, cancels them, and sends the holder's orders. Typed
// outcomes separate requests that may have run from those that certainly did not.
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

// Headers of the engine protocol.
const (
	headerRequestID   = "X-Request-Id"
	headerPriority    = "X-Priority"
	headerServedModel = "X-Served-Model"
	headerRetryAfter  = "Retry-After"
)

// Limits bound each phase of an exchange. The timeouts of tokens are well above the target
// latencies, 0.54 s to the first token and 30 ms between tokens.
type Limits struct {
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration
	// FirstTokenTimeout is how long a connection may bring no event before the first one, until the
	// stream is resumed on a new connection.
	FirstTokenTimeout time.Duration
	// InterTokenTimeout is the same between two events.
	InterTokenTimeout time.Duration
	// MaxResumes is how many consecutive resumes may fail before the run is given up. A resume that
	// the engine accepts has not failed, even if no event follows.
	MaxResumes int
	// CancelTimeout bounds the cancellation of a stream.
	CancelTimeout time.Duration
	// OrderTimeout bounds a role or unload order, LoadTimeout a load order, ReportTimeout the
	// fetching of a report or a page of events.
	OrderTimeout, LoadTimeout, ReportTimeout time.Duration
	// MaxLineBytes bounds a line of a stream, MaxResponseBytes the body of any other response.
	MaxLineBytes, MaxResponseBytes int
}

// DefaultLimits are for engines in the same region.
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

// Client of the engine at Address ("ip:port"). If Limits is zero, DefaultLimits are used. A Client
// is safe for concurrent use once its fields are set.
type Client struct {
	Address string
	Limits  Limits
	// OnFault, if set, is called for each fault, whether the client recovered from it or gave up.
	// It feeds counters.
	OnFault func(Fault)

	once      sync.Once
	limits    Limits
	transport exchange.Transport
}

// Fault is a failure of an engine or of the connection to it.
type Fault string

// The faults, by their label in metrics. FaultSilent is an idle timeout of a stalled connection,
// FaultCut a lost connection, and FaultCrossed a response or event that belongs to another request.
const (
	FaultConnect    Fault = "connect"
	FaultSilent     Fault = "silent"
	FaultCut        Fault = "cut"
	FaultCrossed    Fault = "crossed"
	FaultWrongModel Fault = "wrong_model"
	FaultMalformed  Fault = "malformed"
	FaultRefused    Fault = "refused"
)

// Dispatch is one run of a request at an engine. Engines identify streams by ID, so it must differ
// between two runs of the same request at one engine. Model is "adapter@version".
type Dispatch struct {
	ID       string
	API      completion.API
	Model    string
	Priority int
	Body     []byte
}

// Sink receives the events of a stream, each token once and in order, without the final [DONE].
// Tokens is the number of tokens generated so far. An error from the sink cancels the stream. Begin
// is called before the first event, and only if there is one.
type Sink interface {
	Begin(model string) error
	Event(event stream.Event, tokens int) error
}

// Outcome of a dispatch, one of the types below. Each type states how far the run got.
type Outcome interface{ outcome() }

// Completed means that the stream was received in full, up to [DONE]. Usage is the engine's count,
// if it sent one.
type Completed struct {
	Tokens int
	Usage  stream.Usage
}

// NotRun means that no byte of the request was sent. Refusals by the engine have types of their
// own.
type NotRun struct{ Err error }

// NotResident means that the engine does not have the adapter version loaded. The request was not
// run.
type NotResident struct{}

// Full means that the engine has no free batch slot. The request was not run.
type Full struct{ RetryAfter time.Duration }

// Rejected means that the engine found the request invalid (status 4xx). The request was not run.
type Rejected struct {
	Status  int
	Message string
}

// WrongModel means that the engine ran another model. Nothing of its output reached the sink.
type WrongModel struct {
	ServedModel   string
	StopConfirmed bool
}

// Failed means that the stream was lost after Tokens tokens and could not be resumed. StopConfirmed
// reports whether the engine confirmed that the request no longer runs. EngineLost means that the
// engine itself failed while the request ran, as in a crash: nothing listens at its address any
// more, or it no longer knows the stream. Otherwise the cause may be the connection.
type Failed struct {
	Tokens        int
	Err           error
	StopConfirmed bool
	EngineLost    bool
}

// Unknown means that the request may have been sent and it cannot be determined whether it ran.
// StopConfirmed and EngineLost are as in Failed; a request that never arrived looks like one that
// was lost.
type Unknown struct {
	Err           error
	StopConfirmed bool
	EngineLost    bool
}

// Cancelled means that ctx ended, as the caller disconnected or the request's time was over, or that
// the sink failed. StopConfirmed reports whether the engine confirmed the cancellation. EngineSilent
// means that the engine knew the stream, but had sent no event for at least an idle timeout.
type Cancelled struct {
	Tokens        int
	Err           error
	StopConfirmed bool
	EngineSilent  bool
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

// Complete runs one completion and returns when it has ended. If ctx ends, Complete cancels the
// stream at the engine before it returns.
func (c *Client) Complete(ctx context.Context, dispatch Dispatch, sink Sink) Outcome {
	c.initialize()
	r := &completionRun{client: c, dispatch: dispatch, sink: sink}
	return r.run(ctx)
}

// initialize sets the limits at the first call.
func (c *Client) initialize() {
	c.once.Do(func() {
		c.limits = c.Limits
		if c.limits == (Limits{}) {
			c.limits = DefaultLimits()
		}
		c.transport.ConnectTimeout = c.limits.ConnectTimeout
	})
}

func (c *Client) reportFault(fault Fault) {
	if c.OnFault != nil {
		c.OnFault(fault)
	}
}

// jsonHeader is the header of a request with a JSON body and a request ID.
func jsonHeader(id string) http.Header {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(headerRequestID, id)
	return header
}

// retryAfter reads the Retry-After header; the default is one second.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get(headerRetryAfter))
	if err != nil || seconds < 1 {
		return time.Second
	}
	return time.Duration(seconds) * time.Second
}
