// Package turn schedules the prompts of one engine: it decides when each prompt is sent there. It is used by the
// holder of the engine. It uses no sockets. The caller reads the runtime's clock and passes the time in.
//
// It protects streams from long prompts. An engine with chunked prefill decodes between the chunks. Several prompts
// that arrive together fill every chunk, so each token takes as long as a chunk. Streams then stall for seconds or
// run into timeouts, although each request was placed where it was expected to be on time. With a queue, one prefill
// runs at a time, and the streams get a share of the engine's time between two prefills. That costs this share of the
// engine's capacity, and only while streams run.
package turn

import (
	"slices"
	"time"
)

const (
	// decodeShare is the time reserved for streams between two prefills, relative to the duration of the first.
	decodeShare = 0.1
	// dispatchLead is the approximate time from the dispatch of a prompt until its engine has received it.
	dispatchLead = 3 * time.Millisecond
	// reportDelay is how long after a dispatch the load report of the engine may not include the prompt yet: the
	// instance that sends the prompt reports it in its next message.
	reportDelay = 50 * time.Millisecond
	// maxLateWait is the wait that is accepted even for an answer that will be late: a caller that retries would not
	// be served sooner.
	maxLateWait = 500 * time.Millisecond
)

// Prompt is a queued request.
type Prompt struct {
	// Prefill is the expected prefill time at the engine.
	Prefill time.Duration
	// Tokens is the length of the prompt.
	Tokens   int
	Priority int
	// OverShare: the workspace of the request uses more than its share of the service.
	OverShare bool
	// LatestDispatch is the latest dispatch time with which the answer is on time.
	LatestDispatch time.Time

	enqueuedAt time.Time
}

// Queue is the queue of prompts for one engine. The zero value is ready for use. It is not safe for concurrent use.
type Queue struct {
	// Contention: prompts are ordered by class. Set it before use.
	Contention bool

	waiting []*Prompt
	// prefillEnd is the predicted end of the prefill of all dispatched prompts. nextDispatch is the earliest time of
	// the next dispatch, and lastDispatch the time of the latest one.
	prefillEnd   time.Time
	nextDispatch time.Time
	lastDispatch time.Time
}

// Enqueue adds a prompt to the queue. It must be dispatched or removed later.
func (q *Queue) Enqueue(now time.Time, prompt *Prompt) {
	prompt.enqueuedAt = now
	q.waiting = append(q.waiting, prompt)
}

// Remove removes a prompt that was cancelled.
func (q *Queue) Remove(prompt *Prompt) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *Prompt) bool { return other == prompt })
}

// TryDispatch dispatches the prompt if it is at the head of the queue and the engine is ready for it. Otherwise it returns
// the time of the next attempt at the latest.
func (q *Queue) TryDispatch(now time.Time, prompt *Prompt, streams bool) (retryAt time.Time, dispatched bool) {
	if now.Before(q.nextDispatch) {
		return q.nextDispatch, false
	}
	if q.head(now) != prompt {
		return now.Add(dispatchLead), false
	}
	q.Remove(prompt)
	q.lastDispatch = now
	if q.prefillEnd.Before(now) {
		q.prefillEnd = now
	}
	q.prefillEnd = q.prefillEnd.Add(prompt.Prefill)
	q.nextDispatch = q.prefillEnd.Add(-dispatchLead)
	if streams {
		q.nextDispatch = q.nextDispatch.Add(time.Duration(decodeShare * float64(prompt.Prefill)))
	}
	return time.Time{}, true
}

// PrefillDone records that the engine has no prefill left. A prompt whose prefix was cached takes less time than predicted.
func (q *Queue) PrefillDone(now time.Time) {
	if now.Sub(q.lastDispatch) < reportDelay || !now.Before(q.nextDispatch) {
		return
	}
	q.prefillEnd = now
	q.nextDispatch = now
}

// QueueingDelay returns the expected queueing delay of a prompt, whether it is in the queue or not.
func (q *Queue) QueueingDelay(now time.Time, prompt *Prompt) time.Duration {
	wait := max(q.nextDispatch.Sub(now), 0)
	for _, other := range q.waiting {
		if other != prompt && q.precedes(now, other, prompt) {
			wait += other.Prefill
		}
	}
	return wait
}

// ShouldReject reports whether a prompt should be rejected instead of queued: its answer would be late and its wait
// would exceed maxLateWait.
func (q *Queue) ShouldReject(now time.Time, prompt *Prompt) bool {
	wait := q.QueueingDelay(now, prompt)
	return wait > maxLateWait && now.Add(wait).After(prompt.LatestDispatch)
}

// QueuedTokens returns the total length of all queued prompts.
func (q *Queue) QueuedTokens() (total int) {
	for _, prompt := range q.waiting {
		total += prompt.Tokens
	}
	return total
}

// ---------------------------------------------------------------------------------------------

func (q *Queue) head(now time.Time) (first *Prompt) {
	for _, prompt := range q.waiting {
		if first == nil || q.precedes(now, prompt, first) {
			first = prompt
		}
	}
	return first
}

// precedes orders prompts that can still be on time before late ones, then by priority, then by arrival. A late
// prompt has lost most of the value of its answer. Dispatched first, it would make the others late as well.
func (q *Queue) precedes(now time.Time, a, b *Prompt) bool {
	if q.Contention {
		return precedesByClass(now, a, b)
	}
	if late := now.After(a.LatestDispatch); late != now.After(b.LatestDispatch) {
		return !late
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.enqueuedAt.Before(b.enqueuedAt)
}
