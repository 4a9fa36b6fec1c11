package engine

// One completion at one engine, over as many connections as needed. The first connection sends the
// request. Each further connection resumes the stream after the tokens already delivered.

import (
	"context"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/stream"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
	"lacewingrock.example/lacewingrock/internal/upstream/exchange"
)

// resumeBackoff is the delay before the second consecutive resume without progress. It doubles with
// each further one. Without the backoff, a short network outage would use up all attempts at once.
const resumeBackoff = 100 * time.Millisecond

// Reasons for resuming a stream or ending a run.
var (
	errIdleTimeout = errors.New("engine: no response within the idle timeout")
	// errSilentStream means that the engine accepted the request or the resume, and sent no further
	// event within the idle timeout. It knows the stream and may still work on it.
	errSilentStream       = errors.New("engine: no stream event within the idle timeout")
	errMismatchedResponse = errors.New("engine: response to another request")
	errWrongModel         = errors.New("engine: served a model other than the requested one")
)

// completionRun is the state of one completion.
type completionRun struct {
	client   *Client
	dispatch Dispatch
	sink     Sink
	position position
	started  bool
	// connection is the one that the engine accepted last, unless it broke. It is kept while it is
	// silent, until the engine accepts a resume.
	connection *connection
	// silent means that the engine accepted the last connection and has sent nothing on it for the idle
	// timeout.
	silent bool
	// resumedAt is when the last resume was sent.
	resumedAt time.Time
	// unconfirmedRefusal is a refusal without a request ID. It counts once the engine confirms that
	// it does not know the stream.
	unconfirmedRefusal Outcome
}

// run sends the request and resumes the stream until it has ended, or until too many consecutive
// resumes failed. Resuming covers connections that stall or are cut while the engine is still
// working. Giving up would waste the tokens generated so far, and running the request again would
// generate them twice.
//
// A resume that the engine accepts shows that it knows the stream, however long it then sends
// nothing: a slow engine is waited for until ctx ends. A resume fails if it is refused or not
// answered, or if its response breaks off or is invalid. Until one is accepted, the silent connection
// is kept: an engine that takes no new connections may still go on with this one.
func (r *completionRun) run(ctx context.Context) Outcome {
	defer r.dropConnection()
	outcome, err := r.attempt(ctx, r.initialRequest())
	for failedResumes := 0; outcome == nil; {
		if ctx.Err() != nil {
			return r.cancel(ctx, context.Cause(ctx))
		}
		r.silent = errors.Is(err, errSilentStream)
		if r.silent {
			r.client.reportFault(FaultSilent)
			failedResumes = 0
		}
		if failedResumes >= r.client.limits.MaxResumes {
			return r.giveUp(ctx, err)
		}
		before := r.position.acceptedEvents
		outcome, err = r.resume(ctx, failedResumes)
		failedResumes++
		if r.position.acceptedEvents > before {
			failedResumes = 0
		}
	}
	return outcome
}

func (r *completionRun) initialRequest() exchange.Request {
	header := jsonHeader(r.dispatch.ID)
	header.Set(headerPriority, strconv.Itoa(r.dispatch.Priority))
	return exchange.Request{
		Address: r.client.Address,
		Method:  http.MethodPost,
		Target:  r.dispatch.API.Path(),
		Header:  header,
		Body:    r.dispatch.Body,
	}
}

func (r *completionRun) resumeRequest() exchange.Request {
	return exchange.Request{
		Address: r.client.Address,
		Method:  http.MethodGet,
		Target:  streamTarget(r.dispatch.ID) + "?from=" + strconv.Itoa(r.position.tokens),
		Header:  http.Header{headerRequestID: {r.dispatch.ID}},
	}
}

// resume resumes the stream after the given number of consecutive resumes has failed.
func (r *completionRun) resume(ctx context.Context, failed int) (Outcome, error) {
	if failed > 0 {
		before := r.position.acceptedEvents
		outcome, err := r.waitToResume(ctx, resumeBackoff<<(failed-1))
		if outcome != nil || r.position.acceptedEvents > before {
			return outcome, err
		}
	}
	r.resumedAt = time.Now()
	return r.attempt(ctx, r.resumeRequest())
}

