package engine

// The engine's HTTP calls, as the design page lists them, and the shape of its refusals.

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"lacewingrock.example/lacewingrock/internal/standin/fault"
)

const (
	headerRequestID   = "X-Request-Id"
	headerServedModel = "X-Served-Model"
	headerRetryAfter  = "Retry-After"
)

func (s *Server) routes() *echo.Echo {
	routes := fault.NewRouter()
	routes.Use(repeatIdentity)
	routes.POST("/v1/completions", s.serveCompletion)
	routes.POST("/v1/chat/completions", s.serveChat)
	routes.GET("/v1/streams/:id", s.serveResume)
	routes.DELETE("/v1/streams/:id", s.serveCancel)
	routes.POST("/orders/load", s.serveLoad)
	routes.POST("/orders/unload", s.serveUnload)
	routes.POST("/orders/role", s.serveRole)
	routes.GET("/report", s.serveReport)
	routes.GET("/events", s.serveEvents)
	return routes
}

// repeatIdentity puts the request's identity on every answer, refusals included: without it a refusal
// could be another request's.
func repeatIdentity(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if id := c.Request().Header.Get(headerRequestID); id != "" {
			c.Response().Header().Set(headerRequestID, id)
		}
		return next(c)
	}
}

func (s *Server) serveCompletion(c echo.Context) error {
	asked, err := decodeCompletion(c.Request())
	if err != nil {
		return refuse(c, http.StatusBadRequest, codeBadRequest, err.Error())
	}
	return s.answer(c, asked)
}

func (s *Server) serveChat(c echo.Context) error {
	asked, err := decodeChat(c.Request())
	if err != nil {
		return refuse(c, http.StatusBadRequest, codeBadRequest, err.Error())
	}
	return s.answer(c, asked)
}

// answer runs the request and sends what it generates.
func (s *Server) answer(c echo.Context, asked ask) error {
	g, code := s.begin(asked, c.Request())
	switch code {
	case "":
	case codeModelNotFound:
		return refuse(c, http.StatusNotFound, code, "the adapter version is not resident")
	case codeStarting:
		return refuseLater(c, code, s.cold(time.Now()))
	default:
		return refuseLater(c, code, time.Second)
	}
	g.join()
	defer g.leave()
	faults := s.faults.Get()
	time.Sleep(time.Duration(faults.LateMillis) * time.Millisecond)
	sender := &sender{generation: g, identity: asked.requestID, cutAfter: faults.CutAfterTokens}
	if faults.CrossAnswers {
		sender.identity, sender.crossed = s.other(g)
	}
	if asked.stream {
		return sender.stream(c, 0)
	}
	return sender.whole(c)
}

// other picks the identity and the text of another running request, to answer with in place of the
// right one; without any it makes up an identity.
func (s *Server) other(g *generation) (identity string, crossed *generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for running := range s.running {
		if running != g {
			return running.ask.requestID, running
		}
	}
	return "other-" + g.ask.requestID, nil
}

func (s *Server) stream(id string) (*generation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.streams[id]
	return found, ok
}

func (s *Server) serveResume(c echo.Context) error {
	from, err := strconv.Atoi(c.QueryParam("from"))
	if err != nil || from < 0 {
		from = 0
	}
	g, ok := s.stream(c.Param("id"))
	if !ok {
		return refuse(c, http.StatusNotFound, "stream_not_found", "no such stream")
	}
	g.join()
	defer g.leave()
	sender := &sender{generation: g, identity: g.ask.requestID}
	return sender.stream(c, from)
}

func (s *Server) serveCancel(c echo.Context) error {
	g, ok := s.stream(c.Param("id"))
	if !ok {
		return refuse(c, http.StatusNotFound, "stream_not_found", "no such stream")
	}
	g.stop(OutcomeCancelled)
	return c.NoContent(http.StatusNoContent)
}

// -----------------------------------------------------------------------------------------------

func refuse(c echo.Context, status int, code, message string) error {
	return c.JSON(status, errorBody{Error: errorDetail{Message: message, Type: errorType(status), Code: code}})
}

func refuseLater(c echo.Context, code string, wait time.Duration) error {
	seconds := max(1, int(math.Ceil(wait.Seconds())))
	c.Response().Header().Set(headerRetryAfter, strconv.Itoa(seconds))
	return refuse(c, http.StatusServiceUnavailable, code, "not run, come back later")
}

func errorType(status int) string {
	if status >= http.StatusInternalServerError {
		return "server_error"
	}
	return "invalid_request_error"
}
