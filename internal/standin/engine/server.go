// Package engine is a stand-in for a model engine. It has few adapter slots, continuous batching,
// optional fencing checks, an out-of-date load report, delayed and incomplete events, and streams that
// can be resumed and cancelled. The generated text is a function of the adapter version and the prompt,
// so that a test can check whether a caller got the complete answer to its own request on the adapter
// version that it asked for.
//
// A request enters in routes.go and becomes a generation (generation.go), which runs in the batch
// whether or not a reader is connected. sender.go sends the generated tokens.
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
// CrashOn: a request whose prompt contains this text crashes the process when it runs. FailLoads is the
// number of load orders that fail with 502. LieAboutLoads is the number of load orders that are reported
// as done but not executed. Slow multiplies FirstTokenDelay, TokenInterval and LoadTime (0: no change).
// SilentConnections: connections that are open when it is set carry no more data; new connections work.
// CutAfterTokens cuts the connection of each answer after this many tokens; the request continues, and a
// resumed stream is not cut. CrossAnswers puts another request ID into the answer. LateMillis is the delay
// before the answer begins. RefuseAsFull refuses every request as if no batch slot were free.
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

// Server is the engine. Zero fields take the defaults (defaults.go). WeightsAddress is the address of the
// weight store. If it is empty, a load takes LoadTime and fails only by the fault FailLoads.
//
// CheckFencing refuses orders with a fencing token below the highest seen. ProtectInUse refuses to unload
// an adapter version on which requests are running; otherwise the version is evicted and these requests
// end with OutcomeEvicted. RecordPath, if set, is the journal file that preserves the record across a
// crash.
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
	// EventGap n drops every n-th event (0: the default, negative: none).
	EventGap int
	// Exit ends the process on a crash. Tests that run the engine in their own process replace it.
	Exit func(code int)

	faults  fault.Setting[Faults]
	journal fault.Journal[journalLine]
	client  *http.Client

	mu              sync.Mutex
	incarnation     string
	readyAt         time.Time
	role            string
	highestFence    int64
	resident        map[string]*slot
	running         map[*generation]struct{}
	streams         map[string]*generation
	prefixes        map[string]time.Time
	events          []event
	nextEvent       int64
	publishedReport Report
	pendingReport   Report
	sampledAt       time.Time
	record          Record
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
		OnChange: s.applyFaults,
	}
	return s.Serve(ctx, s.routes(), control.Routes())
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.faults.Set(faults)
	s.applyFaults(faults)
}

func (s *Server) applyFaults(faults Faults) {
	if faults.SilentConnections {
		s.SilenceOpen()
	}
}

// start sets the defaults, restores the record from the journal and starts a new incarnation.
func (s *Server) start() error {
	s.setDefaults()
	s.journal.Path = s.RecordPath
	earlier, err := s.journal.Open()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client = &http.Client{}
	s.incarnation = uuid.NewString()
	s.readyAt = time.Now().Add(s.ColdStart)
	s.resident = make(map[string]*slot)
	s.running = make(map[*generation]struct{})
	s.streams = make(map[string]*generation)
	s.prefixes = make(map[string]time.Time)
	s.nextEvent = 1
	s.record = replay(earlier)
	s.appendLine(journalLine{Incarnation: s.incarnation})
	s.publishedReport = s.sampleReport()
	s.pendingReport = s.publishedReport
	s.sampledAt = time.Now()
	return nil
}

// loop samples the load for the report and removes expired streams, once per ReportLag.
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
	s.publishedReport = s.pendingReport
	s.sampledAt = now.Add(-s.ReportLag)
	s.pendingReport = s.sampleReport()
	for id, stream := range s.streams {
		if stream.isExpired(now) {
			delete(s.streams, id)
		}
	}
}

// startupRemaining returns how long the engine still refuses work because it is starting.
func (s *Server) startupRemaining(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readyAt.Sub(now)
}

// crash ends the process at once, along with every request in the batch, as a request that crashes the
// engine would.
func (s *Server) crash() {
	exit := s.Exit
	if exit == nil {
		exit = os.Exit
	}
	exit(crashCode)
}
