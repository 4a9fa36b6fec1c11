// Authentication of operators, and the log line of each call.

package api

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
)

// authenticate accepts a call if the hash of its token is one of TokenHashes. Every hash is compared in
// constant time, so that the response time reveals nothing about how close a guessed token was.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, found := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if !found || token == "" || !s.isAcceptedToken(token) {
			return errUnauthenticated
		}
		return next(c)
	}
}

func (s *Server) isAcceptedToken(token string) bool {
	presented := []byte(hashOf(token))
	known := 0
	for _, hash := range s.TokenHashes {
		known |= subtle.ConstantTimeCompare(presented, []byte(hash))
	}
	return known == 1
}

func hashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// logCall writes one log line for each call. It omits headers and bodies, because they contain tokens and
// secrets. The path contains names only.
func (s *Server) logCall(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		began := time.Now()
		err := next(c)
		status := c.Response().Status
		event := s.Log.Info()
		if err != nil {
			status, _ = failureOf(err)
			if status >= http.StatusInternalServerError {
				event = s.Log.Error()
			}
			event = event.AnErr("Error", err)
		}
		event.Str("Method", c.Request().Method).Str("Path", c.Request().URL.Path).Int("Status", status).
			Dur("Took", time.Since(began)).Msg("OperatorCall")
		return err
	}
}
