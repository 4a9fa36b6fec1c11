package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/admission/rate"
	"lacewingrock.example/lacewingrock/internal/catalog/head"
)

// An instance freezes with requests at the engines and is removed. Then a new instance joins, which has no record of
// it. The requests of the frozen one are still generating tokens. If the new instance filled its share at once, the
// workspace would get more than its rate.
func TestJoinerWaitsForAFrozenMemberRemovedBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		kept := rate.Identity{Name: "kept", Incarnation: "1"}
		frozen := rate.Identity{Name: "frozen", Incarnation: "1"}
		joiner := rate.Identity{Name: "joiner", Incarnation: "1"}
		membersOf := func(list ...rate.Identity) head.Head {
			var h head.Head
			for _, identity := range list {
				h.Members = append(h.Members, head.Member{Name: identity.Name, Incarnation: identity.Incarnation})
			}
			return h
		}
		var atKept, atJoiner settlement
		atKept.install(membersOf(kept, frozen))
		atKept.record(frozen, 5)
		atKept.install(membersOf(kept))
		atKept.install(membersOf(kept, joiner))
		atJoiner.install(membersOf(kept, joiner))

		atJoiner.record(joiner, atJoiner.oldestToReport(12))
		atJoiner.record(kept, atKept.oldestToReport(12))
		is.Equal(atJoiner.settledRevision(), int64(5))

		time.Sleep(departedRetention + time.Second)
		atJoiner.record(kept, atKept.oldestToReport(12))
		is.Equal(atJoiner.settledRevision(), int64(12))
	})
}
