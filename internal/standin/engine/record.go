package engine

// The plain record of what the engine ran: the oracle of the integration tests. It is kept in memory
// and, with a RecordPath, in a file that outlives a crash.

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/standin/fault"
)

// Outcomes of a request. One that was running when the process ended is OutcomeLost.
const (
	OutcomeRunning   = "running"
	OutcomeDone      = "done"
	OutcomeCancelled = "cancelled"
	OutcomeAbandoned = "abandoned"
	OutcomeEvicted   = "evicted"
	OutcomeCrashed   = "crashed"
	OutcomeLost      = "lost"
)

// Request is one request that ran. Number counts them from 1 over all incarnations. Others are the
// numbers of the requests that ran beside it when it began.
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

// Refusal is a request that did not run. Code is the error's code.
type Refusal struct {
	RequestID string
	Model     string
	Code      string
	At        time.Time
}

// Load is one load order. Outcome is "done", "failed", "stale_fence", "no_slot", "resident" (it was
// already), "joined" (it waited for another's load) or "lied".
type Load struct {
	Adapter   string
	Version   string
	Fence     int64
	StartedAt time.Time
	EndedAt   time.Time
	Outcome   string
}

// Eviction is one unload order. Outcome is "done", "stale_fence", "in_use" or "not_resident". Serving
// is how many requests the adapter version was serving.
type Eviction struct {
	Adapter string
	Version string
	Fence   int64
	At      time.Time
	Serving int
	Outcome string
}

// Record is everything the engine ran. EvictedWhileServing counts evictions that took an adapter
// version from a running request; it must stay 0.
type Record struct {
	Name                string
	Incarnations        []string
	Requests            []Request
	Refusals            []Refusal
	Loads               []Load
	Evictions           []Eviction
	EvictedWhileServing int
}

// line is one line of the journal: exactly one field is set. A request has two, at its start and at
// its end.
type line struct {
	Incarnation string    `json:",omitempty"`
	Request     *Request  `json:",omitempty"`
	Refusal     *Refusal  `json:",omitempty"`
	Load        *Load     `json:",omitempty"`
	Eviction    *Eviction `json:",omitempty"`
}

// ReadRecord reads the record from its file, also that of a process that is gone.
func ReadRecord(path string) (Record, error) {
	lines, err := fault.ReadJournal[line](path)
	if err != nil {
		return Record{}, err
	}
	return replay(lines), nil
}

// replay builds a record from its lines; requests without an end are lost.
func replay(lines []line) Record {
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

func (r *Record) add(added line) {
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

// note adds a line to the record and to its file. It runs under the server's lock.
func (s *Server) note(added line) {
	s.record.add(added)
	s.journal.Append(added)
}

// Record returns a copy of what the engine ran so far; running requests show the tokens they have.
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
			copied.Requests[running.number-1].Tokens = running.count()
		}
	}
	return copied
}
