package pipeline

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/caller/api"
	"lacewingrock.example/lacewingrock/internal/caller/stream"
	"lacewingrock.example/lacewingrock/internal/fleet/freshness"
)

type silentSink struct{}

func (silentSink) Begin(api.Served) error        { return nil }
func (silentSink) Event(stream.Event, int) error { return nil }

// A short prompt is estimated at many more tokens than the engine counts. Were the estimate charged, a
// workspace with short prompts would be refused at less than half of the rate it bought.
func TestPromptIsChargedAsTheEngineCountsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		self := freshness.Member{Name: "i", Incarnation: "1", Since: 1}
		identity := rate.Identity{Name: "i", Incarnation: "1"}
		tracker := &freshness.Tracker{Self: self}
		ledger := &rate.Ledger{Self: identity, Freshness: tracker}
		members := []rate.Identity{identity}
		install := func(head rate.Head) {
			ledger.Install(head)
			tracker.RecordRead(time.Now(), head.Revision)
			tracker.Install(freshness.Head{Revision: head.Revision, Epoch: 1, Members: []freshness.Member{self}})
		}
		install(rate.Head{Revision: 1, Since: 1, Members: members})
		install(rate.Head{Revision: 2, Since: 1, Members: members, Limits: []rate.Limit{{Workspace: "w", Burst: 100}}})
		reservation, err := ledger.Reserve("w", 60)
		is.NoErr(err)
		m := &meter{sink: silentSink{}, reservation: reservation, promptTokens: 24, mostTokens: 36}
		for tokens := 1; tokens <= 10; tokens++ {
			is.NoErr(m.Event(stream.Event{}, tokens))
		}
		m.usage = stream.Usage{PromptTokens: 3, CompletionTokens: 10}
		reservation.Settle(m.used())
		is.Equal(ledger.Available("w"), 100.0-13)
	})
}
