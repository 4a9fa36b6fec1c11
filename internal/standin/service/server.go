// Package service is a stand-in for a plain service, such as one that books paint orders. It records every
// call that reaches it with its idempotency key, and executes every one, including a second call with the
// same key: running a call at most once is the duty of the system in front of it.
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

// Faults of the service. DelayMillis is the delay between running a call and answering it. CutBeforeRun is
// the number of calls whose connection is cut before they run, CutBeforeAnswer the number of calls that
// run and whose connection is then cut. Status, if set, replaces 200 in the answer; the call still runs.
// SilentConnections: connections that are open when it is set carry no more data; new connections work.
type Faults struct {
	DelayMillis       int
	CutBeforeRun      int
	CutBeforeAnswer   int
	Status            int
	SilentConnections bool
}

// Outcomes of a call.
const (
	// OutcomeRunning: the call ran, and its answer has not been sent yet.
	OutcomeRunning = "running"
	// OutcomeAnswered: the call ran and was answered.
	OutcomeAnswered = "answered"
	// OutcomeCut: the call ran, and its connection was cut before the answer.
	OutcomeCut = "cut"
	// OutcomeNotRun: the connection was cut before the call ran.
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

// Ran reports whether the call took effect.
func (c Call) Ran() bool { return c.Outcome != OutcomeNotRun }

// Record holds the calls so far, in order of arrival.
type Record struct {
	Calls []Call
}

// Answer is the response body of a call that ran.
type Answer struct {
	Service        string
	Number         int
	RequestID      string
	IdempotencyKey string
	Method         string
	Path           string
	BodyHash       string
}

// Server is the service. RecordPath, if set, is the journal file that preserves the record if the process
// is killed.
type Server struct {
	endpoint.Endpoint
	Name       string
	RecordPath string

	faults  fault.Setting[Faults]
	journal fault.Journal[Call]

	mu    sync.Mutex
	calls []Call
}

// maxCalls is the largest number of calls in the record.
const maxCalls = 200_000

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.Verb = "service"
	if err := s.loadJournal(); err != nil {
		return err
	}
	work := fault.NewRouter()
	work.Any("/*", s.serve)
	control := &fault.Control[Faults]{
		Faults:   &s.faults,
		Record:   func() any { return s.Record() },
		OnChange: s.applyFaults,
	}
	return s.Serve(ctx, work, control.Routes())
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.faults.Set(faults)
	s.applyFaults(faults)
}

// Record returns a copy of the calls so far.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Record{Calls: append([]Call{}, s.calls...)}
}

func (s *Server) applyFaults(faults Faults) {
	if faults.SilentConnections {
		s.SilenceOpen()
	}
}

// loadJournal restores the record of an earlier process. A call has two journal lines, one at its start and
// one at its end; the later line replaces the earlier.
func (s *Server) loadJournal() error {
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
	cutBeforeRun := s.faults.Update(func(f *Faults) bool { return fault.TakeOne(&f.CutBeforeRun) })
	call := s.recordStart(c.Request(), body, cutBeforeRun)
	if cutBeforeRun {
		fault.Cut(c.Response().Writer)
		return nil
	}
	faults := s.faults.Get()
	time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	if s.faults.Update(func(f *Faults) bool { return fault.TakeOne(&f.CutBeforeAnswer) }) {
		s.recordEnd(call, OutcomeCut)
		fault.Cut(c.Response().Writer)
		return nil
	}
	s.recordEnd(call, OutcomeAnswered)
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

// recordStart records the call. From then on the call has taken effect, unless cutBeforeRun is set.
func (s *Server) recordStart(request *http.Request, body []byte, cutBeforeRun bool) Call {
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
	if cutBeforeRun {
		call.Outcome = OutcomeNotRun
		call.EndedAt = call.StartedAt
	}
	if len(s.calls) < maxCalls {
		s.calls = append(s.calls, call)
		s.journal.Append(call)
	}
	return call
}

func (s *Server) recordEnd(call Call, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call.EndedAt = time.Now()
	call.Outcome = outcome
	if call.Number <= len(s.calls) {
		s.calls[call.Number-1] = call
		s.journal.Append(call)
	}
}

// BodyHash returns the hash by which the record identifies a body.
func BodyHash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
