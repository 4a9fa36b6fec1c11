package engine

// The engine's HTTP routes, as listed in the design page, and its error responses.

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
	routes.Use(echoRequestID)
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

// echoRequestID copies the request ID into every response, refusals included. Without it, a client could
// not tell whether a refusal belongs to its request.
func echoRequestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if id := c.Request().Header.Get(headerRequestID); id != "" {
			c.Response().Header().Set(headerRequestID, id)
		}
		return next(c)
	}
}

func (s *Server) serveCompletion(c echo.Context) error {
	params, err := decodeCompletion(c.Request())
	if err != nil {
		return refuse(c, http.StatusBadRequest, codeBadRequest, err.Error())
	}
	return s.serveGeneration(c, params)
}

func (s *Server) serveChat(c echo.Context) error {
	params, err := decodeChat(c.Request())
	if err != nil {
		return refuse(c, http.StatusBadRequest, codeBadRequest, err.Error())
	}
	return s.serveGeneration(c, params)
}

// serveGeneration admits the request and sends the generated tokens.
func (s *Server) serveGeneration(c echo.Context, params generationParams) error {
	g, code := s.admit(params, c.Request())
	switch code {
	case "":
	case codeModelNotFound:
		return refuse(c, http.StatusNotFound, code, "the adapter version is not resident")
	case codeStarting:
		return refuseWithRetry(c, code, s.startupRemaining(time.Now()))
	default:
		return refuseWithRetry(c, code, time.Second)
	}
	g.addReader()
	defer g.removeReader()
	faults := s.faults.Get()
	time.Sleep(time.Duration(faults.LateMillis) * time.Millisecond)
	sender := &sender{generation: g, requestID: params.requestID, cutAfter: faults.CutAfterTokens}
	if faults.CrossAnswers {
		sender.requestID, sender.crossed = s.crossedRequest(g)
	}
	if params.stream {
		return sender.stream(c, 0)
	}
	return sender.sendResponse(c)
}

// crossedRequest returns the ID and the generation of another running request, for the fault
// CrossAnswers. If no other request is running, it returns a made-up ID and no generation.
func (s *Server) crossedRequest(g *generation) (requestID string, crossed *generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for running := range s.running {
		if running != g {
			return running.params.requestID, running
		}
	}
	return "other-" + g.params.requestID, nil
}

func (s *Server) findStream(id string) (*generation, bool) {
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
	g, ok := s.findStream(c.Param("id"))
	if !ok {
		return refuse(c, http.StatusNotFound, "stream_not_found", "no such stream")
	}
	g.addReader()
	defer g.removeReader()
	sender := &sender{generation: g, requestID: g.params.requestID}
	return sender.stream(c, from)
}

func (s *Server) serveCancel(c echo.Context) error {
	g, ok := s.findStream(c.Param("id"))
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

func refuseWithRetry(c echo.Context, code string, wait time.Duration) error {
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
