package logring_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"lacewingrock.example/lacewingrock/internal/telemetry/logring"
)

// stuck is an output that nobody reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Whoever collects the log has stopped reading. If logging waited for it, each request would too.
func TestStuckOutputHoldsUpNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := stuck{release: make(chan struct{})}
		ring := &logring.Ring{Out: out, Budget: 1_000_000}
		ring.Start()
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- ring.Run(ctx) }()
		for range 10_000 {
			_, err := ring.WriteLevel(zerolog.InfoLevel, []byte("event\n"))
			is.NoErr(err)
		}
		is.True(ring.TakeDropped() > 7000)
		is.Equal(ring.TakeDropped(), 0) // counted once
		close(out.release)
		cancel()
		is.NoErr(<-ended)
	})
}

// A flood logs far more than the budget. What is left out is counted, and failures are kept when ordinary
// events are not: they are what somebody will look for.
func TestBudgetKeepsFailuresLongest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		ring := &logring.Ring{Out: &out, Budget: 10}
		ring.Start()
		for range 20 {
			_, _ = ring.WriteLevel(zerolog.InfoLevel, []byte("ordinary\n"))
		}
		for range 20 {
			_, _ = ring.WriteLevel(zerolog.WarnLevel, []byte("failure\n"))
		}
		is.Equal(ring.TakeDropped(), 20)
		time.Sleep(time.Second)
		_, _ = ring.Write([]byte("later\n")) // the next second has a budget of its own
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		is.NoErr(ring.Run(ctx)) // what is in the ring is written at the end
		is.Equal(strings.Count(out.String(), "ordinary"), 10)
		is.Equal(strings.Count(out.String(), "failure"), 10)
		is.Equal(strings.Count(out.String(), "later"), 1)
	})
}
