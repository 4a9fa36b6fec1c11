package api

// The completion API, non-streaming and streaming. Both run the same stream. For non-streaming requests the answer is
// assembled here.

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/completion"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/caller/stream"
)

func (s *Server) completions(format completion.API) echo.HandlerFunc {
	return func(c echo.Context) error {
		body, err := s.readBody(c, s.Limits.Completion.BodyBytes)
		if err != nil {
			return err
		}
		request, err := completion.Parse(format, body, s.Limits.Completion)
		if err != nil {
			return err
		}
		state := stateOf(c)
		state.record.Model = request.Model()
		request = request.WithID(state.record.RequestID)
		if request.Stream {
			return s.completeStreaming(c, request)
		}
		return s.completeBuffered(c, request)
	}
}

// completeBuffered answers with the complete completion or with a refusal, never with a partial answer.
func (s *Server) completeBuffered(c echo.Context, request completion.Request) error {
	state := stateOf(c)
	sink := &bufferedSink{state: state, header: c.Response().Header(), assembler: stream.NewAssembler(s.Limits.MaxAnswerBytes)}
	if err := s.Pipeline.Complete(c.Request().Context(), state.identity, request, sink); err != nil {
		return err
	}
	answer, err := sink.assembler.Answer(request.ID)
	if err != nil {
		return unusableAnswer(err)
	}
	c.Response().Header().Set(refusal.HeaderRun, string(refusal.Ran))
	s.extendWriteDeadline(c)
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, answer)
}

// unusableAnswer is the error for a request that ran but whose answer cannot be returned.
func unusableAnswer(err error) error {
	refused := refusal.New(refusal.UpstreamFailed, "the upstream's answer can't be used").WithRun(refusal.Ran)
	return errors.WithMessage(refused, err.Error())
}

// bufferedSink collects the events of a non-streaming completion.
type bufferedSink struct {
	state     *requestState
	header    http.Header
	assembler *stream.Assembler
}

// Begin sets the header with the served model.
func (p *bufferedSink) Begin(served Served) error {
	p.header.Set(HeaderServedModel, served.Model)
	return nil
}

// Event adds an event to the answer.
func (p *bufferedSink) Event(event stream.Event, tokens int) error {
	p.state.record.Tokens = tokens
	p.state.recordFirstToken()
	if err := p.assembler.Add(event); err != nil {
		return unusableAnswer(err)
	}
	return nil
}

// ---------------------------------------------------------------------------------------------

// completeStreaming sends events as they arrive. Nothing is sent before the first event, so that an earlier failure
// is an ordinary refusal. A later failure is sent as an error event without the [DONE] event, so the caller knows
// that its answer is incomplete.
func (s *Server) completeStreaming(c echo.Context, request completion.Request) error {
	state := stateOf(c)
	sink := &streamingSink{server: s, context: c, request: request, state: state}
	sink.writer = stream.Writer{Destination: c.Response(), Flush: c.Response().Flush}
	err := s.Pipeline.Complete(c.Request().Context(), state.identity, request, sink)
	switch {
	case err == nil && !sink.started:
		return unusableAnswer(stream.ErrIncomplete)
	case err == nil:
		return sink.write(stream.Done())
	case sink.started:
		_ = sink.write(stream.Event{Data: refusalOf(err).Body()}) // a disconnected caller needs no error event
	}
	return err
}

// streamingSink forwards events to the caller.
type streamingSink struct {
	server      *Server
	context     echo.Context
	request     completion.Request
	state       *requestState
	writer      stream.Writer
	started     bool
	deadlineSet time.Time
}

// Begin sets the header with the served model. The headers are sent with the first event.
func (p *streamingSink) Begin(served Served) error {
	p.context.Response().Header().Set(HeaderServedModel, served.Model)
	return nil
}

// Event sends an event, or nothing if it only contains a usage that the caller did not request.
func (p *streamingSink) Event(event stream.Event, tokens int) error {
	p.state.record.Tokens = tokens
	rewritten, send, err := stream.ForCaller(event, p.request.ID, p.request.IncludeUsage)
	if err != nil {
		return unusableAnswer(err)
	}
	if !send {
		return nil
	}
	p.start()
	return p.write(rewritten)
}

func (p *streamingSink) start() {
	if p.started {
		return
	}
	p.started = true
	p.state.recordFirstToken()
	header := p.context.Response().Header()
	header.Set(echo.HeaderContentType, "text/event-stream")
	header.Set(echo.HeaderCacheControl, "no-cache")
	header.Set(refusal.HeaderRun, string(refusal.Ran))
	p.context.Response().WriteHeader(http.StatusOK)
}

// write sends an event within the caller's write deadline.
func (p *streamingSink) write(event stream.Event) error {
	p.renewDeadline()
	if err := p.writer.Write(event); err != nil {
		return refusal.New(refusal.Cancelled, "the caller does not read its answer").WithRun(refusal.Ran)
	}
	return nil
}

// deadlineRenewals is how many times per write timeout a stream renews its write deadline.
const deadlineRenewals = 16

// renewDeadline gives the caller at least the write timeout from now, and at most a sixteenth more. In streams of
// many small events, setting a deadline for each event was a twentieth of the processor time of a token. Sixteen
// renewals per timeout have no measurable cost, and a caller that stops reading is still detected after about the
// same time.
func (p *streamingSink) renewDeadline() {
	slack := p.server.Limits.WriteTimeout / deadlineRenewals
	now := time.Now()
	if now.Sub(p.deadlineSet) < slack {
		return
	}
	p.deadlineSet = now
	p.server.setWriteDeadline(p.context, now.Add(p.server.Limits.WriteTimeout+slack))
}
