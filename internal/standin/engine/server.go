// Package engine stands in for a model engine: few adapter slots, continuous batching, orders that
// check fencing or ignore it, a lagging report, late and gappy events, streams that can be resumed
// and cancelled. Its text is worked out from the prompt, so that a test can tell whether a caller got
// the whole answer to its own request on the adapter version that it asked for.
//
// A request goes from routes.go to a generation (generation.go), which runs in the batch whether or
// not anyone still reads it; stream.go and answer.go send what it generated.
package engine

import (
	"context"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/google/uuid"

	"lacewingrock.example/lacewingrock/internal/standin/endpoint"
	"lacewingrock.example/lacewingrock/internal/standin/fault"
)

// Faults of the engine.
//
// CrashOn: a request whose prompt holds it ends the process once it runs. FailLoads: so many load
// orders fail with 502. LieAboutLoads: so many are answered as done and are not. Slow multiplies
// every interval (0: as usual). SilentConnections makes the connections open when it is set silent
// for good, new ones work. CutAfterTokens cuts the connection of each answer after so many tokens
// (the request runs on, and a resumed stream is not cut). CrossAnswers names another request in the
// answer. LateMillis is waited before the answer begins. RefuseAsFull refuses every request as if no
// batch place were free.
type Faults struct {
	CrashOn           string
	FailLoads         int
	LieAboutLoads     int
	Slow              float64
	SilentConnections bool
	CutAfterTokens    int
	CrossAnswers      bool
	LateMillis        int
	RefuseAsFull      bool
}

// Server is the engine. Zero fields take the usual figures (usual.go). Address of the weight store:
// WeightsAddress; without one a load takes LoadTime and cannot fail.
//
// CheckFencing refuses orders with a fence below the highest seen. ProtectInUse refuses to unload an
// adapter version that serves; without it the engine evicts all the same, the requests that it served
// end as evicted, and the record says so. RecordPath, when set, is the file that keeps the record
// over a crash.
type Server struct {
	endpoint.Endpoint
	Name           string
	Slots          int
	Batch          int
	WeightsAddress string
	CheckFencing   bool
	ProtectInUse   bool
	RecordPath     string

	FirstTokenDelay time.Duration
	TokenInterval   time.Duration
	LoadTime        time.Duration
	ColdStart       time.Duration
	ReportLag       time.Duration
	EventDelay      time.Duration
	ResumeWithin    time.Duration
	// EventGap drops every so-manieth event (0: the usual, negative: none).
	EventGap int
	// Exit ends the process on a crash; tests that run the engine inside themselves set it.
	Exit func(code int)

	faults  fault.Setting[Faults]
	journal fault.Journal[line]
	client  *http.Client

	mu          sync.Mutex
	incarnation string
	warmAt      time.Time
	role        string
	highest     int64
	resident    map[string]*slot
	running     map[*generation]struct{}
	streams     map[string]*generation
	prefixes    map[string]time.Time
	events      []event
	nextEvent   int64
	published   Report
	pending     Report
	sampledAt   time.Time
	record      Record
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.Verb = "engine"
	if err := s.start(); err != nil {
		return err
	}
	ended, stop := context.WithCancel(ctx)
	defer stop()
	go s.loop(ended)
	control := &fault.Control[Faults]{
		Faults:   &s.faults,
		Record:   func() any { return s.Record() },
		OnChange: s.apply,
	}
	return s.Serve(ctx, s.routes(), control.Routes())
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.faults.Set(faults)
	s.apply(faults)
}

func (s *Server) apply(faults Faults) {
	if faults.SilentConnections {
		s.SilenceOpen()
	}
}

// start takes the usual figures for what was not set and begins a new incarnation.
func (s *Server) start() error {
	s.setUsual()
	s.journal.Path = s.RecordPath
	earlier, err := s.journal.Open()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client = &http.Client{}
	s.incarnation = uuid.NewString()
	s.warmAt = time.Now().Add(s.ColdStart)
	s.resident = make(map[string]*slot)
	s.running = make(map[*generation]struct{})
	s.streams = make(map[string]*generation)
	s.prefixes = make(map[string]time.Time)
	s.nextEvent = 1
	s.record = replay(earlier)
	s.note(line{Incarnation: s.incarnation})
	s.published = s.sample()
	s.pending = s.published
	s.sampledAt = time.Now()
	return nil
}

// loop takes the load samples that the report lags with, and forgets old streams.
func (s *Server) loop(ctx context.Context) {
	ticker := time.NewTicker(s.ReportLag)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.tick(time.Now())
		}
	}
}

func (s *Server) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published = s.pending
	s.sampledAt = now.Add(-s.ReportLag)
	s.pending = s.sample()
	for id, stream := range s.streams {
		if stream.forgotten(now) {
			delete(s.streams, id)
		}
	}
}

// cold tells how long the engine still starts.
func (s *Server) cold(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.warmAt.Sub(now)
}

// crash ends the process as a request that breaks the engine would: at once, with every request of
// the batch.
func (s *Server) crash() {
	exit := s.Exit
	if exit == nil {
		exit = os.Exit
	}
	exit(crashCode)
}
