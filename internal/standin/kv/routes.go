package kv

// The store's HTTP routes, as listed in the design page. Each call is counted and checked against the
// outage fault and the rate limit before it is executed.

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
	// defaultWait is the timeout of a watch that states none.
	defaultWait = 25 * time.Second
	// maxWait is the longest timeout of a watch.
	maxWait     = time.Minute
	defaultTTL  = 5 * time.Second
	octetStream = echo.MIMEOctetStream
)

func (s *Server) routes() *echo.Echo {
	routes := fault.NewRouter()
	routes.GET("/v1/kv", s.limited("list", &s.reads, s.serveList))
	routes.GET("/v1/kv/*", s.limited("get", &s.reads, s.serveGet))
	routes.PUT("/v1/kv/*", s.limited("put", &s.writes, s.servePut))
	routes.DELETE("/v1/kv/*", s.limited("delete", &s.writes, s.serveDelete))
	routes.GET("/v1/watch/*", s.limited("watch", &s.reads, s.serveWatch))
	routes.POST("/v1/leases", s.limited("lease", &s.writes, s.serveGrant))
	routes.PUT("/v1/leases/:id", s.limited("lease", &s.writes, s.serveRenew))
	routes.DELETE("/v1/leases/:id", s.limited("lease", &s.writes, s.serveRevoke))
	return routes
}

// limited counts a call and refuses it during an outage or above the rate limit. A refused call has no
// effect.
func (s *Server) limited(call string, limit *bucket, handler echo.HandlerFunc) echo.HandlerFunc {
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

// pause waits, and returns false if the client disconnects meanwhile.
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

// losesAnswer reports whether the answer to this write must be dropped, and counts it off LoseAnswers.
func (s *Server) losesAnswer() bool {
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
	lost := s.losesAnswer()
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
	lost := s.losesAnswer()
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

// listItem is one element of the response to a list call.
type listItem struct {
	Key      string
	Value    string
	Revision int64
}

func (s *Server) serveList(c echo.Context) error {
	items := []listItem{}
	for _, found := range s.list(c.QueryParam("prefix"), s.faults.Get().StaleReads) {
		items = append(items, listItem{
			Key:      found.key,
			Value:    base64.StdEncoding.EncodeToString(found.entry.value),
			Revision: found.entry.revision,
		})
	}
	return c.JSON(http.StatusOK, items)
}

// serveWatch waits until the revision of the key is above "after". If an outage begins meanwhile, the
// watch ends with 503, as it would when a real store goes down.
func (s *Server) serveWatch(c echo.Context) error {
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, "after: not a revision\n")
	}
	timeout := time.After(watchTimeout(c))
	check := time.NewTicker(expiryInterval)
	defer check.Stop()
	for {
		found, result, changed := s.getAndWatch(key(c))
		if result == done && found.revision > after {
			return answerEntry(c, found)
		}
		select {
		case <-changed:
		case <-timeout:
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

func watchTimeout(c echo.Context) time.Duration {
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

func (s *Server) answerLease(c echo.Context, valid bool) error {
	if !valid {
		return c.NoContent(http.StatusNotFound)
	}
	c.Response().Header().Set(headerLease, c.Param("id"))
	return c.NoContent(http.StatusOK)
}

// -----------------------------------------------------------------------------------------------

// key returns the key, which is the rest of the path. It may contain slashes, escaped or not.
func key(c echo.Context) string {
	raw := c.Param("*")
	plain, err := url.PathUnescape(raw)
	if err != nil {
		return raw
	}
	return plain
}

func status(result outcome) int {
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
	return c.Blob(http.StatusOK, octetStream, found.value)
}
