package serve

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// notifications counts the notifications to the holders.
type notifications struct {
	Fleet
	count int
}

func (f *notifications) NotifyHolder(string) { f.count++ }

// Guards against an engine that is idle until the next heartbeat: if prompts take turns, the next prompt waits until
// the holder is notified of the first event of this one. If prompts take no turns, nothing waits for the notification,
// and in a large fleet there would be as many of them as requests.
func TestFirstEventNotifiesHolderIfPromptsTakeTurns(t *testing.T) {
	for _, inTurn := range []bool{true, false} {
		is := is.New(t)
		state := &SharedState{Pool: &pool.Pool{Settings: pool.DefaultSettings()}}
		upstream := traffic.Upstream{ID: "u", Service: "s", StartedMillis: 1}
		state.Pool.Declare(time.Now(), upstream)
		fleet := &notifications{}
		j := &job{handler: &Handler{Fleet: fleet, State: state}, startedAt: time.Now()}
		chosen := placement{choice: pool.Choice{Upstream: upstream}, query: pool.Query{Service: "s"}, inTurn: inTurn}
		counted := state.Pool.Begin(time.Now(), chosen.choice, chosen.query)
		a := &attempt{job: j, placement: chosen, counted: counted}
		a.recordEvent()
		a.recordEvent() // later events cause no notification
		want := 0
		if inTurn {
			want = 1
		}
		is.Equal(fleet.count, want)
	}
}
