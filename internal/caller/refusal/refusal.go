// Package refusal defines the errors that callers get: a stable code, an HTTP status, whether the request was run,
// and when to retry. Every layer between the callers and the upstreams returns refusals as errors, and the callers'
// API writes them.
package refusal

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Code is stable: callers' programs compare it, so the meaning of a code never changes.
type Code string

// The codes, in the order in which a request can get them.
const (
	MissingKey            Code = "missing_key"
	InvalidKey            Code = "invalid_key"
	KeyWithdrawn          Code = "key_withdrawn"
	NotFound              Code = "not_found"
	MethodNotAllowed      Code = "method_not_allowed"
	BadRequest            Code = "bad_request"
	BodyTooLarge          Code = "body_too_large"
	BodyTooSlow           Code = "body_too_slow"
	ModelNotFound         Code = "model_not_found"
	ServiceNotFound       Code = "service_not_found"
	RateLimited           Code = "rate_limited"
	RequestExceedsBurst   Code = "request_exceeds_burst"
	Busy                  Code = "busy"
	NotFresh              Code = "not_fresh"
	Stopping              Code = "stopping"
	Deadline              Code = "deadline"
	LoadFailed            Code = "load_failed"
	SuspectRefused        Code = "suspect_refused"
	UpstreamFailed        Code = "upstream_failed"
	IdempotencyKeyMissing Code = "idempotency_key_missing"
	IdempotencyKeyInvalid Code = "idempotency_key_invalid"
	IdempotencyKeyReused  Code = "idempotency_key_reused"
	InProgress            Code = "in_progress"
	OutcomeUnknown        Code = "outcome_unknown"
	StoreUnavailable      Code = "store_unavailable"
	ServiceUnavailable    Code = "service_unavailable"
	Cancelled             Code = "cancelled"
	Internal              Code = "internal"
)

// Run is whether an upstream ran the request.
type Run string

// The run states, with their values in the header X-Run. NotRun guarantees that the caller can send the request again
// without running it twice. Unknown is used whenever that cannot be guaranteed.
const (
	NotRun  Run = "not-run"
	Ran     Run = "ran"
	Unknown Run = "unknown"
)

// statusClientClosed is the status commonly logged when a caller closed the connection. It is never received by the
// caller.
const statusClientClosed = 499

// codeDefaults are the properties of a code, unless a refusal overrides its run state.
type codeDefaults struct {
	status int
	run    Run
	typ    string
}

// The error types of the completion API.
const (
	typeAuthentication = "authentication_error"
	typeInvalid        = "invalid_request_error"
	typeRate           = "rate_limit_error"
	typeServer         = "server_error"
)

// defaultsByCode contains each code once. Codes that may be returned after the upstream received the request default
// to Unknown; layers that know the run state set it with WithRun. InProgress is Unknown although this attempt was not
// forwarded: the call that its key identifies is running, and a caller that got "not run" would book again under
// another key.
var defaultsByCode = map[Code]codeDefaults{
	MissingKey:            {http.StatusUnauthorized, NotRun, typeAuthentication},
	InvalidKey:            {http.StatusUnauthorized, NotRun, typeAuthentication},
	KeyWithdrawn:          {http.StatusUnauthorized, NotRun, typeAuthentication},
	NotFound:              {http.StatusNotFound, NotRun, typeInvalid},
	MethodNotAllowed:      {http.StatusMethodNotAllowed, NotRun, typeInvalid},
	BadRequest:            {http.StatusBadRequest, NotRun, typeInvalid},
	BodyTooLarge:          {http.StatusRequestEntityTooLarge, NotRun, typeInvalid},
	BodyTooSlow:           {http.StatusRequestTimeout, NotRun, typeInvalid},
	ModelNotFound:         {http.StatusNotFound, NotRun, typeInvalid},
	ServiceNotFound:       {http.StatusNotFound, NotRun, typeInvalid},
	RateLimited:           {http.StatusTooManyRequests, NotRun, typeRate},
	RequestExceedsBurst:   {http.StatusBadRequest, NotRun, typeInvalid},
	Busy:                  {http.StatusServiceUnavailable, NotRun, typeServer},
	NotFresh:              {http.StatusServiceUnavailable, NotRun, typeServer},
	Stopping:              {http.StatusServiceUnavailable, NotRun, typeServer},
	Deadline:              {http.StatusGatewayTimeout, Unknown, typeServer},
	LoadFailed:            {http.StatusServiceUnavailable, NotRun, typeServer},
	SuspectRefused:        {http.StatusUnprocessableEntity, NotRun, typeInvalid},
	UpstreamFailed:        {http.StatusBadGateway, Unknown, typeServer},
	IdempotencyKeyMissing: {http.StatusBadRequest, NotRun, typeInvalid},
	IdempotencyKeyInvalid: {http.StatusBadRequest, NotRun, typeInvalid},
	IdempotencyKeyReused:  {http.StatusUnprocessableEntity, NotRun, typeInvalid},
	InProgress:            {http.StatusConflict, Unknown, typeInvalid},
	OutcomeUnknown:        {http.StatusBadGateway, Unknown, typeServer},
	StoreUnavailable:      {http.StatusServiceUnavailable, NotRun, typeServer},
	ServiceUnavailable:    {http.StatusServiceUnavailable, NotRun, typeServer},
	Cancelled:             {statusClientClosed, Unknown, typeServer},
	Internal:              {http.StatusInternalServerError, Unknown, typeServer},
}

