// Mapping of errors to responses: a status, a code, and the problems. The response must state correctly
// whether anything was changed.

package api

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/catalog/configuration"
	"lacewingrock.example/lacewingrock/internal/catalog/repository"
	"lacewingrock.example/lacewingrock/internal/operator/message"
	"lacewingrock.example/lacewingrock/internal/platform/store"
)

// retryAfter is the Retry-After value in seconds when the store failed. There are few operators, so a
// short time causes no overload.
const retryAfter = 2

// refusal is an error of this package, with the response it is mapped to.
type refusal struct {
	status  int
	code    message.Code
	message string
}

// Error returns the message.
func (r refusal) Error() string { return r.message }

func invalid(text string) error {
	return refusal{status: http.StatusBadRequest, code: message.CodeInvalid, message: text}
}

func notFound(text string) error {
	return refusal{status: http.StatusNotFound, code: message.CodeNotFound, message: text}
}

var errUnauthenticated = refusal{
	status: http.StatusUnauthorized, code: message.CodeUnauthenticated,
	message: "an operator's token is needed: Authorization: Bearer TOKEN",
}

// writeFailure responds with the status and the body that the error is mapped to.
func (s *Server) writeFailure(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, detail := failureOf(err)
	if status == http.StatusServiceUnavailable {
		c.Response().Header().Set("Retry-After", strconv.Itoa(retryAfter))
	}
	if status == http.StatusUnauthorized {
		c.Response().Header().Set("WWW-Authenticate", "Bearer")
	}
	_ = c.JSON(status, message.Failure{Error: detail}) // fails only if the operator has disconnected
}

// failureOf maps an error to a status and a failure detail. ErrUnknown is checked before ErrUnavailable:
// an unknown outcome must not be reported as "nothing was changed".
func failureOf(err error) (status int, detail message.FailureDetail) {
	var own refusal
	var problems configuration.Problems
	var conflicts configuration.Conflicts
	var fromEcho *echo.HTTPError
	var tooLarge *http.MaxBytesError
	detail.Problems = []message.Problem{}
	switch {
	case errors.As(err, &own):
		status, detail.Code, detail.Message = own.status, own.code, own.message
	case errors.As(err, &problems):
		status, detail.Code = http.StatusBadRequest, message.CodeInvalid
		detail.Message = "the change is invalid; nothing was changed"
		detail.Problems = problemMessages(problems)
	case errors.As(err, &conflicts):
		status, detail.Code = http.StatusConflict, message.CodeConflict
		detail.Message = "the change was made on an old resource version; nothing was changed"
		detail.Problems = problemMessages(conflicts)
	case errors.Is(err, repository.ErrTooLarge), errors.As(err, &tooLarge):
		status, detail.Code = http.StatusRequestEntityTooLarge, message.CodeTooLarge
		detail.Message = "too large; nothing was changed"
	case errors.Is(err, store.ErrUnknown):
		status, detail.Code = http.StatusServiceUnavailable, message.CodeUnknown
		detail.Message = "the store's answer was lost: whether the change was made is unknown; look before trying again"
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, repository.ErrPartMissing):
		status, detail.Code = http.StatusServiceUnavailable, message.CodeUnavailable
		detail.Message = "the store is unavailable; nothing was changed"
	case errors.As(err, &fromEcho):
		status, detail.Code, detail.Message = fromEcho.Code, codeOf(fromEcho.Code), http.StatusText(fromEcho.Code)
	default:
		status, detail.Code = http.StatusInternalServerError, message.CodeInternal
		detail.Message = "the instance failed; its log says why"
	}
	return status, detail
}

func codeOf(status int) message.Code {
	switch status {
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return message.CodeNotFound
	case http.StatusRequestEntityTooLarge:
		return message.CodeTooLarge
	}
	if status < http.StatusInternalServerError {
		return message.CodeInvalid
	}
	return message.CodeInternal
}

func problemMessages(problems []configuration.Problem) []message.Problem {
	list := make([]message.Problem, len(problems))
	for i, p := range problems {
		list[i] = message.Problem(p)
	}
	return list
}
