package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/fleet/gossip"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
)

// Guards against a large fleet in which the others learn only after some seconds that an adapter is loaded. They would
// load it a second time, and send requests to upstreams that no longer have it.
func TestLoadedAdaptersAreSentWhenChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := nodeWithPeers(t, 80, nil)
		h := heldUpstreamAt("127.0.0.1:1")
		h.hasReport = true
		n.heldUpstreams.byID["u"] = h
		n.overlay.setMembers(time.Now(), n.view.roster.Instances())
		n.refreshState(time.Now(), false)
		link := &gossip.Link{}
		is.Equal(len(n.overlay.table.TakeDue(time.Now(), link, "")), 2)
		time.Sleep(heartbeatInterval)
		n.refreshState(time.Now(), false)
		is.Equal(len(n.overlay.table.TakeDue(time.Now(), link, "")), 0) // no part is due yet
		h.planner.ApplyReport(time.Now(), residence.Report{Models: []traffic.LoadedModel{
			{Name: "m", Version: 1, Adapters: []traffic.LoadedAdapter{{Name: "a", Version: 1}}},
		}})
		n.refreshState(time.Now(), false)
		is.Equal(len(n.overlay.table.TakeDue(time.Now(), link, "")), 0) // at most once a second
		time.Sleep(heldInterval - heartbeatInterval)
		n.refreshState(time.Now(), false)
		var parts []gossip.Part
		for _, record := range n.overlay.table.TakeDue(time.Now(), link, "") {
			if record.Content != nil {
				parts = append(parts, record.Part)
			}
		}
		is.Equal(parts, []gossip.Part{gossip.PartHeld})
	})
}

// Guards against states that fill the links without a sign of it: what each part takes is counted, urgent sends apart.
func TestBytesOfStatesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := nodeWithPeers(t, 2, nil)
		scope := tally.NewTestScope("", nil)
		n.self.Address = "127.0.0.1:1"
		n.scope = scope
		n.refreshState(time.Now(), false)
		n.refreshState(time.Now(), true)
		counted := func(urgent string) int64 {
			counter := scope.Snapshot().Counters()["state_bytes+part=general,urgent="+urgent]
			is.True(counter != nil)
			return counter.Value()
		}
		is.True(counted("false") > 0)
		is.Equal(counted("true"), counted("false"))
	})
}
