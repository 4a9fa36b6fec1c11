package engine

// One completion at one engine, over as many connections as it takes. The first connection sends the
// request; each further one resumes the stream from the tokens that have been passed on.

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/stream"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
	"lacewingrock.example/lacewingrock/internal/upstream/exchange"
)

// resumePause is the wait before the second fruitless resume in a row; it doubles with each. Without
// it, all tries would be spent within the moment that the way to the engine is down.
const resumePause = 100 * time.Millisecond

// Causes for which a connection is given up.
var (
	errSilent     = errors.New("engine: no progress within the limit")
	errCrossed    = errors.New("engine: answer to another request")
	errWrongModel = errors.New("engine: ran another model")
)

// runner is the state of one run.
type runner struct {
	client   *Client
	dispatch Dispatch
	sink     Sink
	position position
	began    bool
	// refused is a refusal without an identity, which holds once the engine confirms that it does
	// not know the stream.
	refused Outcome
}

// complete sends, and resumes until the stream has ended or too many connections in a row brought
// nothing new. Made for connections that go silent or are cut while the engine works on: giving up
// would burn the tokens generated so far, and running the request again would burn them twice. The
// limit of tries has no measured reason yet.
func (r *runner) complete(ctx context.Context) Outcome {
	outcome, err := r.attempt(ctx, r.request())
	for fruitless := 0; outcome == nil; {
		if ctx.Err() != nil {
			return r.cancelled(ctx, context.Cause(ctx))
		}
		if fruitless >= r.client.limits.MaxResumes {
			return r.givenUp(ctx, err)
		}
		if fruitless > 0 {
			pause.For(ctx, resumePause<<(fruitless-1))
		}
		fruitless++
		before := r.position.progress
		outcome, err = r.attempt(ctx, r.resume())
		if r.position.progress > before {
			fruitless = 0
		}
	}
	return outcome
}

