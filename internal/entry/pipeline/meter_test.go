package pipeline

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/caller/api"
	"lacewingrock.example/lacewingrock/internal/caller/stream"
	"lacewingrock.example/lacewingrock/internal/fleet/freshness"
)

// countingSink counts what the caller would get.
type countingSink struct {
	events int
	tokens int
}

func (s *countingSink) Begin(api.Served) error { return nil }

func (s *countingSink) Event(_ stream.Event, tokens int) error {
	s.events++
	s.tokens = tokens
	return nil
}

// reservationOf reserves tokens at an instance of a fleet of so many members. Unless settled, a
// newer head was installed since, which none of the others has told yet.
func reservationOf(t testing.TB, tokens float64, members int, settled bool) *rate.Reservation {
	t.Helper()
	tracker := &freshness.Tracker{Self: freshness.Member{Name: "i0", Incarnation: "1", Since: 1}, Bound: time.Hour}
	ledger := &rate.Ledger{Self: rate.Identity{Name: "i0", Incarnation: "1"}, Freshness: tracker}
	heads := freshness.Head{Revision: 1, Epoch: 1}
	limits := rate.Head{Revision: 2, Since: 1, Limits: []rate.Limit{{Workspace: "w", Rate: 1e12, Burst: 1e12}}}
	for i := range members {
		member := freshness.Member{Name: fmt.Sprint("i", i), Incarnation: "1", Since: 1}
		heads.Members = append(heads.Members, member)
		limits.Members = append(limits.Members, rate.Identity{Name: member.Name, Incarnation: "1"})
	}
	tracker.Install(heads)
	tracker.RecordRead(time.Now(), 1)
	for _, member := range heads.Members {
		tracker.RecordReply(freshness.Reply{Member: member, SentAt: time.Now(), Revision: 1, ConfirmedAge: -1})
	}
	// The bucket of a workspace that is declared while the process runs starts full.
	ledger.Install(rate.Head{Revision: 1, Since: 1, Members: limits.Members})
	tracker.Install(freshness.Head{Revision: 2, Epoch: 1, Members: heads.Members})
	tracker.RecordRead(time.Now(), 2)
	for _, member := range heads.Members {
		tracker.RecordReply(freshness.Reply{Member: member, SentAt: time.Now(), Revision: 2, ConfirmedAge: -1})
	}
	ledger.Install(limits)
	reservation, err := ledger.Reserve("w", tokens)
	if err != nil {
		t.Fatal(err)
	}
	if !settled {
		heads.Revision, limits.Revision = 3, 3
		tracker.Install(heads)
		tracker.RecordRead(time.Now(), 3)
		ledger.Install(limits)
	}
	return reservation
}

// An engine generates more tokens than it was asked for, in single tokens or several to an event. The
// workspace would get more than it bought. Everything that was reserved must still arrive, and nothing
// beyond it.
func TestOverspendingEndsTheStream(t *testing.T) {
	cases := []struct {
		name               string
		step               int
		prompt             int
		reserved, received int
	}{
		{"one by one", 1, 10, 110, 100},
		{"fewer than are told at once", 1, 10, 13, 3},
		{"as many as are told at once", 1, 0, toldTogether, toldTogether},
		{"three to an event", 3, 10, 110, 99},
		{"many to an event", 64, 0, 128, 128},
		{"too many in the first event", 64, 10, 60, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sink := &countingSink{}
			m := &meter{
				sink: sink, promptTokens: c.prompt, mostTokens: c.reserved - c.prompt,
				reservation: reservationOf(t, float64(c.reserved), 1, true),
			}
			var err error
			tokens := 0
			for err == nil {
				tokens += c.step
				err = m.Event(stream.Event{}, tokens)
			}
			is.True(errors.Is(err, errOverspent))
			is.Equal(sink.tokens, c.received)
			is.Equal(sink.events, c.received/c.step)
		})
	}
}

// BenchmarkMeter is what the meter costs for each token of one stream, by the size of the fleet and
// whether its newest head is in force.
func BenchmarkMeter(b *testing.B) {
	for _, members := range []int{1, 8, 330} {
		for _, settled := range []bool{true, false} {
			b.Run(fmt.Sprintf("members=%d/settled=%v", members, settled), func(b *testing.B) {
				m := &meter{sink: &countingSink{}, reservation: reservationOf(b, 1e6, members, settled)}
				b.ResetTimer()
				for n := range b.N {
					if err := m.Event(stream.Event{}, n+1); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
