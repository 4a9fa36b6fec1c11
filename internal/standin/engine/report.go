package engine

// The load report, which is out of date by up to twice ReportLag, and the event log, whose events are
// delayed and some of them dropped. A client that relies on only one of them is sometimes wrong.

import (
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
)

// Report is the engine's load as of AgeMillis ago. RunningModels are the adapter versions on which
// requests are running.
type Report struct {
	Incarnation string
	Slots       int
	Batch       int
	Running     int
	Waiting     int
	Resident    []string
	AgeMillis   int64

	RunningModels []string
}

// event is one event. It is visible to clients from the time at.
type event struct {
	Number  int64
	Kind    string
	Adapter string
	Version string
	Prefix  string
	at      time.Time
}

// eventPage is the response body of GET /events.
type eventPage struct {
	Next   int64
	Events []event
}

func (s *Server) sampleReport() Report {
	resident, running := []string{}, []string{}
	for model, existing := range s.resident {
		if !existing.loading {
			resident = append(resident, model)
		}
		if existing.serving > 0 {
			running = append(running, model)
		}
	}
	sort.Strings(resident)
	sort.Strings(running)
	return Report{
		Incarnation: s.incarnation,
		Slots:       s.Slots,
		Batch:       s.Batch,
		Running:     len(s.running),
		Resident:    resident,

		RunningModels: running,
	}
}

func (s *Server) serveReport(c echo.Context) error {
	if wait := s.startupRemaining(time.Now()); wait > 0 {
		return refuseWithRetry(c, codeStarting, wait)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.publishedReport
	report.AgeMillis = time.Since(s.sampledAt).Milliseconds()
	return c.JSON(http.StatusOK, report)
}

// publish adds an event that becomes visible after EventDelay. Every EventGap-th event is dropped.
func (s *Server) publish(added event) {
	added.Number = s.nextEvent
	added.at = time.Now().Add(s.EventDelay)
	s.nextEvent++
	if s.EventGap > 0 && added.Number%int64(s.EventGap) == 0 {
		return
	}
	s.events = append(s.events, added)
	if len(s.events) > maxEvents {
		s.events = s.events[len(s.events)-maxEvents:]
	}
}

func (s *Server) serveEvents(c echo.Context) error {
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil {
		after = 0
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	page := eventPage{Next: after, Events: []event{}}
	for _, published := range s.events {
		if published.Number <= after || published.at.After(now) {
			continue
		}
		page.Events = append(page.Events, published)
		page.Next = published.Number
	}
	return c.JSON(http.StatusOK, page)
}
