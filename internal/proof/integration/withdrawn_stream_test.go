package integration

import (
	"testing"
	"time"

	"lacewingrock.example/lacewingrock/internal/standin/deployment"
)

// A long answer streams to the user of a stolen key when the operator withdraws the key. If the key were checked only
// when a request starts, the stream would continue to the last token at the workspace's cost. The change is made
// through another instance than the one that streams.
func TestRunningStreamOfAWithdrawnKeyEnds(t *testing.T) {
	const (
		tokens = 1600 // about eight seconds at the stand-in engine
		prompt = "a long answer to a thief"
	)
	w := newWorld(t, options{})
	model := deployment.AdapterA + "@2"
	w.warm(w.keyA, model)
	ended := make(chan reply, 1)
	go func() { ended <- w.caller(w.keyA).stream(2, model, prompt, tokens) }()
	w.eventually("the stream runs", promptLimit, func() bool { return len(w.executedWithPrompt(prompt)) > 0 })
	w.withdraw("key-a")
	withdrawn := time.Now()
	select {
	case got := <-ended:
		if got.ok() {
			t.Errorf("the stream completed with a withdrawn key: %s", got)
		}
		t.Logf("the stream ended %.2f s after the withdrawal", time.Since(withdrawn).Seconds())
	case <-time.After(promptLimit):
		t.Fatal("the stream continues with a withdrawn key")
	}
	w.eventually("the engine has stopped", promptLimit, func() bool {
		return !w.executedWithPrompt(prompt)[0].EndedAt.IsZero()
	})
	if generated := w.executedWithPrompt(prompt)[0].Tokens; generated >= tokens {
		t.Errorf("the engine generated all %d tokens", generated)
	}
}