// waitToResume waits before the next resume. While a connection is open, resumes are as far apart as
// an idle timeout, so that refused ones do not end the run before the connection can go on.
func (r *completionRun) waitToResume(ctx context.Context, backoff time.Duration) (Outcome, error) {
	if r.connection == nil {
		pause.For(ctx, backoff)
		return nil, nil
	}
	return r.follow(ctx, max(backoff, time.Until(r.resumedAt.Add(r.idleTimeout()))))
}

// attempt makes one exchange and reads its response, unless the silent connection goes on before the
// response begins. It returns an outcome if the run has ended, or otherwise the reason why there is
// no further event.
func (r *completionRun) attempt(ctx context.Context, request exchange.Request) (Outcome, error) {
	exchangeCtx, idle := withIdleTimeout(ctx, r.idleTimeout())
	opened := open(exchangeCtx, &r.client.transport, request)
	if next, goesOn := r.awaitOpening(ctx, opened); goesOn {
		idle.stop()
		opened.discard()
		return r.followFrom(ctx, next)
	}
	outcome, err := r.checkResponse(ctx, exchangeCtx, request, opened)
	if outcome != nil || err != nil {
		idle.stop()
		return outcome, err
	}
	r.dropConnection()
	r.connection = openConnection(exchangeCtx, idle, opened.response.Body, r.client.limits.MaxLineBytes)
	return r.follow(ctx, r.idleTimeout())
}

// awaitOpening waits until a response begins or the exchange fails, or until the silent connection
// goes on. In that case it returns what has arrived there.
func (r *completionRun) awaitOpening(ctx context.Context, opened *opening) (next received, goesOn bool) {
	for r.connection != nil {
		select {
		case <-opened.done:
			return received{}, false
		case next := <-r.connection.received:
			if next.err == nil {
				return next, true
			}
			_ = r.loseConnection(ctx, next.err)
		}
	}
	<-opened.done
	return received{}, false
}

// checkResponse returns neither an outcome nor an error if the engine accepted the request.
func (r *completionRun) checkResponse(
	ctx, exchangeCtx context.Context, request exchange.Request, opened *opening,
) (Outcome, error) {
	if opened.err != nil {
		return r.handleSendError(ctx, exchangeCtx, request, opened.err)
	}
	response := opened.response
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return r.handleRefusal(request, response)
	}
	if err := r.checkResponseHeaders(response); err != nil {
		defer response.Body.Close()
		return r.handleMismatch(ctx, response, err)
	}
	return nil, nil
}

func (r *completionRun) dropConnection() {
	if r.connection != nil {
		r.connection.close()
		r.connection = nil
	}
}

// loseConnection drops a connection that broke or whose events are invalid, and returns the reason.
func (r *completionRun) loseConnection(ctx context.Context, err error) error {
	err = r.recordConnectionFault(ctx, r.connection.ctx, err)
	r.dropConnection()
	return err
}

// idleTimeout is the longest wait for the next event: before the first token, or between tokens.
func (r *completionRun) idleTimeout() time.Duration {
	if r.position.tokens == 0 {
		return r.client.limits.FirstTokenTimeout
	}
	return r.client.limits.InterTokenTimeout
}

// handleSendError classifies an exchange without a response. Only the initial request can be
// reported as not run, and only if no byte of it was sent.
func (r *completionRun) handleSendError(ctx, attemptCtx context.Context, request exchange.Request, err error) (Outcome, error) {
	var failure *exchange.Failure
	maybeSent := !errors.As(err, &failure) || failure.MaybeSent
	if request.Method == http.MethodPost && !maybeSent {
		r.client.reportFault(FaultConnect)
		if ctx.Err() != nil {
			return Cancelled{Err: context.Cause(ctx), StopConfirmed: true}, nil
		}
		return NotRun{Err: err}, nil
	}
	return nil, r.recordConnectionFault(ctx, attemptCtx, err)
}

