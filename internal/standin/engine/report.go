package engine

// What the engine tells about itself: a load report that lags, and events that come late and with
// gaps. Whoever builds on either alone is wrong some of the time.

import (
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
)

// Report is the engine's load as of AgeMillis ago. RunningModels are the versions that requests run on.
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

// event is one event; it is shown from At on.
type event struct {
	Number  int64
	Kind    string
	Adapter string
	Version string
	Prefix  string
	at      time.Time
}

// eventPage is the answer to GET /events.
type eventPage struct {
	Next   int64
	Events []event
}

func (s *Server) sample() Report {
	resident, running := []string{}, []string{}
	for model, held := range s.resident {
		if !held.loading {
			resident = append(resident, model)
		}
		if held.serving > 0 {
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
	if wait := s.cold(time.Now()); wait > 0 {
		return refuseLater(c, codeStarting, wait)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	report := s.published
	report.AgeMillis = time.Since(s.sampledAt).Milliseconds()
	return c.JSON(http.StatusOK, report)
}

// publish queues an event to be shown after EventDelay; every so-manieth is dropped.
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
	for _, shown := range s.events {
		if shown.Number <= after || shown.at.After(now) {
			continue
		}
		page.Events = append(page.Events, shown)
		page.Next = shown.Number
	}
	return c.JSON(http.StatusOK, page)
}
