package kv

// The store's HTTP calls, as the design page lists them. Each is counted, then held to the rate and
// the outage, and only then does anything.

import (
	"encoding/base64"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"lacewingrock.example/lacewingrock/internal/standin/fault"
)

const (
	headerRevision = "X-Revision"
	headerLease    = "X-Lease"
	// defaultWait is how long a watch waits that does not say.
	defaultWait = 25 * time.Second
	// maxWait bounds a watch.
	maxWait    = time.Minute
	defaultTTL = 5 * time.Second
	octets     = echo.MIMEOctetStream
)

func (s *Server) routes() *echo.Echo {
	routes := fault.NewRouter()
	routes.GET("/v1/kv", s.admitted("list", &s.reads, s.serveList))
	routes.GET("/v1/kv/*", s.admitted("get", &s.reads, s.serveGet))
	routes.PUT("/v1/kv/*", s.admitted("put", &s.writes, s.servePut))
	routes.DELETE("/v1/kv/*", s.admitted("delete", &s.writes, s.serveDelete))
	routes.GET("/v1/watch/*", s.admitted("watch", &s.reads, s.serveWatch))
	routes.POST("/v1/leases", s.admitted("lease", &s.writes, s.serveGrant))
	routes.PUT("/v1/leases/:id", s.admitted("lease", &s.writes, s.serveRenew))
	routes.DELETE("/v1/leases/:id", s.admitted("lease", &s.writes, s.serveRevoke))
	return routes
}

// admitted counts a call and lets it through unless the store is out or over its rate; such a
// refusal means that nothing was done.
func (s *Server) admitted(call string, limit *bucket, handler echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		faults := s.faults.Get()
		if status := s.admit(call, limit, faults); status != http.StatusOK {
			return c.NoContent(status)
		}
		if !pause(c, time.Duration(faults.DelayMillis)*time.Millisecond) {
			return nil
		}
		return handler(c)
	}
}

func (s *Server) admit(call string, limit *bucket, faults Faults) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.Counts[call]++
	if faults.Outage {
		s.record.Refused++
		return http.StatusServiceUnavailable
	}
	if !limit.take(time.Now()) {
		s.record.Refused++
		return http.StatusTooManyRequests
	}
	return http.StatusOK
}

// pause waits, and reports false when the caller went away meanwhile.
func pause(c echo.Context, wait time.Duration) bool {
	if wait <= 0 {
		return true
	}
	select {
	case <-time.After(wait):
		return true
	case <-c.Request().Context().Done():
		return false
	}
}

// loses reports whether the answer to this write is to be lost.
func (s *Server) loses() bool {
	return s.faults.Update(func(faults *Faults) bool { return fault.TakeOne(&faults.LoseAnswers) })
}

// -----------------------------------------------------------------------------------------------

func (s *Server) serveGet(c echo.Context) error {
	found, result := s.get(key(c), s.faults.Get().StaleReads)
	if result != done {
		return c.NoContent(status(result))
	}
	return answerEntry(c, found)
}

func (s *Server) servePut(c echo.Context) error {
	expected, err := strconv.ParseInt(c.QueryParam("expect"), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, "expect: not a revision\n")
	}
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, MaxValueBytes+1))
	if err != nil {
		return c.String(http.StatusBadRequest, "body: not whole\n")
	}
	if len(value) > MaxValueBytes {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	lost := s.loses()
	revision, result := s.put(key(c), expected, value, c.QueryParam("lease"), lost)
	if lost {
		fault.Cut(c.Response().Writer)
		return nil
	}
	if result != done {
		return c.NoContent(status(result))
	}
	setRevision(c, revision)
	return c.NoContent(http.StatusOK)
}

func (s *Server) serveDelete(c echo.Context) error {
	expected, err := strconv.ParseInt(c.QueryParam("expect"), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, "expect: not a revision\n")
	}
	lost := s.loses()
	result := s.remove(key(c), expected, lost)
	if lost {
		fault.Cut(c.Response().Writer)
		return nil
	}
	if result != done {
		return c.NoContent(status(result))
	}
	return c.NoContent(http.StatusNoContent)
}

// line is one element of a listing.
type line struct {
	Key      string
	Value    string
	Revision int64
}

func (s *Server) serveList(c echo.Context) error {
	lines := []line{}
	for _, found := range s.list(c.QueryParam("prefix"), s.faults.Get().StaleReads) {
		lines = append(lines, line{
			Key:      found.key,
			Value:    base64.StdEncoding.EncodeToString(found.entry.value),
			Revision: found.entry.revision,
		})
	}
	return c.JSON(http.StatusOK, lines)
}

// serveWatch waits until the key is newer than "after". An outage that begins meanwhile ends the
// watch with 503, as a store that went down would.
func (s *Server) serveWatch(c echo.Context) error {
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, "after: not a revision\n")
	}
	over := time.After(waitOf(c))
	check := time.NewTicker(lapseInterval)
	defer check.Stop()
	for {
		found, result, changed := s.peek(key(c))
		if result == done && found.revision > after {
			return answerEntry(c, found)
		}
		select {
		case <-changed:
		case <-over:
			return c.NoContent(http.StatusNoContent)
		case <-c.Request().Context().Done():
			return nil
		case <-check.C:
			if s.faults.Get().Outage {
				return c.NoContent(http.StatusServiceUnavailable)
			}
		}
	}
}

func waitOf(c echo.Context) time.Duration {
	wait, err := time.ParseDuration(c.QueryParam("wait"))
	if err != nil || wait <= 0 {
		return defaultWait
	}
	return min(wait, maxWait)
}

// -----------------------------------------------------------------------------------------------

func (s *Server) serveGrant(c echo.Context) error {
	ttl, err := time.ParseDuration(c.QueryParam("ttl"))
	if err != nil || ttl <= 0 {
		ttl = defaultTTL
	}
	c.Response().Header().Set(headerLease, s.grantLease(ttl))
	return c.NoContent(http.StatusOK)
}

func (s *Server) serveRenew(c echo.Context) error {
	return s.answerLease(c, s.renewLease(c.Param("id")))
}

func (s *Server) serveRevoke(c echo.Context) error {
	return s.answerLease(c, s.revokeLease(c.Param("id")))
}

func (s *Server) answerLease(c echo.Context, lives bool) error {
	if !lives {
		return c.NoContent(http.StatusNotFound)
	}
	c.Response().Header().Set(headerLease, c.Param("id"))
	return c.NoContent(http.StatusOK)
}

// -----------------------------------------------------------------------------------------------

// key is the rest of the path; keys may hold slashes, escaped or not.
func key(c echo.Context) string {
	raw := c.Param("*")
	plain, err := url.PathUnescape(raw)
	if err != nil {
		return raw
	}
	return plain
}

func status(result verdict) int {
	switch result {
	case notFound:
		return http.StatusNotFound
	case conflict:
		return http.StatusPreconditionFailed
	default:
		return http.StatusOK
	}
}

func setRevision(c echo.Context, revision int64) {
	c.Response().Header().Set(headerRevision, strconv.FormatInt(revision, 10))
}

func answerEntry(c echo.Context, found entry) error {
	setRevision(c, found.revision)
	return c.Blob(http.StatusOK, octets, found.value)
}