// recordConnectionFault counts a lost connection by its cause. A caller that disconnected is not a
// fault.
func (r *completionRun) recordConnectionFault(ctx, attemptCtx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		return err
	case errors.Is(context.Cause(attemptCtx), errIdleTimeout):
		r.client.reportFault(FaultSilent)
		return errIdleTimeout
	case errors.Is(err, errMismatchedResponse):
		r.client.reportFault(FaultCrossed)
	case errors.Is(err, stream.ErrMalformed), errors.Is(err, stream.ErrTooLong), errors.Is(err, stream.ErrNoTokenCount):
		r.client.reportFault(FaultMalformed)
	default:
		r.client.reportFault(FaultCut)
	}
	return err
}

// ---------------------------------------------------------------------------------------------

// checkResponseHeaders checks that the response is for this request and from the requested model.
func (r *completionRun) checkResponseHeaders(response *http.Response) error {
	if response.Header.Get(headerRequestID) != r.dispatch.ID {
		return errMismatchedResponse
	}
	if response.Header.Get(headerServedModel) != r.dispatch.Model {
		return errWrongModel
	}
	return nil
}

// handleMismatch discards a response that is for another request or from another model. A response
// for another request says nothing about this request, which may be running: it is resumed under
// its own ID.
func (r *completionRun) handleMismatch(ctx context.Context, response *http.Response, err error) (Outcome, error) {
	if errors.Is(err, errWrongModel) {
		return r.stopWrongModel(ctx, response.Header.Get(headerServedModel)), nil
	}
	r.client.reportFault(FaultCrossed)
	return nil, err
}

func (r *completionRun) stopWrongModel(ctx context.Context, served string) Outcome {
	r.client.reportFault(FaultWrongModel)
	stopped := r.cancelStream(ctx)
	if r.started {
		return Failed{Tokens: r.position.tokens, Err: errWrongModel, StopConfirmed: stopped}
	}
	return WrongModel{ServedModel: served, StopConfirmed: stopped}
}

// handleRefusal classifies a response with a status other than 200. A statement of the engine that
// it did not run the request counts only if it carries the request's ID. A refusal without an ID is
// verified by asking for the stream.
func (r *completionRun) handleRefusal(request exchange.Request, response *http.Response) (Outcome, error) {
	if isForOtherRequest(response, r.dispatch.ID) {
		r.client.reportFault(FaultCrossed)
		return nil, errMismatchedResponse
	}
	if request.Method == http.MethodGet {
		return r.handleResumeRefusal(response)
	}
	outcome := r.refusalOutcome(response)
	if outcome == nil {
		r.client.reportFault(FaultRefused)
		return nil, errors.Errorf("engine: request refused with status %d", response.StatusCode)
	}
	if response.Header.Get(headerRequestID) == "" {
		r.unconfirmedRefusal = outcome
		return nil, errors.New("engine: refusal without a request ID")
	}
	return outcome, nil
}

// refusalOutcome maps a refusal of the request to an outcome, or nil if the status does not show
// whether the request ran.
func (r *completionRun) refusalOutcome(response *http.Response) Outcome {
	refused := readError(response, r.client.limits.MaxResponseBytes)
	status := response.StatusCode
	switch {
	case status == http.StatusNotFound && refused.Error.Code == codeModelNotFound:
		return NotResident{}
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return Full{RetryAfter: retryAfter(response)}
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return Rejected{Status: status, Message: refused.Error.Message}
	}
	return nil
}

// handleResumeRefusal classifies a refused resume. If the engine does not know the stream, the run
// is over: the engine was restarted, or it never received the request.
func (r *completionRun) handleResumeRefusal(response *http.Response) (Outcome, error) {
	if response.StatusCode != http.StatusNotFound {
		r.client.reportFault(FaultRefused)
		return nil, errors.Errorf("engine: resume refused with status %d", response.StatusCode)
	}
	lost := errors.New("engine: the engine does not know the stream")
	switch {
	case r.started:
		return Failed{Tokens: r.position.tokens, Err: lost, StopConfirmed: true, EngineLost: true}, nil
	case r.unconfirmedRefusal != nil:
		return r.unconfirmedRefusal, nil
	}
	return Unknown{Err: lost, StopConfirmed: true, EngineLost: true}, nil
}

