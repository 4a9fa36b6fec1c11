// Package weights stands in for the platform's rate-limited weight store. A load takes a quarter
// second while no more than eight are in flight and proportionally longer beyond; past about two
// loads a second it refuses.
package weights

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"lacewingrock.example/lacewingrock/internal/standin/endpoint"
	"lacewingrock.example/lacewingrock/internal/standin/fault"
)

// The platform's usual figures. Burst is one load for each that may be in flight at full speed.
const (
	usualLoadsPerSecond = 2
	usualBurst          = 8
	usualLoadTime       = 250 * time.Millisecond
	fullSpeedInFlight   = 8
	// maxLoads bounds the record.
	maxLoads = 100_000
	// weightBytes is the size of what a load answers; the bytes mean nothing.
	weightBytes = 1 << 10
)

// Faults of the weight store. Fail is how many loads fail with 500; DelayMillis is added to each.
type Faults struct {
	Fail        int
	DelayMillis int
}

// Load is one load. Outcome is "done", "failed", "refused" (over the rate) or "left" (its caller
// went away).
type Load struct {
	Adapter   string
	Version   string
	InFlight  int
	StartedAt time.Time
	EndedAt   time.Time
	Outcome   string
}

// Record is the loads so far and the most that were in flight at once.
type Record struct {
	Loads       []Load
	MaxInFlight int
}

// Server is the weight store. LoadsPerSecond, Burst and LoadTime are the platform's usual ones when
// zero.
type Server struct {
	endpoint.Endpoint
	LoadsPerSecond float64
	Burst          float64
	LoadTime       time.Duration

	faults fault.Setting[Faults]

	mu       sync.Mutex
	tokens   float64
	filledAt time.Time
	inFlight int
	record   Record
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.Verb = "weights"
	s.start()
	work := fault.NewRouter()
	work.GET("/v1/weights/:adapter/:version", s.serve)
	control := &fault.Control[Faults]{Faults: &s.faults, Record: func() any { return s.Record() }}
	return s.Serve(ctx, work, control.Routes())
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) { s.faults.Set(faults) }

// Record returns a copy of the loads so far.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Record{Loads: append([]Load{}, s.record.Loads...), MaxInFlight: s.record.MaxInFlight}
}

func (s *Server) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.LoadsPerSecond == 0 {
		s.LoadsPerSecond = usualLoadsPerSecond
	}
	if s.Burst == 0 {
		s.Burst = usualBurst
	}
	if s.LoadTime == 0 {
		s.LoadTime = usualLoadTime
	}
	s.tokens = s.Burst
	s.filledAt = time.Now()
}

func (s *Server) serve(c echo.Context) error {
	load := Load{Adapter: c.Param("adapter"), Version: c.Param("version"), StartedAt: time.Now()}
	inFlight, admitted := s.begin(load.StartedAt)
	load.InFlight = inFlight
	if !admitted {
		s.end(load, "refused")
		return c.NoContent(http.StatusTooManyRequests)
	}
	defer s.leave()
	faults := s.faults.Get()
	select {
	case <-time.After(s.duration(inFlight) + time.Duration(faults.DelayMillis)*time.Millisecond):
	case <-c.Request().Context().Done():
		s.end(load, "left")
		return nil
	}
	if s.faults.Update(func(f *Faults) bool { return fault.TakeOne(&f.Fail) }) {
		s.end(load, "failed")
		return c.NoContent(http.StatusInternalServerError)
	}
	s.end(load, "done")
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, make([]byte, weightBytes))
}

// begin takes one load from the budget and returns how many are then in flight.
func (s *Server) begin(now time.Time) (inFlight int, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(s.Burst, s.tokens+s.LoadsPerSecond*now.Sub(s.filledAt).Seconds())
	s.filledAt = now
	if s.tokens < 1 {
		return s.inFlight, false
	}
	s.tokens--
	s.inFlight++
	s.record.MaxInFlight = max(s.record.MaxInFlight, s.inFlight)
	return s.inFlight, true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// duration is how long a load takes that began as the given one in flight.
func (s *Server) duration(inFlight int) time.Duration {
	if inFlight <= fullSpeedInFlight {
		return s.LoadTime
	}
	return s.LoadTime * time.Duration(inFlight) / fullSpeedInFlight
}

func (s *Server) end(load Load, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load.EndedAt = time.Now()
	load.Outcome = outcome
	if len(s.record.Loads) < maxLoads {
		s.record.Loads = append(s.record.Loads, load)
	}
}
