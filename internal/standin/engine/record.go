package engine

// The record of what the engine ran, which the integration tests use as their oracle. It is held in
// memory and, if RecordPath is set, in a journal file that survives a crash.

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/standin/fault"
)

// Outcomes of a request. A request that was running when the process ended has OutcomeLost.
const (
	OutcomeRunning   = "running"
	OutcomeDone      = "done"
	OutcomeCancelled = "cancelled"
	OutcomeAbandoned = "abandoned"
	OutcomeEvicted   = "evicted"
	OutcomeCrashed   = "crashed"
	OutcomeLost      = "lost"
)

// Request is one request that ran. Number counts requests from 1 across all incarnations. Others are the
// numbers of the requests that were in the batch when it started.
type Request struct {
	Number      int
	RequestID   string
	Adapter     string
	Version     string
	Prompt      string
	Priority    string
	Headers     map[string]string
	MaxTokens   int
	Tokens      int
	StartedAt   time.Time
	EndedAt     time.Time
	Outcome     string
	Others      []int
	Incarnation string
}

// Refusal is a request that was refused and did not run. Code is the error code.
type Refusal struct {
	RequestID string
	Model     string
	Code      string
	At        time.Time
}

// Load is one load order. Outcome is "done", "failed", "stale_fence", "no_slot", "resident" (already
// loaded), "joined" (it waited for a load in progress) or "lied" (see Faults.LieAboutLoads).
type Load struct {
	Adapter   string
	Version   string
	Fence     int64
	StartedAt time.Time
	EndedAt   time.Time
	Outcome   string
}

// Eviction is one unload order. Outcome is "done", "stale_fence", "in_use" or "not_resident". Serving
// is the number of requests that were running on the adapter version.
type Eviction struct {
	Adapter string
	Version string
	Fence   int64
	At      time.Time
	Serving int
	Outcome string
}

// Record holds everything that the engine ran. EvictedWhileServing counts evictions of an adapter version
// on which requests were running; it must stay 0.
type Record struct {
	Name                string
	Incarnations        []string
	Requests            []Request
	Refusals            []Refusal
	Loads               []Load
	Evictions           []Eviction
	EvictedWhileServing int
}

// journalLine is one line of the journal. Exactly one field is set. A request has two lines: one at its
// start and one at its end.
type journalLine struct {
	Incarnation string    `json:",omitempty"`
	Request     *Request  `json:",omitempty"`
	Refusal     *Refusal  `json:",omitempty"`
	Load        *Load     `json:",omitempty"`
	Eviction    *Eviction `json:",omitempty"`
}

// ReadRecord reads a record from its journal file. The process that wrote it may have ended.
func ReadRecord(path string) (Record, error) {
	lines, err := fault.ReadJournal[journalLine](path)
	if err != nil {
		return Record{}, err
	}
	return replay(lines), nil
}

// replay builds a record from journal lines. Requests without an end get OutcomeLost.
func replay(lines []journalLine) Record {
	var record Record
	for _, read := range lines {
		record.add(read)
	}
	for i := range record.Requests {
		if record.Requests[i].Outcome == OutcomeRunning {
			record.Requests[i].Outcome = OutcomeLost
		}
	}
	return record
}

func (r *Record) add(added journalLine) {
	switch {
	case added.Incarnation != "":
		r.Incarnations = append(r.Incarnations, added.Incarnation)
	case added.Request != nil:
		r.setRequest(*added.Request)
	case added.Refusal != nil:
		r.Refusals = appendBounded(r.Refusals, *added.Refusal)
	case added.Load != nil:
		r.Loads = appendBounded(r.Loads, *added.Load)
	case added.Eviction != nil:
		r.Evictions = appendBounded(r.Evictions, *added.Eviction)
		if added.Eviction.Outcome == orderDone && added.Eviction.Serving > 0 {
			r.EvictedWhileServing++
		}
	}
}

func (r *Record) setRequest(request Request) {
	if request.Number <= len(r.Requests) {
		r.Requests[request.Number-1] = request
		return
	}
	r.Requests = appendBounded(r.Requests, request)
}

func appendBounded[T any](values []T, value T) []T {
	if len(values) >= maxRecords {
		return values
	}
	return append(values, value)
}

// appendLine adds a line to the record and to its journal file. The caller holds s.mu.
func (s *Server) appendLine(added journalLine) {
	s.record.add(added)
	s.journal.Append(added)
}

// Record returns a copy of the record so far. Running requests have their current token counts.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := s.record
	copied.Name = s.Name
	copied.Incarnations = append([]string{}, s.record.Incarnations...)
	copied.Requests = append([]Request{}, s.record.Requests...)
	copied.Refusals = append([]Refusal{}, s.record.Refusals...)
	copied.Loads = append([]Load{}, s.record.Loads...)
	copied.Evictions = append([]Eviction{}, s.record.Evictions...)
	for running := range s.running {
		if running.number <= len(copied.Requests) {
			copied.Requests[running.number-1].Tokens = running.tokenCount()
		}
	}
	return copied
}
