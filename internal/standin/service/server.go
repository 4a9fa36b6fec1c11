// Package service stands in for a plain service beside the engines, such as one that books paint
// orders. It records every call that reaches it with its idempotency key and runs each one, also a
// second with the same key: what runs at most once must be kept by the system before it.
package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"lacewingrock.example/lacewingrock/internal/standin/endpoint"
	"lacewingrock.example/lacewingrock/internal/standin/fault"
)

// Faults of the service. DelayMillis is waited after the call has run and before its answer.
// CutBeforeRun is how many calls have their connection cut without running, CutBeforeAnswer how many
// run and are then cut. Status, when set, is answered in place of 200; the call runs all the same.
// SilentConnections makes the connections open when it is set silent for good; new ones work.
type Faults struct {
	DelayMillis       int
	CutBeforeRun      int
	CutBeforeAnswer   int
	Status            int
	SilentConnections bool
}

// Outcomes of a call.
const (
	// OutcomeRunning: run, its answer not yet sent.
	OutcomeRunning = "running"
	// OutcomeAnswered: run and answered.
	OutcomeAnswered = "answered"
	// OutcomeCut: run, and the connection cut before the answer.
	OutcomeCut = "cut"
	// OutcomeNotRun: cut before it ran.
	OutcomeNotRun = "not-run"
)

// Call is one call. Number counts the calls from 1. BodyHash is the SHA-256 of the body in hex.
type Call struct {
	Number         int
	RequestID      string
	IdempotencyKey string
	Method         string
	Path           string
	BodyHash       string
	Headers        map[string]string
	StartedAt      time.Time
	EndedAt        time.Time
	Outcome        string
}

// Ran tells whether the call took effect.
func (c Call) Ran() bool { return c.Outcome != OutcomeNotRun }

// Record is the calls so far, in the order in which they came.
type Record struct {
	Calls []Call
}

// Answer is what the service answers to a call that ran.
type Answer struct {
	Service        string
	Number         int
	RequestID      string
	IdempotencyKey string
	Method         string
	Path           string
	BodyHash       string
}

// Server is the service. RecordPath, when set, is the file that keeps the record over a kill.
type Server struct {
	endpoint.Endpoint
	Name       string
	RecordPath string

	faults  fault.Setting[Faults]
	journal fault.Journal[Call]

	mu    sync.Mutex
	calls []Call
}

// maxCalls bounds the record.
const maxCalls = 200_000

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.Verb = "service"
	if err := s.load(); err != nil {
		return err
	}
	work := fault.NewRouter()
	work.Any("/*", s.serve)
	control := &fault.Control[Faults]{
		Faults:   &s.faults,
		Record:   func() any { return s.Record() },
		OnChange: s.apply,
	}
	return s.Serve(ctx, work, control.Routes())
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.faults.Set(faults)
	s.apply(faults)
}

// Record returns a copy of the calls so far.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Record{Calls: append([]Call{}, s.calls...)}
}

func (s *Server) apply(faults Faults) {
	if faults.SilentConnections {
		s.SilenceOpen()
	}
}

// load takes over the record of an earlier process. Each call is in the journal twice, at its start
// and at its end; the later line counts.
func (s *Server) load() error {
	s.journal.Path = s.RecordPath
	earlier, err := s.journal.Open()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, call := range earlier {
		if call.Number <= len(s.calls) {
			s.calls[call.Number-1] = call
			continue
		}
		s.calls = append(s.calls, call)
	}
	return nil
}

func (s *Server) serve(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return c.String(http.StatusBadRequest, "body: not whole\n")
	}
	cutFirst := s.faults.Update(func(f *Faults) bool { return fault.TakeOne(&f.CutBeforeRun) })
	call := s.begin(c.Request(), body, cutFirst)
	if cutFirst {
		fault.Cut(c.Response().Writer)
		return nil
	}
	faults := s.faults.Get()
	time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	if s.faults.Update(func(f *Faults) bool { return fault.TakeOne(&f.CutBeforeAnswer) }) {
		s.end(call, OutcomeCut)
		fault.Cut(c.Response().Writer)
		return nil
	}
	s.end(call, OutcomeAnswered)
	c.Response().Header().Set("X-Request-Id", call.RequestID)
	return c.JSON(answerStatus(faults), Answer{
		Service:        s.Name,
		Number:         call.Number,
		RequestID:      call.RequestID,
		IdempotencyKey: call.IdempotencyKey,
		Method:         call.Method,
		Path:           call.Path,
		BodyHash:       call.BodyHash,
	})
}

func answerStatus(faults Faults) int {
	if faults.Status != 0 {
		return faults.Status
	}
	return http.StatusOK
}

// begin records the call. From here on it has taken effect, unless it was cut first.
func (s *Server) begin(request *http.Request, body []byte, cutFirst bool) Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := Call{
		Number:         len(s.calls) + 1,
		RequestID:      request.Header.Get("X-Request-Id"),
		IdempotencyKey: request.Header.Get("Idempotency-Key"),
		Method:         request.Method,
		Path:           request.URL.Path,
		BodyHash:       BodyHash(body),
		Headers:        fault.Headers(request),
		StartedAt:      time.Now(),
		Outcome:        OutcomeRunning,
	}
	if cutFirst {
		call.Outcome = OutcomeNotRun
		call.EndedAt = call.StartedAt
	}
	if len(s.calls) < maxCalls {
		s.calls = append(s.calls, call)
		s.journal.Append(call)
	}
	return call
}

func (s *Server) end(call Call, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call.EndedAt = time.Now()
	call.Outcome = outcome
	if call.Number <= len(s.calls) {
		s.calls[call.Number-1] = call
		s.journal.Append(call)
	}
}

// BodyHash is how the record names a body.
func BodyHash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
