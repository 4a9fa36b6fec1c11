package api

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
)

// RequestRecord is the record of a completed request, for logs, metrics and the burn report. Refused is nil if the
// request was answered. FirstToken is zero if no token was sent. Key is the name of the key.
type RequestRecord struct {
	RequestID  string
	Workspace  string
	Key        string
	Method     string
	Route      string
	Model      string
	Status     int
	Refused    *refusal.Refusal
	Tokens     int
	FirstToken time.Duration
	Took       time.Duration
}

// requestState is the state of a request while the server handles it.
type requestState struct {
	record   RequestRecord
	started  time.Time
	bodyRead bool
	identity Identity
}

// recordFirstToken records the time to first token, once.
func (s *requestState) recordFirstToken() {
	if s.record.FirstToken == 0 {
		s.record.FirstToken = time.Since(s.started)
	}
}
