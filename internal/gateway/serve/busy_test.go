package serve

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"lacewingrock.example/lacewingrock/internal/caller/refusal"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/call"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/retry"
)

// busyFleet is a fleet whose holders have no place for an adapter, and expect one after different times.
type busyFleet struct {
	Fleet
	asked map[string]bool
	least time.Duration
}

func (f *busyFleet) NewestVersion(traffic.Adapter) (int64, bool) { return 0, false }
func (f *busyFleet) QueryHolder(context.Context, string)         {}
func (f *busyFleet) NotifyHolder(string)                         {}

func (f *busyFleet) Prepare(_ context.Context, request mesh.PrepareRequest) mesh.PrepareResult {
	f.asked[request.Upstream] = true
	return mesh.Busy{RetryAfter: f.least + 100*time.Millisecond*time.Duration(len(f.asked)-1)}
}

// Guards against a caller that is refused after a few of many upstreams had no place for its adapter while another has
// one, and against a time to come back that nobody expects a place at.
func TestEnoughHoldersAreAskedAndBelieved(t *testing.T) {
	for _, c := range []struct {
		name  string
		least time.Duration
		after time.Duration
	}{
		{"soon", 250 * time.Millisecond, 250 * time.Millisecond},
		{"at once", time.Millisecond, leastBusyRetryAfter},
		{"much later", time.Minute, mostBusyRetryAfter},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			advice := &SharedState{Pool: &pool.Pool{Settings: pool.DefaultSettings()}, Retries: &retry.Budgets{}}
			advice.Pool.Configure(map[string]traffic.Service{"s": {Name: "s", Engine: &traffic.Engine{AdapterSlots: 5}}})
			for i := range 12 {
				advice.Pool.Declare(time.Now(), traffic.Upstream{ID: fmt.Sprint("u", i), Service: "s", BatchSlots: 8})
			}
			fleet := &busyFleet{asked: make(map[string]bool), least: c.least}
			h := &Handler{Fleet: fleet, State: advice, Log: zerolog.Nop()}
			j := &job{
				handler: h, began: time.Now(), deadline: time.Now().Add(10 * time.Minute), service: "s",
				call: call.Call{Generation: call.Generation{Adapter: traffic.Adapter{Model: "m", Name: "a"}, PromptTokens: 1000}},
			}
			err := j.run(t.Context())
			is.Equal(len(fleet.asked), 12)
			refused := refusal.From(err)
			is.Equal(refused.Run(), refusal.NotRun)
			is.Equal(refused.ExactRetryAfter(), c.after)
		})
	}
}
