// Package queue orders the requests that wait for one upstream: fair between workspaces by tokens,
// bounded by the time the waiting work will take. It decides without sockets. The caller reads the
// runtime's clock and passes the time in, so that the measuring program can drive the same code on a
// simulated clock.
package queue

import (
	"fmt"
	"time"
)

// Entry is one waiting request. Cost is its expected tokens and Work the time it is expected to
// occupy one batch place. It must be dispatched by Deadline, after which nobody wants its answer.
type Entry struct {
	ID        string
	Workspace string
	Weight    float64
	Cost      float64
	Work      time.Duration
	Deadline  time.Time
}

// Reason tells why an entry was not queued, or left the queue without being dispatched.
type Reason string

// The reasons of a Refusal.
const (
	// ReasonTooLate: the entry would be dispatched only after its deadline.
	ReasonTooLate Reason = "too_late"
	// ReasonFull: the queue holds as much work as it may, and the entry's workspace has the most.
	ReasonFull Reason = "full"
)

// Refusal is the error of an entry that was not queued. RetryAfter is when the queue is expected to
// be short enough.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error names the reason.
func (r Refusal) Error() string {
	return fmt.Sprintf("queue: refused (%s), retry after %s", r.Reason, r.RetryAfter)
}
