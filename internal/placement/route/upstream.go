package route

import (
	"time"

	"lacewingrock.example/lacewingrock/internal/catalog/resource"
)

// upstream.go holds the state that a router keeps for one upstream.

// probeAfterFailures is the number of consecutive failures after which the upstream gets probes only. A single
// failure may be caused by the request itself.
const probeAfterFailures = 2

// speedSampleWeight is the weight of the newest sample in the moving average, with an effective window of about ten
// samples.
const speedSampleWeight = 0.1

// speedMaxAge is how long a measured speed is used. Without it an upstream that was slow once would get no requests,
// and its recovery would not be measured.
const speedMaxAge = 10 * time.Second

// maxSent bounds the number of requests recorded since the last summary.
const maxSent = 256

type upstream struct {
	declared   resource.Upstream
	leaving    bool
	summary    Summary
	sent       []sentRequest
	sentWork   time.Duration
	tokenTime  time.Duration
	measuredAt time.Time
	failures   int
	nextProbe  time.Time
}

// sentRequest is a request sent to the upstream after its last summary was created.
type sentRequest struct {
	at   time.Time
	work time.Duration
}

func (u *upstream) name() string { return u.declared.Meta.Name }

func (u *upstream) isFresh(now time.Time, staleAfter time.Duration) bool {
	return !u.summary.At.IsZero() && now.Sub(u.summary.At) <= staleAfter
}

// acceptsRequests reports whether the upstream may be chosen: it is not leaving, and its holder does not report it
// unhealthy.
func (u *upstream) acceptsRequests(now time.Time, staleAfter time.Duration) bool {
	if u.leaving || u.declared.Leaving {
		return false
	}
	return !u.isFresh(now, staleAfter) || u.summary.Healthy
}

func (u *upstream) hasFailed() bool { return u.failures >= probeAfterFailures }

// wait returns the expected wait for a batch slot. Summaries lag behind, so requests that this instance sent since the
// last one count too. Otherwise all requests between two heartbeats would go to the same idle upstream.
func (u *upstream) wait(now time.Time, staleAfter time.Duration) time.Duration {
	if !u.isFresh(now, staleAfter) {
		return 0
	}
	if len(u.sent) < u.summary.FreePlaces {
		return 0
	}
	return u.summary.Backlog + u.sentWork/time.Duration(max(u.declared.Batch, 1))
}

// speed returns the recently measured time per token.
func (u *upstream) speed(now time.Time, fallback time.Duration) time.Duration {
	if u.measuredAt.IsZero() || now.Sub(u.measuredAt) > speedMaxAge {
		return fallback
	}
	return u.tokenTime
}

func (u *upstream) recordSent(now time.Time, work time.Duration) {
	if len(u.sent) >= maxSent {
		u.sentWork -= u.sent[0].work
		u.sent = u.sent[1:]
	}
	u.sent = append(u.sent, sentRequest{at: now, work: work})
	u.sentWork += work
}

// dropSentBefore drops the requests that a summary with this time includes.
func (u *upstream) dropSentBefore(summaryAt time.Time) {
	remaining := u.sent[:0]
	for _, s := range u.sent {
		if s.at.After(summaryAt) {
			remaining = append(remaining, s)
			continue
		}
		u.sentWork -= s.work
	}
	u.sent = remaining
}

func (u *upstream) recordOutcome(now time.Time, outcome Outcome, fallback time.Duration) {
	if outcome.Failed {
		u.failures++
		return
	}
	u.failures = 0
	if outcome.Tokens <= 0 {
		return
	}
	sample := time.Duration(float64(outcome.Took) / outcome.Tokens)
	mean := u.speed(now, fallback)
	u.tokenTime = mean + time.Duration(speedSampleWeight*float64(sample-mean))
	u.measuredAt = now
}
