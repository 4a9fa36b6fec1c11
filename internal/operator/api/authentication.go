// Who may call, and the line each call leaves in the log.

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

// authenticated lets a call through whose token has one of the hashes. Every hash is compared in
// constant time, so that the time an answer takes tells nothing of how near a guess was.
func (s *Server) authenticated(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, found := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
		if !found || token == "" || !s.known(token) {
			return errUnauthenticated
		}
		return next(c)
	}
}

func (s *Server) known(token string) bool {
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

// logged writes one line for each call. Neither headers nor bodies go into it: they hold tokens and
// secrets. The path holds names only.
func (s *Server) logged(next echo.HandlerFunc) echo.HandlerFunc {
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
