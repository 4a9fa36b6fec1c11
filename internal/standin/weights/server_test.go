package weights_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/standin/weights"
)

// Many instances order loads at once. Above its rate limit the store refuses loads, and loads that are in
// flight together get slower, so that a flood of loads delays every caller.
func TestRateLimit(t *testing.T) {
	is := is.New(t)
	s := &weights.Server{LoadsPerSecond: 0.001, Burst: 3, LoadTime: 20 * time.Millisecond}
	is.NoErr(s.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	defer func() {
		cancel()
		is.NoErr(<-ended)
	}()
	s.SetFaults(weights.Faults{Fail: 1})
	statuses := make(map[int]int)
	var mu sync.Mutex
	var calls sync.WaitGroup
	for range 5 {
		calls.Go(func() {
			answer, err := http.Get("http://" + s.Address + "/v1/weights/a/1")
			if err != nil {
				t.Error(err)
				return
			}
			answer.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			statuses[answer.StatusCode]++
		})
	}
	calls.Wait()
	is.Equal(statuses[http.StatusOK], 2)
	is.Equal(statuses[http.StatusInternalServerError], 1)
	is.Equal(statuses[http.StatusTooManyRequests], 2)
	is.Equal(len(s.Record().Loads), 5)
}
