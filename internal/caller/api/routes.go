package api

// What happens to every request alike: identity, the place among the requests in flight, the key, the
// body, and the shape of refusals.

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/caller/completion"
	"lacewingrock.example/lacewingrock/internal/caller/refusal"
)

// Headers of answers.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderServedModel = "X-Served-Model"
)

// visitKey is where echo's context keeps the visit.
const visitKey = "visit"

// serviceMethods are the methods that plain services may be called with.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	http.MethodOptions,
}

// Handler is the whole of the callers' API without a listener.
func (s *Server) Handler() http.Handler {
	if s.Limits == (Limits{}) {
		s.Limits = DefaultLimits()
	}
	s.places = make(chan struct{}, s.Limits.MaxRequests)
	routes := echo.New()
	routes.HideBanner = true
	routes.HidePort = true
	routes.HTTPErrorHandler = s.refuse
	routes.Use(s.visit, middleware.RecoverWithConfig(middleware.RecoverConfig{
		LogErrorFunc: func(_ echo.Context, err error, _ []byte) error { return err },
	}))
	routes.POST(completion.Text.Path(), s.completions(completion.Text), s.authenticate)
	routes.POST(completion.Chat.Path(), s.completions(completion.Chat), s.authenticate)
	routes.GET("/v1/models", s.models, s.authenticate)
	routes.Match(serviceMethods, "/services/:name", s.services, s.authenticate)
	routes.Match(serviceMethods, "/services/:name/*", s.services, s.authenticate)
	return routes
}

// visit gives the request its identity and a place, and reports what became of it. A caller's own
// request id is not taken over: two callers may send the same one, and answers are told apart by it.
func (s *Server) visit(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		v := &visit{begun: time.Now()}
		v.observation.RequestID = uuid.NewString()
		v.observation.Method = c.Request().Method
		v.observation.Route = c.Path()
		c.Set(visitKey, v)
		c.Response().Header().Set(HeaderRequestID, v.observation.RequestID)
		if s.stopping.Load() {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		s.boundBody(c)
		s.boundWrite(c) // the limit of the connection's last answer may be over by now
		defer s.report(c, v)
		if err := s.within(c, next); err != nil {
			s.refuse(err, c)
		}
		return nil
	}
}

// within runs the request if a place is free. Made for more callers than the instance has memory for;
// each request holds its body and, if not streamed, its answer. Waiting here would only hold more.
func (s *Server) within(c echo.Context, next echo.HandlerFunc) error {
	select {
	case s.places <- struct{}{}:
	default:
		return refusal.New(refusal.Busy, "too many requests are in flight")
	}
	defer func() { <-s.places }()
	return next(c)
}

func (s *Server) report(c echo.Context, v *visit) {
	if s.OnRequestDone == nil {
		return
	}
	v.observation.Status = c.Response().Status
	v.observation.Took = time.Since(v.begun)
	s.OnRequestDone(v.observation)
}

func visitOf(c echo.Context) *visit {
	return c.Get(visitKey).(*visit)
}

// ---------------------------------------------------------------------------------------------

// authenticate checks the key before anything of the body is read, so that a caller without one costs
// no memory.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		secret, err := bearer(c.Request())
		if err != nil {
			return err
		}
		identity, err := s.Pipeline.Authenticate(secret)
		if err != nil {
			return err
		}
		v := visitOf(c)
		v.identity = identity
		v.observation.Workspace = identity.Workspace
		v.observation.Key = identity.Key
		return next(c)
	}
}

// bearer reads the key. Two of them are refused: it would not be clear whose request it is.
func bearer(request *http.Request) (string, error) {
	lines := request.Header.Values(echo.HeaderAuthorization)
	if len(lines) != 1 {
		return "", refusal.New(refusal.MissingKey, "send one header Authorization: Bearer <key>")
	}
	scheme, secret, _ := strings.Cut(lines[0], " ")
	secret = strings.TrimSpace(secret)
	if !strings.EqualFold(scheme, "Bearer") || secret == "" {
		return "", refusal.New(refusal.MissingKey, "send one header Authorization: Bearer <key>")
	}
	return secret, nil
}

// boundBody puts a time limit on the body, read or not: net/http reads on after a refusal, and a
// sender that drips would hold its connection for ever. A request without a body has no limit, since
// the same deadline would end the wait for the caller to hang up.
func (s *Server) boundBody(c echo.Context) {
	if c.Request().ContentLength == 0 {
		visitOf(c).bodyRead = true
		return
	}
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Now().Add(s.Limits.BodyTimeout))
}

// body reads the whole body of at most limit bytes.
func (s *Server) body(c echo.Context, limit int) ([]byte, error) {
	request := c.Request()
	tooLarge := refusal.New(refusal.BodyTooLarge, "the body is too large")
	if request.ContentLength > int64(limit) {
		return nil, tooLarge
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), request.Body, int64(limit)))
	var exceeded *http.MaxBytesError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &exceeded):
		return nil, tooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, refusal.New(refusal.BodyTooSlow, "the body did not come in time")
	case err != nil:
		return nil, refusal.New(refusal.BadRequest, "the body is not whole")
	}
	visitOf(c).bodyRead = true
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Time{})
	return body, nil
}

// ---------------------------------------------------------------------------------------------

// refuse answers with a refusal. Once an answer has begun there is nothing more to say here; whoever
// began it ends it. A connection whose request was not read to its end is closed, because the rest of
// the body would be taken for the next request.
func (s *Server) refuse(err error, c echo.Context) {
	refused := refusalOf(err)
	visitOf(c).observation.Refused = &refused
	if c.Response().Committed {
		return
	}
	if !visitOf(c).bodyRead {
		c.Response().Header().Set(echo.HeaderConnection, "close")
	}
	s.boundWrite(c)
	_ = refused.Write(c.Response()) // a caller that is gone needs no answer
}

// refusalOf also maps what echo's router has to say.
func refusalOf(err error) refusal.Refusal {
	var routed *echo.HTTPError
	if errors.As(err, &routed) {
		switch routed.Code {
		case http.StatusNotFound:
			return refusal.New(refusal.NotFound, "no such path")
		case http.StatusMethodNotAllowed:
			return refusal.New(refusal.MethodNotAllowed, "the path does not take this method")
		}
	}
	return refusal.From(err)
}

// boundWrite gives the caller a fresh time limit for the next part of its answer. A caller that stops
// reading would otherwise hold its request, and a batch place at an engine, for ever.
func (s *Server) boundWrite(c echo.Context) {
	s.boundWriteUntil(c, time.Now().Add(s.Limits.WriteTimeout))
}

func (s *Server) boundWriteUntil(c echo.Context, deadline time.Time) {
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(deadline)
}
