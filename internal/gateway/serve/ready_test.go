package serve

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// holderless is a fleet in which no upstream has a holder. The upstream may start draining before Prepare returns.
type holderless struct {
	Fleet
	beforeReply func()
}

func (f holderless) NotifyHolder(string) {}

func (f holderless) Prepare(context.Context, mesh.PrepareRequest) mesh.PrepareResult {
	f.beforeReply()
	return mesh.NotHolder{}
}

// Streams pause, so prompts take turns, and the holder that grants the turns is gone. Requests whose adapter is loaded
// continue without it; otherwise the whole service would refuse requests until another instance takes over. The holder
// is also gone if its upstream is draining, and then the requests must not be sent there.
func TestMissingHolderDoesNotBlockLoadedAdapter(t *testing.T) {
	for _, c := range []struct {
		name     string
		loaded   bool
		draining bool
		ready    bool
	}{
		{"loaded", true, false, true},
		{"not loaded", false, false, false},
		{"the upstream is draining", true, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			state := &SharedState{Pool: &pool.Pool{Settings: pool.DefaultSettings()}}
			upstream := traffic.Upstream{ID: "u", Service: "s", StartedMillis: 1}
			state.Pool.Declare(time.Now(), upstream)
			query := pool.Query{Service: "s", Adapter: traffic.Adapter{Model: "m", Name: "a"}, Tokens: 1000}
			choice := pool.Choice{Upstream: upstream, Loaded: c.loaded}
			attempt := state.Pool.Begin(time.Now(), choice, query)
			for range 50 {
				attempt.RecordPause(true)
			}
			drain := func() {
				if c.draining {
					upstream.Draining = true
					state.Pool.Declare(time.Now(), upstream)
				}
			}
			h := &Handler{Fleet: holderless{beforeReply: drain}, State: state, Log: zerolog.Nop()}
			j := &job{handler: h, startedAt: time.Now(), deadline: time.Now().Add(time.Second)}
			is.Equal(j.ensureReady(t.Context(), &placement{choice: choice, query: query}), c.ready)
		})
	}
}