func (r *runner) request() exchange.Request {
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

func (r *runner) resume() exchange.Request {
	return exchange.Request{
		Address: r.client.Address,
		Method:  http.MethodGet,
		Target:  streamTarget(r.dispatch.ID) + "?from=" + strconv.Itoa(r.position.tokens),
		Header:  http.Header{headerRequestID: {r.dispatch.ID}},
	}
}

// attempt makes one exchange. It returns an outcome when the run has ended, or why the connection was
// given up.
func (r *runner) attempt(ctx context.Context, request exchange.Request) (Outcome, error) {
	watched, watch := watchProgress(ctx, r.patience())
	defer watch.stop()
	response, err := r.client.transport.Do(watched, request)
	if err != nil {
		return r.unanswered(ctx, watched, request, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return r.refusal(request, response)
	}
	if err := r.identify(response); err != nil {
		return r.misdirected(ctx, response, err)
	}
	outcome, err := r.read(ctx, response.Body, watch)
	if outcome == nil {
		err = r.noteLoss(ctx, watched, err)
	}
	return outcome, err
}

// patience is the limit of the phase that the stream is in.
func (r *runner) patience() time.Duration {
	if r.position.tokens == 0 {
		return r.client.limits.FirstTokenTimeout
	}
	return r.client.limits.InterTokenTimeout
}

// unanswered judges an exchange without an answer. Only the first request can be not run: nothing of
// it left this process.
func (r *runner) unanswered(ctx, watched context.Context, request exchange.Request, err error) (Outcome, error) {
	var failure *exchange.Failure
	left := !errors.As(err, &failure) || failure.MaybeSent
	if request.Method == http.MethodPost && !left {
		r.client.observe(FaultConnect)
		if ctx.Err() != nil {
			return Cancelled{Err: context.Cause(ctx), StopConfirmed: true}, nil
		}
		return NotRun{Err: err}, nil
	}
	return nil, r.noteLoss(ctx, watched, err)
}

// noteLoss counts a lost connection under its cause; a caller that went away is no fault.
func (r *runner) noteLoss(ctx, watched context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		return err
	case errors.Is(context.Cause(watched), errSilent):
		r.client.observe(FaultSilent)
		return errSilent
	case errors.Is(err, errCrossed):
		r.client.observe(FaultCrossed)
	case errors.Is(err, stream.ErrMalformed), errors.Is(err, stream.ErrTooLong), errors.Is(err, stream.ErrNoTokenCount):
		r.client.observe(FaultMalformed)
	default:
		r.client.observe(FaultCut)
	}
	return err
}

// ---------------------------------------------------------------------------------------------

// identify checks that the answer is to this request and that the right model runs it.
func (r *runner) identify(response *http.Response) error {
	if response.Header.Get(headerRequestID) != r.dispatch.ID {
		return errCrossed
	}
	if response.Header.Get(headerServedModel) != r.dispatch.Model {
		return errWrongModel
	}
	return nil
}

// misdirected drops an answer that is not to this request, or not from the model asked for. A crossed
// answer says nothing about this request, which may be running: it is resumed under its own identity.
func (r *runner) misdirected(ctx context.Context, response *http.Response, err error) (Outcome, error) {
	if errors.Is(err, errWrongModel) {
		return r.wrongModel(ctx, response.Header.Get(headerServedModel)), nil
	}
	r.client.observe(FaultCrossed)
	return nil, err
}

func (r *runner) wrongModel(ctx context.Context, served string) Outcome {
	r.client.observe(FaultWrongModel)
	stopped := r.stop(ctx)
	if r.began {
		return Failed{Tokens: r.position.tokens, Err: errWrongModel, StopConfirmed: stopped}
	}
	return WrongModel{ServedModel: served, StopConfirmed: stopped}
}

// refusal judges an answer other than 200. The engine's word that it did not run the request is taken
// only with the request's identity on it; a refusal without one is checked by asking for the stream.
func (r *runner) refusal(request exchange.Request, response *http.Response) (Outcome, error) {
	if crossed(response, r.dispatch.ID) {
		r.client.observe(FaultCrossed)
		return nil, errCrossed
	}
	if request.Method == http.MethodGet {
		return r.notResumed(response)
	}
	outcome := r.notRun(response)
	if outcome == nil {
		r.client.observe(FaultRefused)
		return nil, errors.Errorf("engine: status %d", response.StatusCode)
	}
	if response.Header.Get(headerRequestID) == "" {
		r.refused = outcome
		return nil, errors.New("engine: refusal without an identity")
	}
	return outcome, nil
}

// notRun maps a refusal of the request; nil when the status says nothing about a run.
func (r *runner) notRun(response *http.Response) Outcome {
	refused := readRefusal(response, r.client.limits.MaxResponseBytes)
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

// notResumed judges a refused resume. When the engine does not know the stream, the run is over: it
// was restarted, or the request never came.
func (r *runner) notResumed(response *http.Response) (Outcome, error) {
	if response.StatusCode != http.StatusNotFound {
		r.client.observe(FaultRefused)
		return nil, errors.Errorf("engine: resume: status %d", response.StatusCode)
	}
	lost := errors.New("engine: the stream is not known any more")
	switch {
	case r.began:
		return Failed{Tokens: r.position.tokens, Err: lost, StopConfirmed: true, EngineLost: true}, nil
	case r.refused != nil:
		return r.refused, nil
	}
	return Unknown{Err: lost, StopConfirmed: true, EngineLost: true}, nil
}

// ---------------------------------------------------------------------------------------------

// read passes events on until the stream ends or is lost.
func (r *runner) read(ctx context.Context, body io.Reader, watch *progressWatch) (Outcome, error) {
	reader := stream.NewReader(body, r.client.limits.MaxLineBytes)
	for {
		event, err := reader.Next()
		if err != nil {
			return nil, err
		}
		// A sink that waits for a slow caller is not the engine's silence.
		watch.pause()
		outcome, err := r.take(ctx, event)
		if outcome != nil || err != nil {
			return outcome, err
		}
		watch.extend(r.patience())
	}
}

// take judges one event and passes it on if it is new.
func (r *runner) take(ctx context.Context, event stream.Event) (Outcome, error) {
	if event.IsDone() {
		if err := r.position.whole(); err != nil {
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
		return nil, errCrossed
	}
	if chunk.Model != "" && chunk.Model != r.dispatch.Model {
		return r.wrongModel(ctx, chunk.Model), nil
	}
	tokens, err := event.Tokens()
	if err != nil {
		return nil, err
	}
	after, isNew := r.position.accept(chunk, tokens)
	if !isNew {
		return nil, nil
	}
	if err := r.deliver(event, tokens); err != nil {
		return r.cancelled(ctx, err), nil
	}
	r.position = after
	return nil, nil
}

func (r *runner) deliver(event stream.Event, tokens int) error {
	if !r.began {
		r.began = true
		if err := r.sink.Begin(r.dispatch.Model); err != nil {
			return err
		}
	}
	return r.sink.Event(event, tokens)
}

// ---------------------------------------------------------------------------------------------

// givenUp ends a run whose connections all failed.
func (r *runner) givenUp(ctx context.Context, err error) Outcome {
	stopped := r.stop(ctx)
	lost := errors.Is(err, syscall.ECONNREFUSED)
	if r.began {
		return Failed{Tokens: r.position.tokens, Err: err, StopConfirmed: stopped, EngineLost: lost}
	}
	return Unknown{Err: err, StopConfirmed: stopped, EngineLost: lost}
}

func (r *runner) cancelled(ctx context.Context, cause error) Outcome {
	return Cancelled{Tokens: r.position.tokens, Err: cause, StopConfirmed: r.stop(ctx)}
}

// stop cancels the stream at the engine and reports whether the engine confirmed that it runs no more.
// It outlives the caller's context, which has often ended by now: an uncancelled stream keeps its batch
// place until its last token.
func (r *runner) stop(ctx context.Context) bool {
	return r.client.Cancel(context.WithoutCancel(ctx), r.dispatch.ID) == nil
}
