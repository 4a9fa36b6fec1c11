// Package queue orders the requests that wait for one upstream. It is fair between workspaces by tokens, and
// bounded by the time that the waiting work will take. It does no I/O. The caller reads the clock and passes the
// time in, so that the measurement program can run the same code on a simulated clock.
package queue

import (
	"fmt"
	"time"
)

// Entry is one waiting request. Cost is its expected number of tokens, Work the expected time that it occupies one
// batch slot. It must be dispatched by Deadline; after that its caller no longer waits for the answer.
type Entry struct {
	ID        string
	Workspace string
	Weight    float64
	Cost      float64
	Work      time.Duration
	Deadline  time.Time
}

// Reason is why an entry was not queued, or why it left the queue without being dispatched.
type Reason string

// Reasons of a Refusal.
const (
	// ReasonTooLate: the entry would be dispatched after its deadline.
	ReasonTooLate Reason = "too_late"
	// ReasonFull: the queue is at its limit, and the entry's workspace has the most waiting work for its weight.
	ReasonFull Reason = "full"
)

// Refusal is the error for an entry that was not queued. RetryAfter is the expected time until the queue is short
// enough.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error implements error.
func (r Refusal) Error() string {
	return fmt.Sprintf("queue: refused (%s), retry after %s", r.Reason, r.RetryAfter)
}
