package route

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// upstream.go is what a router knows of one upstream.

// failedAfter is how many requests in a row have to fail before the upstream gets probes only. One
// may have been the request's own fault.
const failedAfter = 2

// learning is the weight of the newest sample in a moving mean: about the last ten count. No measured
// reason yet.
const learning = 0.1

// forgetSpeed is how long a measured speed is believed. Without it an upstream that was slow once
// would get nothing, and its recovery would never be seen. No measured reason yet.
const forgetSpeed = 10 * time.Second

// mostSent bounds what is remembered of the requests sent since the last summary.
const mostSent = 256

type upstream struct {
	declared  resource.Upstream
	leaving   bool
	summary   Summary
	sent      []sent
	sentWork  time.Duration
	tokenTime time.Duration
	measured  time.Time
	failures  int
	nextProbe time.Time
}

// sent is a request that went to the upstream after its last summary was made.
type sent struct {
	at   time.Time
	work time.Duration
}

func (u *upstream) name() string { return u.declared.Meta.Name }

func (u *upstream) isFresh(now time.Time, staleAfter time.Duration) bool {
	return !u.summary.At.IsZero() && now.Sub(u.summary.At) <= staleAfter
}

// takesWork tells whether the upstream may be chosen. One that is leaving gets nothing; nor does one
// whose holder finds it dead.
func (u *upstream) takesWork(now time.Time, staleAfter time.Duration) bool {
	if u.leaving || u.declared.Leaving {
		return false
	}
	return !u.isFresh(now, staleAfter) || u.summary.Healthy
}

func (u *upstream) hasFailed() bool { return u.failures >= failedAfter }

// wait is how long a request waits for a place there. Summaries lag, so what this instance sent since
// counts too: without it every request of a heartbeat's time goes to the same idle upstream.
func (u *upstream) wait(now time.Time, staleAfter time.Duration) time.Duration {
	if !u.isFresh(now, staleAfter) {
		return 0
	}
	if len(u.sent) < u.summary.FreePlaces {
		return 0
	}
	return u.summary.Backlog + u.sentWork/time.Duration(max(u.declared.Batch, 1))
}

// speed is the time per token, as measured lately.
func (u *upstream) speed(now time.Time, usual time.Duration) time.Duration {
	if u.measured.IsZero() || now.Sub(u.measured) > forgetSpeed {
		return usual
	}
	return u.tokenTime
}

func (u *upstream) noteSent(now time.Time, work time.Duration) {
	if len(u.sent) >= mostSent {
		u.sentWork -= u.sent[0].work
		u.sent = u.sent[1:]
	}
	u.sent = append(u.sent, sent{at: now, work: work})
	u.sentWork += work
}

// forgetSent drops what the summary made at made accounts for.
func (u *upstream) forgetSent(made time.Time) {
	kept := u.sent[:0]
	for _, s := range u.sent {
		if s.at.After(made) {
			kept = append(kept, s)
			continue
		}
		u.sentWork -= s.work
	}
	u.sent = kept
}

func (u *upstream) ended(now time.Time, outcome Outcome, usual time.Duration) {
	if outcome.Failed {
		u.failures++
		return
	}
	u.failures = 0
	if outcome.Tokens <= 0 {
		return
	}
	sample := time.Duration(float64(outcome.Took) / outcome.Tokens)
	mean := u.speed(now, usual)
	u.tokenTime = mean + time.Duration(learning*float64(sample-mean))
	u.measured = now
}
