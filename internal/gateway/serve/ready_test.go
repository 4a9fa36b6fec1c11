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

// holderless is a fleet in which nobody holds any upstream. Its answer may come when the upstream has begun to leave.
type holderless struct {
	Fleet
	meanwhile func()
}

func (f holderless) NotifyHolder(string) {}

func (f holderless) Prepare(context.Context, mesh.PrepareRequest) mesh.PrepareResult {
	f.meanwhile()
	return mesh.NotHolder{}
}

// Streams pause, so that prompts take turns, and the holder that keeps them is gone. Requests whose adapter is loaded
// need no holder and go on; refused for want of one, the whole service would stand still until another takes over. But
// a holder is gone as well when its upstream leaves, and then they must not be sent there.
func TestNobodyKeepsTheTurns(t *testing.T) {
	for _, c := range []struct {
		name    string
		loaded  bool
		leaving bool
		ready   bool
	}{
		{"loaded", true, false, true},
		{"not loaded", false, false, false},
		{"the upstream leaves", true, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			advice := &SharedState{Pool: &pool.Pool{Settings: pool.DefaultSettings()}}
			upstream := traffic.Upstream{ID: "u", Service: "s", StartedMillis: 1}
			advice.Pool.Declare(time.Now(), upstream)
			query := pool.Query{Service: "s", Adapter: traffic.Adapter{Model: "m", Name: "a"}, Tokens: 1000}
			choice := pool.Choice{Upstream: upstream, Loaded: c.loaded}
			sending := advice.Pool.Begin(time.Now(), choice, query)
			for range 50 {
				sending.RecordPause(true)
			}
			leave := func() {
				if c.leaving {
					upstream.Draining = true
					advice.Pool.Declare(time.Now(), upstream)
				}
			}
			h := &Handler{Fleet: holderless{meanwhile: leave}, State: advice, Log: zerolog.Nop()}
			j := &job{handler: h, began: time.Now(), deadline: time.Now().Add(time.Second)}
			is.Equal(j.ready(t.Context(), &choice, query), c.ready)
		})
	}
}