// ---------------------------------------------------------------------------------------------

// follow delivers the events of the connection until the stream ends, the connection breaks, or
// nothing arrives: for wait before the first event, and for the idle timeout between two. A silent
// connection stays open. Time that the sink spends waiting for a slow caller does not count as
// silence.
func (r *completionRun) follow(ctx context.Context, wait time.Duration) (Outcome, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case next := <-r.connection.received:
			timer.Stop()
			outcome, err := r.receive(ctx, next)
			if outcome != nil || err != nil {
				return outcome, err
			}
			timer.Reset(r.idleTimeout())
		case <-timer.C:
			return nil, errSilentStream
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// followFrom is follow after an event that has been read already.
func (r *completionRun) followFrom(ctx context.Context, next received) (Outcome, error) {
	outcome, err := r.receive(ctx, next)
	if outcome != nil || err != nil {
		return outcome, err
	}
	return r.follow(ctx, r.idleTimeout())
}

// receive delivers one event, or drops the connection if it broke or the event is invalid.
func (r *completionRun) receive(ctx context.Context, next received) (Outcome, error) {
	if next.err != nil {
		return nil, r.loseConnection(ctx, next.err)
	}
	outcome, err := r.handleEvent(ctx, next.event)
	if outcome != nil {
		return outcome, nil
	}
	if err != nil {
		return nil, r.loseConnection(ctx, err)
	}
	return nil, nil
}

// handleEvent checks one event and delivers it if it is new.
func (r *completionRun) handleEvent(ctx context.Context, event stream.Event) (Outcome, error) {
	if event.IsDone() {
		if err := r.position.checkComplete(); err != nil {
			return nil, err
		}
		return Completed{Tokens: r.position.tokens, Usage: r.position.usage}, nil
	}
	chunk, err := stream.ParseChunk(event)
	if err != nil {
		return nil, err
	}
	if chunk.Failure != "" {
		return Failed{Tokens: r.position.tokens, Err: errors.New(chunk.Failure), StopConfirmed: true}, nil
	}
	if chunk.ID != r.dispatch.ID {
		return nil, errMismatchedResponse
	}
	if chunk.Model != "" && chunk.Model != r.dispatch.Model {
		return r.stopWrongModel(ctx, chunk.Model), nil
	}
	tokens, err := event.Tokens()
	if err != nil {
		return nil, err
	}
	next, isNew := r.position.accept(chunk, tokens)
	if !isNew {
		return nil, nil
	}
	r.silent = false
	if err := r.deliver(event, tokens); err != nil {
		return r.cancel(ctx, err), nil
	}
	r.position = next
	return nil, nil
}

func (r *completionRun) deliver(event stream.Event, tokens int) error {
	if !r.started {
		r.started = true
		if err := r.sink.Begin(r.dispatch.Model); err != nil {
			return err
		}
	}
	return r.sink.Event(event, tokens)
}

// ---------------------------------------------------------------------------------------------

// giveUp ends a run after too many connections without progress.
func (r *completionRun) giveUp(ctx context.Context, err error) Outcome {
	stopped := r.cancelStream(ctx)
	lost := errors.Is(err, syscall.ECONNREFUSED)
	if r.started {
		return Failed{Tokens: r.position.tokens, Err: err, StopConfirmed: stopped, EngineLost: lost}
	}
	return Unknown{Err: err, StopConfirmed: stopped, EngineLost: lost}
}

func (r *completionRun) cancel(ctx context.Context, cause error) Outcome {
	return Cancelled{
		Tokens:        r.position.tokens,
		Err:           cause,
		StopConfirmed: r.cancelStream(ctx),
		EngineSilent:  r.silent,
	}
}

// cancelStream cancels the stream at the engine and reports whether the engine confirmed that it no
// longer runs. It ignores the cancellation of the caller's context, which has often ended by then:
// a stream that is not cancelled occupies its batch slot until its last token.
func (r *completionRun) cancelStream(ctx context.Context) bool {
	return r.client.Cancel(context.WithoutCancel(ctx), r.dispatch.ID) == nil
}
