package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/fleet/gossip"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// pacedNodes returns three instances that know each other as peers and two upstreams, of which the first holds the first one.
func pacedNodes(t *testing.T) (holder, measuring, other *Node) {
	t.Helper()
	nodes := make([]*Node, 3)
	for i := range nodes {
		nodes[i] = nodeWithPeers(t, 8, nil)
		for _, id := range []string{"u", "v"} {
			nodes[i].sharedState.Pool.Declare(time.Now(), traffic.Upstream{ID: id, Service: "s", BatchSlots: 8, StartedMillis: 1})
		}
		nodes[i].setHolder(t, "u", fmt.Sprint("peer", 0), 100)
	}
	holder, measuring, other = nodes[0], nodes[1], nodes[2]
	measuring.self.Name, other.self.Name = "peer1", "peer2"
	held := heldUpstreamAt("127.0.0.1:1")
	held.plain, held.hasReport = true, true
	holder.heldUpstreams.byID["u"] = held
	holder.sharedState.Pool.SetHeld("u", true)
	return holder, measuring, other
}

// measure runs requests of an instance at an upstream, which states a pace.
func measure(n *Node, id string, requests int, took time.Duration, stated float64) {
	for range requests {
		n.sharedState.Pool.Configure(map[string]traffic.Service{"s": {Name: "s"}})
		attempt := n.sharedState.Pool.Begin(time.Now(), pool.Choice{Upstream: traffic.Upstream{ID: id}}, pool.Query{Service: "s"})
		time.Sleep(took)
		attempt.RecordStatedPace(time.Now(), stated)
		attempt.RecordAnswer(time.Now())
		n.sharedState.Pool.Finish(time.Now(), attempt, pool.EndServed)
	}
}

// expectedAt is the time that an instance expects at an upstream.
func expectedAt(is *is.I, n *Node, id string) time.Duration {
	is.Helper()
	choice, err := n.sharedState.Pool.Choose(time.Now(), pool.Query{Service: "s", Candidates: []string{id}})
	is.NoErr(err)
	return choice.Expected
}

// Guards against knowledge of a slow upstream that stays with the instance that measured it: it reaches another instance by the
// reply to that instance's question to the holder, and by the state of the holder.
func TestPaceReachesOthersThroughTheHolder(t *testing.T) {
	for _, way := range []string{"question", "state"} {
		t.Run(way, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				holder, measuring, other := pacedNodes(t)
				measure(measuring, "v", 10, 40*time.Millisecond, 1)
				measure(measuring, "u", 30, 80*time.Millisecond, 1)
				reply := holder.Report(measuring.loadReport("peer0"))
				is.Equal(len(reply.Paces), 1) // of what the reporter stated
				holder.updateHeldPaces(time.Now())
				measure(other, "v", 10, 40*time.Millisecond, 1)
				is.True(expectedAt(is, other, "u") < 50*time.Millisecond)
				switch way {
				case "question":
					report := other.withPaceQuestion(other.loadReport("peer0"), "u")
					is.Equal(len(report.Paces), 1)
					other.applyHeldReport(holder.Report(report))
				case "state":
					holder.overlay.setMembers(time.Now(), holder.view.roster.Instances())
					holder.refreshState(time.Now(), false)
					for _, record := range holder.overlay.table.TakeDue(time.Now(), &gossip.Link{}, "") {
						other.applyRecord(time.Now(), record, true)
					}
				}
				slow, usual := expectedAt(is, other, "u"), expectedAt(is, other, "v")
				t.Logf("expected %v, at the other upstream %v", slow, usual)
				is.True(float64(slow) > 1.25*float64(usual))
			})
		})
	}
}

// Guards against replies with the paces of all upstreams, and against messages where no upstream states its pace.
func TestRepliesHaveThePacesThatMatter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		holder, measuring, other := pacedNodes(t)
		measure(measuring, "u", 3, 40*time.Millisecond, 0)
		is.Equal(len(measuring.withPaceQuestion(measuring.loadReport("peer0"), "u").Paces), 0)
		is.Equal(len(holder.Report(measuring.loadReport("peer0")).Paces), 0)
		is.Equal(holder.pacesFingerprint(), uint64(0))
		measure(measuring, "u", 30, 80*time.Millisecond, 1)
		report := measuring.loadReport("peer0")
		is.Equal(len(report.Paces), 1)
		holder.Report(report)
		is.Equal(len(measuring.loadReport("peer0").Paces), 0) // nothing new
		measuring.restoreUnreportedPaces(report)
		is.Equal(len(measuring.loadReport("peer0").Paces), 1) // the report was lost
		is.Equal(len(holder.Report(other.loadReport("peer0")).Paces), 0)
		other.sharedState.Pool.Begin(time.Now(), pool.Choice{Upstream: traffic.Upstream{ID: "u"}}, pool.Query{Service: "s"})
		is.Equal(len(holder.Report(other.loadReport("peer0")).Paces), 1) // it has something in flight there
	})
}

// Guards against states that are sent to all instances for changes that do not matter, and against paces that operators cannot
// see.
func TestChangedPaceIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		holder, measuring, _ := pacedNodes(t)
		scope := tally.NewTestScope("", nil)
		holder.scope = scope
		measure(measuring, "v", 10, 40*time.Millisecond, 1)
		measure(measuring, "u", 30, 80*time.Millisecond, 1)
		holder.Report(measuring.loadReport("peer0"))
		holder.updateHeldPaces(time.Now())
		announced := holder.pacesFingerprint()
		is.True(announced != 0)
		gauge := func(name string) float64 { return scope.Snapshot().Gauges()[name+"+upstream=u"].Value() }
		is.Equal(gauge("upstream_pace_stated"), 1.0)
		is.True(gauge("upstream_pace_learnt") > 1.2)
		is.True(gauge("upstream_pace_used") > 1.1)
		measure(measuring, "u", 1, 80*time.Millisecond, 1)
		holder.Report(measuring.loadReport("peer0"))
		holder.updateHeldPaces(time.Now())
		is.Equal(holder.pacesFingerprint(), announced) // a change of less than a tenth
		holder.sharedState.Pool.SetHeld("u", false)
		holder.updateHeldPaces(time.Now())
		is.Equal(gauge("upstream_pace_learnt"), 0.0) // the next holder shows it
	})
}
