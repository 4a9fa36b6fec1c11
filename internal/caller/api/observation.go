package api

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
)

// RequestRecord is what became of one request, for logs, metrics and the burn report. Refused is nil
// when the request was answered. FirstToken is zero when no token was sent. Key is the key's name.
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

// visit is one request on its way through the server.
type visit struct {
	observation RequestRecord
	begun       time.Time
	bodyRead    bool
	identity    Identity
}

// sentFirst notes the first token's time, once.
func (v *visit) sentFirst() {
	if v.observation.FirstToken == 0 {
		v.observation.FirstToken = time.Since(v.begun)
	}
}