// Refusal is an immutable error value. Only New creates it, so its code is always one of this package's.
type Refusal struct {
	code       Code
	message    string
	param      string
	run        Run
	retryAfter time.Duration
}

// New returns a refusal with the status and run state of its code. The message is shown to the caller, so it must not
// contain secrets or upstream addresses. An undeclared code becomes Internal.
func New(code Code, message string) Refusal {
	defaults, ok := defaultsByCode[code]
	if !ok {
		code, defaults = Internal, defaultsByCode[Internal]
	}
	return Refusal{code: code, message: message, run: defaults.run}
}

// WithParam sets the name of the invalid request field.
func (r Refusal) WithParam(param string) Refusal {
	r.param = param
	return r
}

// WithRun sets the run state, where it differs from the default of the code.
func (r Refusal) WithRun(run Run) Refusal {
	r.run = run
	return r
}

// WithRetryAfter sets the delay after which the caller may retry.
func (r Refusal) WithRetryAfter(after time.Duration) Refusal {
	r.retryAfter = after
	return r
}

// Code returns the code.
func (r Refusal) Code() Code { return r.code }

// Message returns the message for the caller.
func (r Refusal) Message() string { return r.message }

// Param returns the name of the invalid field, or an empty string.
func (r Refusal) Param() string { return r.param }

// Run returns whether the request was run.
func (r Refusal) Run() Run { return r.run }

// Status returns the HTTP status.
func (r Refusal) Status() int { return defaultsByCode[r.code].status }

// RetryAfter returns the delay before a retry in whole seconds, rounded up, or zero if a retry is pointless. With
// statuses 429 and 503 it is at least one second: callers without a delay retry at once, and many of them together
// cause a retry storm.
func (r Refusal) RetryAfter() time.Duration {
	seconds := (r.retryAfter + time.Second - 1).Truncate(time.Second)
	if seconds >= time.Second {
		return seconds
	}
	switch r.Status() {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return time.Second
	}
	return 0
}

// ExactRetryAfter returns the delay as set, for callers that accept fractions of a second, or zero if it was not set.
func (r Refusal) ExactRetryAfter() time.Duration { return r.retryAfter }

// Error returns the code and the message.
func (r Refusal) Error() string { return string(r.code) + ": " + r.message }

// From returns the refusal in an error's chain. Any other error is an internal or unexpected failure. It becomes
// Internal with run state Unknown, and its text is not shown to the caller.
func From(err error) Refusal {
	var found Refusal
	if errors.As(err, &found) {
		return found
	}
	return New(Internal, "the request failed inside the serving layer")
}

// Is reports whether the error's chain contains a refusal with the code.
func Is(err error, code Code) bool {
	var found Refusal
	return errors.As(err, &found) && found.code == code
}
