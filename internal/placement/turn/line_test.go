package turn_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/turn"
)

const ms = time.Millisecond

func prompt(reading time.Duration, priority int, onTimeFor time.Duration) *turn.Prompt {
	return &turn.Prompt{
		Prefill: reading, Tokens: int(reading / ms), Priority: priority, LatestDispatch: time.Now().Add(onTimeFor),
	}
}

// joined adds prompts to a line, one a millisecond.
func joined(l *turn.Queue, prompts ...*turn.Prompt) []*turn.Prompt {
	for _, one := range prompts {
		l.Enqueue(time.Now(), one)
		time.Sleep(ms)
	}
	return prompts
}

// serve lets all prompts through that wait, and tells when each was.
func serve(l *turn.Queue, streams bool, prompts ...*turn.Prompt) map[*turn.Prompt]time.Duration {
	began := time.Now()
	taken := make(map[*turn.Prompt]time.Duration)
	for len(taken) < len(prompts) {
		for _, one := range prompts {
			if _, done := taken[one]; done {
				continue
			}
			if _, now := l.TryDispatch(time.Now(), one, streams); now {
				taken[one] = time.Since(began)
			}
		}
		time.Sleep(ms)
	}
	return taken
}

// A burst of long prompts reaches an engine at which streams run. Sent at once, the engine would read for over a second
// without a pause, and every stream would stand still for as long. One after the other, the streams get some of the
// engine's time after each.
func TestBurstOfLongPromptsLeavesTimeForStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l turn.Queue
		prompts := joined(&l, prompt(300*ms, 1, time.Second), prompt(300*ms, 1, time.Second),
			prompt(300*ms, 1, time.Second), prompt(300*ms, 1, time.Second))
		is.Equal(l.QueuedTokens(), 1200)
		taken := serve(&l, true, prompts...)
		for i := 1; i < len(prompts); i++ {
			is.True(taken[prompts[i]]-taken[prompts[i-1]] >= 320*ms) // 300 to read, and more than 20 for the streams
		}
		is.True(taken[prompts[3]] < 1050*ms) // and the engine is hardly ever idle
		is.Equal(l.QueuedTokens(), 0)
	})
}

// Without streams nobody waits for a pause, and the engine reads one prompt right after the other.
func TestWithoutStreamsTheEngineIsNeverIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l turn.Queue
		a, b := prompt(200*ms, 1, time.Second), prompt(200*ms, 1, time.Second)
		joined(&l, a, b)
		taken := serve(&l, false, a, b)
		is.True(taken[b] <= 200*ms)
	})
}

// Long and short prompts, urgent and patient ones, and one that is late already meet at a full engine. Served as they
// came, the late one would make the others late as well.
func TestWhoCanBeOnTimeGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l turn.Queue
		late := prompt(300*ms, 0, -ms)
		patient := prompt(300*ms, 2, 5*time.Second)
		urgent := prompt(20*ms, 0, time.Second)
		joined(&l, late, patient, urgent)
		is.Equal(l.QueueingDelay(time.Now(), urgent), time.Duration(0))
		is.Equal(l.QueueingDelay(time.Now(), late), 320*ms)
		taken := serve(&l, true, late, patient, urgent)
		is.True(taken[urgent] < taken[patient])
		is.True(taken[patient] < taken[late])
	})
}

// A prompt's parts are kept at its engine, which reads it in no time. Prompts that wait until it would have been read
// otherwise leave the engine idle.
func TestPromptThatIsReadSoonerLetsTheNextThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l turn.Queue
		kept, next := prompt(500*ms, 1, time.Second), prompt(100*ms, 1, time.Second)
		joined(&l, kept, next)
		_, taken := l.TryDispatch(time.Now(), kept, true)
		is.True(taken)
		l.PrefillDone(time.Now()) // its sender has not told yet that it is on its way
		_, taken = l.TryDispatch(time.Now(), next, true)
		is.True(!taken)
		time.Sleep(80 * ms)
		l.PrefillDone(time.Now())
		_, taken = l.TryDispatch(time.Now(), next, true)
		is.True(taken)
	})
}

// A caller leaves while its prompt waits. If it kept its place nobody behind it would ever be served.
func TestWhoLeavesHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l turn.Queue
		gone, next := prompt(300*ms, 0, time.Second), prompt(300*ms, 1, time.Second)
		joined(&l, gone, next)
		l.Remove(gone)
		_, taken := l.TryDispatch(time.Now(), next, true)
		is.True(taken)
	})
}

// A queue of long prompts stands before an engine. Who would be late for it is told at once; held until the queue is
// through, the caller could have been served elsewhere or come back by then. A short wait is worth it even if late.
func TestHopelessWaitsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l turn.Queue
		before := joined(&l, prompt(400*ms, 1, 5*time.Second), prompt(400*ms, 1, 5*time.Second))
		hasty, calm := prompt(100*ms, 1, 600*ms), prompt(100*ms, 1, 5*time.Second)
		joined(&l, hasty, calm)
		is.True(l.ShouldReject(time.Now(), hasty))
		is.True(!l.ShouldReject(time.Now(), calm))
		l.Remove(before[0])
		is.True(!l.ShouldReject(time.Now(), hasty)) // 400 ms are left
	})
}
