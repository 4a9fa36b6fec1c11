package api

// Calls of plain services. The pipeline decides whether a call may be retried. Here its parts are validated and
// sanitized.

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/labstack/echo/v4"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/upstream/service"
)

// headerIdempotencyKey identifies a call that must not be run twice.
const headerIdempotencyKey = "Idempotency-Key"

// maxIdempotencyKeyLength keeps claims small, because many of them share one value in the store.
const maxIdempotencyKeyLength = 255

const servicesPath = "/services/"

func (s *Server) services(c echo.Context) error {
	call, err := s.serviceCall(c)
	if err != nil {
		return err
	}
	state := stateOf(c)
	response, err := s.Pipeline.Call(c.Request().Context(), state.identity, call)
	if err != nil {
		return err
	}
	header := c.Response().Header()
	for name, values := range service.ForwardableHeader(response.Header) {
		header[name] = values
	}
	header.Set(refusal.HeaderRun, string(refusal.Ran))
	s.extendWriteDeadline(c)
	c.Response().WriteHeader(response.Status)
	if len(response.Body) == 0 {
		return nil
	}
	_, err = c.Response().Write(response.Body)
	return err
}

func (s *Server) serviceCall(c echo.Context) (call ServiceCall, err error) {
	request := c.Request()
	name, path, err := servicePath(request.URL)
	if err != nil {
		return ServiceCall{}, err
	}
	key, err := idempotencyKey(request.Header)
	if err != nil {
		return ServiceCall{}, err
	}
	body, err := s.readBody(c, s.Limits.MaxServiceBodyBytes)
	if err != nil {
		return ServiceCall{}, err
	}
	return ServiceCall{Service: name, Call: service.Call{
		ID:             stateOf(c).record.RequestID,
		Method:         request.Method,
		Path:           path,
		RawQuery:       request.URL.RawQuery,
		Header:         service.ForwardableHeader(request.Header),
		Body:           body,
		IdempotencyKey: key,
	}}, nil
}

// servicePath splits "/services/{name}/..." and keeps the rest escaped as received. Dot segments are refused: their
// meaning depends on who resolves them, so a check of the path here might not hold at the service.
func servicePath(url *url.URL) (name, path string, err error) {
	name, path, _ = strings.Cut(strings.TrimPrefix(url.EscapedPath(), servicesPath), "/")
	for segment := range strings.SplitSeq(url.Path, "/") {
		if segment == "." || segment == ".." {
			return "", "", refusal.New(refusal.BadRequest, "the path has dot segments")
		}
	}
	return name, "/" + path, nil
}

// idempotencyKey returns the key, or an empty string without one. A key has up to 255 visible ASCII characters.
func idempotencyKey(header http.Header) (string, error) {
	lines := header.Values(headerIdempotencyKey)
	if len(lines) == 0 {
		return "", nil
	}
	invalid := refusal.New(refusal.IdempotencyKeyInvalid,
		"send one Idempotency-Key of 1 to 255 visible ASCII characters").WithParam(headerIdempotencyKey)
	if len(lines) > 1 || lines[0] == "" || len(lines[0]) > maxIdempotencyKeyLength {
		return "", invalid
	}
	for _, b := range []byte(lines[0]) {
		if b <= ' ' || b > '~' {
			return "", invalid
		}
	}
	return lines[0], nil
}
