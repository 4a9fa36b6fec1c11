package turn_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/turn"
)

const ms = time.Millisecond

func prompt(prefill time.Duration, priority int, onTimeFor time.Duration) *turn.Prompt {
	return &turn.Prompt{
		Prefill: prefill, Tokens: int(prefill / ms), Priority: priority, LatestDispatch: time.Now().Add(onTimeFor),
	}
}

// enqueue adds prompts to a queue, one a millisecond.
func enqueue(q *turn.Queue, prompts ...*turn.Prompt) []*turn.Prompt {
	for _, one := range prompts {
		q.Enqueue(time.Now(), one)
		time.Sleep(ms)
	}
	return prompts
}

// dispatchAll dispatches all queued prompts and returns the time at which each was dispatched.
func dispatchAll(q *turn.Queue, streams bool, prompts ...*turn.Prompt) map[*turn.Prompt]time.Duration {
	start := time.Now()
	dispatched := make(map[*turn.Prompt]time.Duration)
	for len(dispatched) < len(prompts) {
		for _, one := range prompts {
			if _, done := dispatched[one]; done {
				continue
			}
			if _, ok := q.TryDispatch(time.Now(), one, streams); ok {
				dispatched[one] = time.Since(start)
			}
		}
		time.Sleep(ms)
	}
	return dispatched
}

// Guards against a burst of long prompts that stalls the streams of an engine. Sent together, the prompts would keep
// the engine in prefill for over a second without a pause. Queued, they leave time for the streams after each
// prefill.
func TestBurstOfLongPromptsLeavesTimeForStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l turn.Queue
		prompts := enqueue(&l, prompt(300*ms, 1, time.Second), prompt(300*ms, 1, time.Second),
			prompt(300*ms, 1, time.Second), prompt(300*ms, 1, time.Second))
		is.Equal(l.QueuedTokens(), 1200)
		dispatched := dispatchAll(&l, true, prompts...)
		for i := 1; i < len(prompts); i++ {
			is.True(dispatched[prompts[i]]-dispatched[prompts[i-1]] >= 320*ms) // 300 ms of prefill, and more than 20 ms for the streams
		}
		is.True(dispatched[prompts[3]] < 1050*ms) // the engine is almost never idle
		is.Equal(l.QueuedTokens(), 0)
	})
}

// Without streams no time is reserved for decoding, and the engine prefills one prompt directly after the other.
func TestPromptsFollowDirectlyWithoutStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l turn.Queue
		a, b := prompt(200*ms, 1, time.Second), prompt(200*ms, 1, time.Second)
		enqueue(&l, a, b)
		dispatched := dispatchAll(&l, false, a, b)
		is.True(dispatched[b] <= 200*ms)
	})
}

// Guards against a queue in order of arrival at a full engine. A prompt that is already late would make the others
// late as well.
func TestPromptsThatCanMeetTheirDeadlineGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l turn.Queue
		late := prompt(300*ms, 0, -ms)
		patient := prompt(300*ms, 2, 5*time.Second)
		urgent := prompt(20*ms, 0, time.Second)
		enqueue(&l, late, patient, urgent)
		is.Equal(l.QueueingDelay(time.Now(), urgent), time.Duration(0))
		is.Equal(l.QueueingDelay(time.Now(), late), 320*ms)
		dispatched := dispatchAll(&l, true, late, patient, urgent)
		is.True(dispatched[urgent] < dispatched[patient])
		is.True(dispatched[patient] < dispatched[late])
	})
}

// Guards against an engine that is left idle. A prompt with a cached prefix takes almost no prefill time, and the
// prompts behind it must not wait for the predicted end of its prefill.
func TestCachedPrefixReleasesTheNextPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l turn.Queue
		cached, next := prompt(500*ms, 1, time.Second), prompt(100*ms, 1, time.Second)
		enqueue(&l, cached, next)
		_, dispatched := l.TryDispatch(time.Now(), cached, true)
		is.True(dispatched)
		l.PrefillDone(time.Now()) // its sender has not reported it yet
		_, dispatched = l.TryDispatch(time.Now(), next, true)
		is.True(!dispatched)
		time.Sleep(80 * ms)
		l.PrefillDone(time.Now())
		_, dispatched = l.TryDispatch(time.Now(), next, true)
		is.True(dispatched)
	})
}

// Guards against a cancelled prompt that blocks the queue. If it stayed at the head, no prompt behind it would be
// dispatched.
func TestRemovedPromptDoesNotBlockTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l turn.Queue
		cancelled, next := prompt(300*ms, 0, time.Second), prompt(300*ms, 1, time.Second)
		enqueue(&l, cancelled, next)
		l.Remove(cancelled)
		_, dispatched := l.TryDispatch(time.Now(), next, true)
		is.True(dispatched)
	})
}

// Guards against callers that wait for an answer that would be late. Rejected at once, they can be served by another
// engine or retry. A short wait is accepted even for a late answer.
func TestPromptThatWouldBeLateIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l turn.Queue
		earlier := enqueue(&l, prompt(400*ms, 1, 5*time.Second), prompt(400*ms, 1, 5*time.Second))
		tight, relaxed := prompt(100*ms, 1, 600*ms), prompt(100*ms, 1, 5*time.Second)
		enqueue(&l, tight, relaxed)
		is.True(l.ShouldReject(time.Now(), tight))
		is.True(!l.ShouldReject(time.Now(), relaxed))
		l.Remove(earlier[0])
		is.True(!l.ShouldReject(time.Now(), tight)) // a wait of 400 ms remains
	})
}
