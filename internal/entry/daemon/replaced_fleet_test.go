package daemon

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/catalog/repository"
	"lacewingrock.example/lacewingrock/internal/platform/store"
)

// All instances are replaced at once, as after the loss of a data centre, by new machines with new names. A majority
// of the old members will never answer again, and none of the new instances is a member that could remove them.
// Callers would be refused until an operator repaired the store by hand.
func TestFleetReplacedWholeComesBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startPlatform(t)
	stored := &repository.Repository{Store: &store.Client{Address: p.kv.Address}, Writer: "old"}
	for i := range 5 {
		_, err := stored.CommitHead(t.Context(), func(h head.Head) (head.Head, error) {
			name := fmt.Sprint("old-", i)
			return h.WithMember(head.Member{Name: name, Incarnation: name, Address: "127.0.0.1:1", DataCentre: "south"}), nil
		})
		is.NoErr(err)
	}
	started := p.startWithin(t, time.Minute)
	waitUntil(t, time.Minute, "the old members are removed", func() bool {
		return slices.Equal(p.members(t), []string{"i1"})
	})
	started.stop()
	is.NoErr(started.waitForEnd(t, 20*time.Second))
}
