package api

// The handling common to all requests: the request id, the limit on requests in flight, authentication, the body, and
// the format of refusals.

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

// Response headers.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderServedModel = "X-Served-Model"
)

// stateKey is the key of the request state in echo's context.
const stateKey = "visit"

// serviceMethods are the methods that callers may use for plain services.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	http.MethodOptions,
}

// Handler returns the callers' API without a listener.
func (s *Server) Handler() http.Handler {
	if s.Limits == (Limits{}) {
		s.Limits = DefaultLimits()
	}
	s.inFlight = make(chan struct{}, s.Limits.MaxRequests)
	routes := echo.New()
	routes.HideBanner = true
	routes.HidePort = true
	routes.HTTPErrorHandler = s.refuse
	routes.Use(s.trackRequest, middleware.RecoverWithConfig(middleware.RecoverConfig{
		LogErrorFunc: func(_ echo.Context, err error, _ []byte) error { return err },
	}))
	routes.POST(completion.Text.Path(), s.completions(completion.Text), s.authenticate)
	routes.POST(completion.Chat.Path(), s.completions(completion.Chat), s.authenticate)
	routes.GET("/v1/models", s.models, s.authenticate)
	routes.Match(serviceMethods, "/services/:name", s.services, s.authenticate)
	routes.Match(serviceMethods, "/services/:name/*", s.services, s.authenticate)
	return routes
}

// trackRequest assigns the request id, limits the requests in flight, and reports the completed request. A request id
// sent by the caller is not used: two callers may send the same one, and answers are identified by it.
func (s *Server) trackRequest(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		state := &requestState{started: time.Now()}
		state.record.RequestID = uuid.NewString()
		state.record.Method = c.Request().Method
		state.record.Route = c.Path()
		c.Set(stateKey, state)
		c.Response().Header().Set(HeaderRequestID, state.record.RequestID)
		if s.stopping.Load() {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		s.setReadDeadline(c)
		s.extendWriteDeadline(c) // the deadline of the connection's last answer may have passed
		defer s.report(c, state)
		if err := s.limitInFlight(c, next); err != nil {
			s.refuse(err, c)
		}
		return nil
	}
}

// limitInFlight runs the request if the limit on requests in flight allows it. The limit protects the memory of the
// instance: each request holds its body and, unless streamed, its answer. Queueing here would only hold more of them.
func (s *Server) limitInFlight(c echo.Context, next echo.HandlerFunc) error {
	select {
	case s.inFlight <- struct{}{}:
	default:
		return refusal.New(refusal.Busy, "too many requests are in flight")
	}
	defer func() { <-s.inFlight }()
	return next(c)
}

func (s *Server) report(c echo.Context, state *requestState) {
	if s.OnRequestDone == nil {
		return
	}
	state.record.Status = c.Response().Status
	state.record.Took = time.Since(state.started)
	s.OnRequestDone(state.record)
}

func stateOf(c echo.Context) *requestState {
	return c.Get(stateKey).(*requestState)
}

// ---------------------------------------------------------------------------------------------

// authenticate checks the key before reading the body, so that a caller without a valid key costs no memory.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		secret, err := bearerToken(c.Request())
		if err != nil {
			return err
		}
		identity, err := s.Pipeline.Authenticate(secret)
		if err != nil {
			return err
		}
		state := stateOf(c)
		state.identity = identity
		state.record.Workspace = identity.Workspace
		state.record.Key = identity.Key
		return next(c)
	}
}

// bearerToken returns the key. More than one is refused, because the owner of the request would be ambiguous.
func bearerToken(request *http.Request) (string, error) {
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

// setReadDeadline limits the time for the body, whether it is read or not: net/http continues to read after a
// refusal, and a slow sender would hold its connection indefinitely. A request without a body gets no deadline, since
// the same deadline would end the detection of a disconnected caller.
func (s *Server) setReadDeadline(c echo.Context) {
	if c.Request().ContentLength == 0 {
		stateOf(c).bodyRead = true
		return
	}
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Now().Add(s.Limits.BodyTimeout))
}

// readBody reads the complete body of at most limit bytes.
func (s *Server) readBody(c echo.Context, limit int) ([]byte, error) {
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
	stateOf(c).bodyRead = true
	_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Time{})
	return body, nil
}

// ---------------------------------------------------------------------------------------------

// refuse writes a refusal as the response. If a response has already started, nothing is written here, and the code
// that started it ends it. A connection whose request was not read completely is closed, because the rest of the body
// would be read as the next request.
func (s *Server) refuse(err error, c echo.Context) {
	refused := refusalOf(err)
	stateOf(c).record.Refused = &refused
	if c.Response().Committed {
		return
	}
	if !stateOf(c).bodyRead {
		c.Response().Header().Set(echo.HeaderConnection, "close")
	}
	s.extendWriteDeadline(c)
	_ = refused.Write(c.Response()) // a disconnected caller needs no answer
}

// refusalOf also converts the errors of echo's router.
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

// extendWriteDeadline gives the caller the full write timeout for the next part of its answer. A caller that stops
// reading would otherwise hold its request, and a batch slot at an engine, indefinitely.
func (s *Server) extendWriteDeadline(c echo.Context) {
	s.setWriteDeadline(c, time.Now().Add(s.Limits.WriteTimeout))
}

func (s *Server) setWriteDeadline(c echo.Context, deadline time.Time) {
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(deadline)
}
