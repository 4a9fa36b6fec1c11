package serve

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/forward"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// touched counts what the holders are told.
type touched struct {
	Fleet
	count int
}

func (f *touched) NotifyHolder(string) { f.count++ }

// Prompts take turns, and the next one waits until the holder hears of this one's first event. Untold, the engine is
// idle until a heartbeat comes. Where no turns are taken nobody waits for it, and in a large fleet such messages would
// be as many as the requests.
func TestFirstEventIsToldWhereTurnsAreTaken(t *testing.T) {
	for _, inTurn := range []bool{true, false} {
		is := is.New(t)
		advice := &SharedState{Pool: &pool.Pool{Settings: pool.DefaultSettings()}}
		upstream := traffic.Upstream{ID: "u", Service: "s", StartedMillis: 1}
		advice.Pool.Declare(time.Now(), upstream)
		fleet := &touched{}
		j := &job{handler: &Handler{Fleet: fleet, State: advice}, began: time.Now(), upstream: "u", inTurn: inTurn}
		sending := advice.Pool.Begin(time.Now(), pool.Choice{Upstream: upstream}, pool.Query{Service: "s"})
		r := &relay{job: j, answer: &forward.Response{}, sending: sending}
		r.answered()
		r.answered() // the events after it are no news
		want := 0
		if inTurn {
			want = 1
		}
		is.Equal(fleet.count, want)
	}
}
