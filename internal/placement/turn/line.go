// Package turn decides, for one engine, when each prompt is sent there. The holder of the engine asks it; it needs no
// sockets, and the caller reads the runtime's clock and passes the time in.
//
// Made for long prompts among streams. An engine with chunked prefill decodes between the chunks, and several prompts
// that come at once fill every chunk: each token then takes as long as a chunk, and streams stand still for seconds or
// run out of time, although each request was sent where it was expected to be on time. Here prompts wait for their
// turn, one prefill runs at a time, and the streams get a part of the engine's time between two. That costs the engine
// this part of its capacity, and only while streams run.
package turn

import (
	"slices"
	"time"
)

const (
	// streamShare is what the streams get between two prefills, in terms of the time that the first takes.
	streamShare = 0.1
	// lead is about how long a prompt takes from its turn until the engine has it.
	lead = 3 * time.Millisecond
	// settle is how long after a turn nothing is known yet of the prompt at its engine: the instance that sends it
	// tells with its next message.
	settle = 50 * time.Millisecond
	// shortWait is worth waiting also for a late answer: a caller that comes back would not be served sooner.
	shortWait = 500 * time.Millisecond
)

// Prompt is a request that waits for its turn.
type Prompt struct {
	// Prefill is how long the engine is expected to need for it.
	Prefill time.Duration
	// Tokens is its length.
	Tokens   int
	Priority int
	// LatestDispatch is until when its turn has to come for it to be on time.
	LatestDispatch time.Time

	joined time.Time
}

// Queue is the prompts that wait for one engine. The zero value is ready for use; it is not safe for use by several
// goroutines.
type Queue struct {
	waiting []*Prompt
	// prefillUntil is when the prefill of what was let through is predicted to end; next is when the next prompt may be
	// sent, and last when the latest one was.
	prefillUntil time.Time
	next         time.Time
	last         time.Time
}

// Enqueue adds a prompt. It has to be taken out by Take or Leave.
func (l *Queue) Enqueue(now time.Time, prompt *Prompt) {
	prompt.joined = now
	l.waiting = append(l.waiting, prompt)
}

// Remove takes a prompt out that does not wait any more.
func (l *Queue) Remove(prompt *Prompt) {
	l.waiting = slices.DeleteFunc(l.waiting, func(other *Prompt) bool { return other == prompt })
}

// TryDispatch lets a prompt through if it is its turn; else it tells when to ask again at the latest.
func (l *Queue) TryDispatch(now time.Time, prompt *Prompt, streams bool) (again time.Time, taken bool) {
	if now.Before(l.next) {
		return l.next, false
	}
	if l.first(now) != prompt {
		return now.Add(lead), false
	}
	l.Remove(prompt)
	l.last = now
	if l.prefillUntil.Before(now) {
		l.prefillUntil = now
	}
	l.prefillUntil = l.prefillUntil.Add(prompt.Prefill)
	l.next = l.prefillUntil.Add(-lead)
	if streams {
		l.next = l.next.Add(time.Duration(streamShare * float64(prompt.Prefill)))
	}
	return time.Time{}, true
}

// PrefillDone takes note that no prefill is left: a prompt whose prefix was cached takes less than predicted.
func (l *Queue) PrefillDone(now time.Time) {
	if now.Sub(l.last) < settle || !now.Before(l.next) {
		return
	}
	l.prefillUntil = now
	l.next = now
}

// QueueingDelay is how long a prompt that waits, or one that would join, has to wait for its turn.
func (l *Queue) QueueingDelay(now time.Time, prompt *Prompt) time.Duration {
	wait := max(l.next.Sub(now), 0)
	for _, other := range l.waiting {
		if other != prompt && l.isBefore(now, other, prompt) {
			wait += other.Prefill
		}
	}
	return wait
}

// ShouldReject tells whether a prompt had better not wait: its answer would be late, and the wait is not short.
func (l *Queue) ShouldReject(now time.Time, prompt *Prompt) bool {
	wait := l.QueueingDelay(now, prompt)
	return wait > shortWait && now.Add(wait).After(prompt.LatestDispatch)
}

// QueuedTokens is the length of all that wait.
func (l *Queue) QueuedTokens() (total int) {
	for _, prompt := range l.waiting {
		total += prompt.Tokens
	}
	return total
}

// ---------------------------------------------------------------------------------------------

func (l *Queue) first(now time.Time) (first *Prompt) {
	for _, prompt := range l.waiting {
		if first == nil || l.isBefore(now, prompt, first) {
			first = prompt
		}
	}
	return first
}

// isBefore puts those first who can still be on time, of them the most urgent, and of them who came first. Who is
// late has lost most of what the answer is worth; before the others they would make all of them late as well.
func (l *Queue) isBefore(now time.Time, a, b *Prompt) bool {
	if late := now.After(a.LatestDispatch); late != now.After(b.LatestDispatch) {
		return !late
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.joined.Before(b.joined)
}
