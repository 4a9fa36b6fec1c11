package api

// The completion API, plain and streamed. Both run the same stream; the plain one is assembled here.

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/completion"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/caller/stream"
)

func (s *Server) completions(kind completion.API) echo.HandlerFunc {
	return func(c echo.Context) error {
		body, err := s.body(c, s.Limits.Completion.BodyBytes)
		if err != nil {
			return err
		}
		request, err := completion.Parse(kind, body, s.Limits.Completion)
		if err != nil {
			return err
		}
		v := visitOf(c)
		v.observation.Model = request.Model()
		request = request.WithID(v.observation.RequestID)
		if request.Stream {
			return s.streamed(c, request)
		}
		return s.plain(c, request)
	}
}

// plain answers with the whole completion or with a refusal, never with a part of it.
func (s *Server) plain(c echo.Context, request completion.Request) error {
	v := visitOf(c)
	sink := &plainSink{visit: v, header: c.Response().Header(), assembler: stream.NewAssembler(s.Limits.MaxAnswerBytes)}
	if err := s.Pipeline.Complete(c.Request().Context(), v.identity, request, sink); err != nil {
		return err
	}
	answer, err := sink.assembler.Answer(request.ID)
	if err != nil {
		return unusable(err)
	}
	c.Response().Header().Set(refusal.HeaderRun, string(refusal.Ran))
	s.boundWrite(c)
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, answer)
}

// unusable is an answer that ran but can't be given.
func unusable(err error) error {
	refused := refusal.New(refusal.UpstreamFailed, "the upstream's answer can't be used").WithRun(refusal.Ran)
	return errors.WithMessage(refused, err.Error())
}

// plainSink gathers the events of a plain completion.
type plainSink struct {
	visit     *visit
	header    http.Header
	assembler *stream.Assembler
}

// Begin names what runs the completion.
func (p *plainSink) Begin(served Served) error {
	p.header.Set(HeaderServedModel, served.Model)
	return nil
}

// Event adds one event.
func (p *plainSink) Event(event stream.Event, tokens int) error {
	p.visit.observation.Tokens = tokens
	p.visit.sentFirst()
	if err := p.assembler.Add(event); err != nil {
		return unusable(err)
	}
	return nil
}

// ---------------------------------------------------------------------------------------------

// streamed sends events as they come. Nothing is sent before the first, so that a failure until then
// is an ordinary refusal; one after it is an error event, and the end mark stays away, by which a
// caller knows that its answer is not whole.
func (s *Server) streamed(c echo.Context, request completion.Request) error {
	v := visitOf(c)
	sink := &streamSink{server: s, context: c, request: request, visit: v}
	sink.writer = stream.Writer{Destination: c.Response(), Flush: c.Response().Flush}
	err := s.Pipeline.Complete(c.Request().Context(), v.identity, request, sink)
	switch {
	case err == nil && !sink.begun:
		return unusable(stream.ErrIncomplete)
	case err == nil:
		return sink.write(stream.Done())
	case sink.begun:
		_ = sink.write(stream.Event{Data: refusalOf(err).Body()}) // a caller that is gone needs none
	}
	return err
}

// streamSink passes events on to the caller.
type streamSink struct {
	server  *Server
	context echo.Context
	request completion.Request
	visit   *visit
	writer  stream.Writer
	begun   bool
	bounded time.Time
}

// Begin names what runs the completion; the headers go out with the first event.
func (p *streamSink) Begin(served Served) error {
	p.context.Response().Header().Set(HeaderServedModel, served.Model)
	return nil
}

// Event sends one event, or nothing if all it holds is a usage that was not asked for.
func (p *streamSink) Event(event stream.Event, tokens int) error {
	p.visit.observation.Tokens = tokens
	rewritten, send, err := stream.ForCaller(event, p.request.ID, p.request.IncludeUsage)
	if err != nil {
		return unusable(err)
	}
	if !send {
		return nil
	}
	p.begin()
	return p.write(rewritten)
}

func (p *streamSink) begin() {
	if p.begun {
		return
	}
	p.begun = true
	p.visit.sentFirst()
	header := p.context.Response().Header()
	header.Set(echo.HeaderContentType, "text/event-stream")
	header.Set(echo.HeaderCacheControl, "no-cache")
	header.Set(refusal.HeaderRun, string(refusal.Ran))
	p.context.Response().WriteHeader(http.StatusOK)
}

// write sends an event within the caller's time limit.
func (p *streamSink) write(event stream.Event) error {
	p.boundWrite()
	if err := p.writer.Write(event); err != nil {
		return refusal.New(refusal.Cancelled, "the caller does not read its answer").WithRun(refusal.Ran)
	}
	return nil
}

// writeRenewals is how often in a write's time limit a stream renews it.
const writeRenewals = 16

// boundWrite sees to it that the caller has at least its time limit from now, and at most a sixteenth
// more. Made for streams of many small events: a deadline set anew for each was a twentieth of a token's
// processor time. Sixteen renewals a limit cost nothing that can be measured, and the caller that stops
// reading is still given up in about the same time.
func (p *streamSink) boundWrite() {
	slack := p.server.Limits.WriteTimeout / writeRenewals
	now := time.Now()
	if now.Sub(p.bounded) < slack {
		return
	}
	p.bounded = now
	p.server.boundWriteUntil(p.context, now.Add(p.server.Limits.WriteTimeout+slack))
}
