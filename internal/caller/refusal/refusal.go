// Package refusal is what a caller is told when a request is not answered: a stable code, an HTTP
// status, whether the request was run, and when to come back. Every layer between the caller and the
// upstreams returns refusals as errors, and the callers' API writes them.
package refusal

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Code is stable: callers' programs compare it, so a code never changes its meaning.
type Code string

// The codes, in the order of a request's way.
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

// Run tells whether the request was run by an upstream.
type Run string

// The three states, as header X-Run spells them. NotRun is a promise: a caller may send the request
// again without it running twice. Unknown is what to say whenever that promise can't be kept.
const (
	NotRun  Run = "not-run"
	Ran     Run = "ran"
	Unknown Run = "unknown"
)

// statusClientClosed is the customary status in logs for a caller that hung up; nobody reads it.
const statusClientClosed = 499

// kind is what a code stands for unless a refusal says otherwise.
type kind struct {
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

// kinds holds each code once. Codes that may be reported after the upstream got the request are
// Unknown here; whoever knows better says so with WithRun. InProgress is Unknown although this send
// was not passed on: the call that its key names is running, and a caller told "not run" would book
// again under another key.
var kinds = map[Code]kind{
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

// Refusal is an immutable error value. It is made by New only, so its code is always one of this
// package's.
type Refusal struct {
	code       Code
	message    string
	param      string
	run        Run
	retryAfter time.Duration
}

// New makes a refusal with the status and run state its code stands for. The message is shown to
// the caller, so it holds no secret and no upstream's address. An undeclared code becomes Internal.
func New(code Code, message string) Refusal {
	k, ok := kinds[code]
	if !ok {
		code, k = Internal, kinds[Internal]
	}
	return Refusal{code: code, message: message, run: k.run}
}

// WithParam names the request's field that is at fault.
func (r Refusal) WithParam(param string) Refusal {
	r.param = param
	return r
}

// WithRun states what is known of the request's run, where that differs from the code's usual state.
func (r Refusal) WithRun(run Run) Refusal {
	r.run = run
	return r
}

// WithRetryAfter states when to come back.
func (r Refusal) WithRetryAfter(after time.Duration) Refusal {
	r.retryAfter = after
	return r
}

// Code of the refusal.
func (r Refusal) Code() Code { return r.code }

// Message shown to the caller.
func (r Refusal) Message() string { return r.message }

// Param is the field at fault, or empty.
func (r Refusal) Param() string { return r.param }

// Run tells whether the request was run.
func (r Refusal) Run() Run { return r.run }

// Status is the HTTP status.
func (r Refusal) Status() int { return kinds[r.code].status }

// RetryAfter is when to come back, in whole seconds rounded up; zero when it makes no sense to. It is
// at least one second with statuses 429 and 503: a caller told nothing comes back at once, and many
// of them together are a retry storm.
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

// ExactRetryAfter is when to come back, as it was stated, for callers that understand fractions of a
// second; zero if it was not.
func (r Refusal) ExactRetryAfter() time.Duration { return r.retryAfter }

// Error is the code and the message.
func (r Refusal) Error() string { return string(r.code) + ": " + r.message }

// From finds the refusal in an error's chain. An error without one is a fault of this program, or
// one it did not foresee: Internal, run Unknown, and its text is kept from the caller.
func From(err error) Refusal {
	var found Refusal
	if errors.As(err, &found) {
		return found
	}
	return New(Internal, "the request failed inside the serving layer")
}

// Is reports whether the error's chain holds a refusal with the code.
func Is(err error, code Code) bool {
	var found Refusal
	return errors.As(err, &found) && found.code == code
}
