package integration

import (
	"testing"
	"time"

	"lacewingrock.example/lacewingrock/internal/standin/deployment"
)

// A key was stolen, and a long answer streams to the thief when the operator withdraws it. Were the key
// looked at only when a request begins, the stream would go on at its workspace's cost to the last token.
// The instance that streams is not the one that made the change.
func TestRunningStreamOfAWithdrawnKeyEnds(t *testing.T) {
	const (
		tokens = 1600 // some eight seconds at the stand-in
		prompt = "a long answer to a thief"
	)
	w := newWorld(t, options{})
	model := deployment.AdapterA + "@2"
	w.warm(w.keyA, model)
	ended := make(chan reply, 1)
	go func() { ended <- w.caller(w.keyA).stream(2, model, prompt, tokens) }()
	w.eventually("the stream runs", soonLimit, func() bool { return len(w.ranWith(prompt)) > 0 })
	w.withdraw("key-a")
	withdrawn := time.Now()
	select {
	case came := <-ended:
		if came.ok() {
			t.Errorf("the stream came to its end with a withdrawn key: %s", came)
		}
		t.Logf("the stream ended %.2f s after the withdrawal", time.Since(withdrawn).Seconds())
	case <-time.After(soonLimit):
		t.Fatal("the stream goes on with a withdrawn key")
	}
	w.eventually("the engine has stopped", soonLimit, func() bool {
		return !w.ranWith(prompt)[0].EndedAt.IsZero()
	})
	if generated := w.ranWith(prompt)[0].Tokens; generated >= tokens {
		t.Errorf("the engine generated all %d tokens", generated)
	}
}
