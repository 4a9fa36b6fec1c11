// Package weights is a stand-in for the platform's rate-limited weight store. A load takes a quarter
// second while at most eight are in flight, and proportionally longer above that. Loads above about two
// per second are refused.
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

// Defaults, which are those of the platform. The burst is the number of loads that can be in flight at
// full speed.
const (
	defaultLoadsPerSecond = 2
	defaultBurst          = 8
	defaultLoadTime       = 250 * time.Millisecond
	fullSpeedInFlight     = 8
	// maxLoads is the largest number of loads in the record.
	maxLoads = 100_000
	// weightBytes is the size of the response to a load. Its content is all zeros.
	weightBytes = 1 << 10
)

// Faults of the weight store. Fail is the number of loads that fail with 500. DelayMillis is added to the
// time of each load.
type Faults struct {
	Fail        int
	DelayMillis int
}

// Load is one load. Outcome is "done", "failed", "refused" (over the rate limit) or "left" (the client
// disconnected).
type Load struct {
	Adapter   string
	Version   string
	InFlight  int
	StartedAt time.Time
	EndedAt   time.Time
	Outcome   string
}

// Record holds the loads so far and the largest number that were in flight at once.
type Record struct {
	Loads       []Load
	MaxInFlight int
}

// Server is the weight store. LoadsPerSecond, Burst and LoadTime take the defaults if zero.
type Server struct {
	endpoint.Endpoint
	LoadsPerSecond float64
	Burst          float64
	LoadTime       time.Duration

	faults fault.Setting[Faults]

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	inFlight   int
	record     Record
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

// Record returns a copy of the record so far.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Record{Loads: append([]Load{}, s.record.Loads...), MaxInFlight: s.record.MaxInFlight}
}

func (s *Server) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.LoadsPerSecond == 0 {
		s.LoadsPerSecond = defaultLoadsPerSecond
	}
	if s.Burst == 0 {
		s.Burst = defaultBurst
	}
	if s.LoadTime == 0 {
		s.LoadTime = defaultLoadTime
	}
	s.tokens = s.Burst
	s.refilledAt = time.Now()
}

func (s *Server) serve(c echo.Context) error {
	load := Load{Adapter: c.Param("adapter"), Version: c.Param("version"), StartedAt: time.Now()}
	inFlight, admitted := s.admit(load.StartedAt)
	load.InFlight = inFlight
	if !admitted {
		s.recordLoad(load, "refused")
		return c.NoContent(http.StatusTooManyRequests)
	}
	defer s.release()
	faults := s.faults.Get()
	select {
	case <-time.After(s.loadDuration(inFlight) + time.Duration(faults.DelayMillis)*time.Millisecond):
	case <-c.Request().Context().Done():
		s.recordLoad(load, "left")
		return nil
	}
	if s.faults.Update(func(f *Faults) bool { return fault.TakeOne(&f.Fail) }) {
		s.recordLoad(load, "failed")
		return c.NoContent(http.StatusInternalServerError)
	}
	s.recordLoad(load, "done")
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, make([]byte, weightBytes))
}

// admit takes one token from the bucket and returns the number of loads that are then in flight.
func (s *Server) admit(now time.Time) (inFlight int, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(s.Burst, s.tokens+s.LoadsPerSecond*now.Sub(s.refilledAt).Seconds())
	s.refilledAt = now
	if s.tokens < 1 {
		return s.inFlight, false
	}
	s.tokens--
	s.inFlight++
	s.record.MaxInFlight = max(s.record.MaxInFlight, s.inFlight)
	return s.inFlight, true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// loadDuration returns how long a load takes if inFlight loads, itself included, are in flight when it
// starts.
func (s *Server) loadDuration(inFlight int) time.Duration {
	if inFlight <= fullSpeedInFlight {
		return s.LoadTime
	}
	return s.LoadTime * time.Duration(inFlight) / fullSpeedInFlight
}

func (s *Server) recordLoad(load Load, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load.EndedAt = time.Now()
	load.Outcome = outcome
	if len(s.record.Loads) < maxLoads {
		s.record.Loads = append(s.record.Loads, load)
	}
}
