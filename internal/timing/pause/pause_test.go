package pause_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

func TestForWaitsOrEndsWithTheContext(t *testing.T) {
	tests := []struct {
		name  string
		wait  time.Duration
		ends  time.Duration
		lives bool
		took  time.Duration
	}{
		{"whole wait", time.Second, time.Minute, true, time.Second},
		{"context ends first", time.Minute, time.Second, false, time.Second},
		{"nothing to wait for", 0, time.Second, true, 0},
		{"past", -time.Second, time.Second, true, 0},
		{"past, context ended", -time.Second, 0, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(context.Background(), tt.ends)
				defer cancel()
				began := time.Now()
				is.Equal(pause.For(ctx, tt.wait), tt.lives)
				is.Equal(time.Since(began), tt.took)
			})
		})
	}
}

// TestManyGoroutinesWithNothingToWaitFor guards against a crash of the race detector when timers that have already
// expired fire on several goroutines of one bubble at once.
func TestManyGoroutinesWithNothingToWaitFor(t *testing.T) {
	const (
		bubbles    = 20
		goroutines = 16
		waits      = 2000
	)
	for range bubbles {
		synctest.Test(t, func(t *testing.T) {
			var all sync.WaitGroup
			for range goroutines {
				all.Go(func() {
					for range waits {
						pause.For(t.Context(), -time.Millisecond)
					}
				})
			}
			all.Wait()
		})
	}
}
