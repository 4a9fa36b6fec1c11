package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/gossip"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
)

// Guards against a large fleet in which others learn only some seconds later that an adapter is loaded: they fetch it
// a second time, and go where it is not any more.
func TestWhatIsLoadedGoesOnAsItChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := nodeAmong(t, 80, nil)
		h := heldAt("127.0.0.1:1")
		h.learnt = true
		n.holdings.held["u"] = h
		n.overlay.setMembers(time.Now(), n.knowledge.roster.Instances())
		n.refreshState(time.Now(), false)
		link := &gossip.Link{}
		is.Equal(len(n.overlay.table.Due(time.Now(), link, "")), 2)
		time.Sleep(beatEvery)
		n.refreshState(time.Now(), false)
		is.Equal(len(n.overlay.table.Due(time.Now(), link, "")), 0) // neither is due yet
		h.planner.Learn(time.Now(), residence.Report{Models: []traffic.LoadedModel{
			{Name: "m", Version: 1, Adapters: []traffic.LoadedAdapter{{Name: "a", Version: 1}}},
		}})
		n.refreshState(time.Now(), false)
		is.Equal(len(n.overlay.table.Due(time.Now(), link, "")), 0) // not more than once a second
		time.Sleep(heldEvery - beatEvery)
		n.refreshState(time.Now(), false)
		var parts []gossip.Part
		for _, record := range n.overlay.table.Due(time.Now(), link, "") {
			if record.Content != nil {
				parts = append(parts, record.Part)
			}
		}
		is.Equal(parts, []gossip.Part{gossip.PartHeld})
	})
}
