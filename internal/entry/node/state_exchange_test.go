package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/gossip"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
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

// Guards against totals of workspaces that do not reach the others for seconds: the gossip table keeps the latest version
// of a part only, so that one that is replaced before it was passed on is lost with the workspaces that it names.
func TestAdmittedUsageIsNotLostWhenItIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := nodeWithPeers(t, 80, nil)
		n.overlay.setMembers(time.Now(), n.view.roster.Instances())
		n.sharedState.Ledger.SetPeers(time.Now(), nil)
		n.sharedState.Ledger.SetLimits(time.Now(), map[string]quota.Limit{"v": {Rate: 100, Burst: 100}, "w": {Rate: 100, Burst: 100}})
		time.Sleep(time.Second)
		n.refreshState(time.Now(), true)
		link := &gossip.Link{}
		n.overlay.table.TakeDue(time.Now(), link, "")
		for _, workspace := range []string{"v", "w"} {
			_, admitted := n.sharedState.Ledger.Admit(time.Now(), workspace, 10)
			is.True(admitted)
			n.refreshSpent(time.Now(), spentImmediate)
		}
		for _, record := range n.overlay.table.TakeDue(time.Now(), link, "") {
			if record.Part != gossip.PartSpent {
				continue
			}
			state, err := mesh.DecodeState(record.Content)
			is.NoErr(err)
			is.Equal(state.Spent, quota.Totals{"v": 10, "w": 10})
			return
		}
		t.Fatal("no admitted usage was sent")
	})
}

// Guards against totals that are skipped as outdated: a message has a whole state and admitted usage that is newer, and
// the newer one is applied first.
func TestRecordsAreAppliedInTheirOrder(t *testing.T) {
	is := is.New(t)
	encode := func(state mesh.State) []byte {
		content, err := mesh.EncodeState(state)
		is.NoErr(err)
		return content
	}
	for range 20 {
		n := nodeWithPeers(t, 2, nil)
		n.sharedState.Ledger.SetPeers(time.Now(), []string{"peer0"})
		n.sharedState.Ledger.SetLimits(time.Now(), map[string]quota.Limit{"v": {Rate: 100, Burst: 100}, "w": {Rate: 100, Burst: 100}})
		n.receive(t.Context(), newLinkEnd(n, nil, roster.Instance{Name: "peer0"}), mesh.Message{Records: []gossip.Record{
			{Instance: "peer0", Part: gossip.PartSpent, Version: 2, Content: encode(mesh.State{Incarnation: "1", Spent: quota.Totals{"w": 20}})},
			{Instance: "peer0", Part: gossip.PartGeneral, Version: 1, Content: encode(mesh.State{Incarnation: "1", Spent: quota.Totals{"v": 10, "w": 10}})},
		}})
		is.Equal(n.sharedState.Ledger.Admitted()["peer0"], 30.0)
	}
}
