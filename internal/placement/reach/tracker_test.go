package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/placement/reach"
)

var start = time.Unix(1000, 0)

func names(peers []reach.Peer) (list []string) {
	for _, peer := range peers {
		list = append(list, peer.Name)
	}
	return list
}

// Guards against a link that counts as lost again after it has healed, by attempts to connect that began before and end
// by time-out after it: requests would take the long way for another half a second each time.
func TestAttemptFromBeforeTheLinkHealedDoesNotCount(t *testing.T) {
	is := is.New(t)
	var tracker reach.Tracker
	is.True(tracker.RecordLost(start, start, "u"))
	is.True(!tracker.RecordLost(start, start, "u")) // known already
	healed := start.Add(time.Second)
	is.True(tracker.RecordReached(healed, "u"))
	is.True(!tracker.RecordLost(healed.Add(100*time.Millisecond), healed.Add(-100*time.Millisecond), "u"))
	is.True(!tracker.IsLost("u"))
	is.True(tracker.RecordLost(healed.Add(300*time.Millisecond), healed.Add(50*time.Millisecond), "u"))
}

// Guards against requests that keep taking the long way after all links have healed: the first that is seen to work makes
// the others due.
func TestLostLinksAreProbedUntilTheyHeal(t *testing.T) {
	is := is.New(t)
	var tracker reach.Tracker
	for _, upstream := range []string{"u", "v", "w"} {
		tracker.RecordLost(start, start, upstream)
	}
	is.Equal(len(tracker.DueProbes(start.Add(400*time.Millisecond), 8)), 0)
	due := start.Add(600 * time.Millisecond)
	is.Equal(tracker.DueProbes(due, 2), []string{"u", "v"}) // a bounded number at once
	is.Equal(tracker.DueProbes(due, 2), []string{"w"})
	is.Equal(len(tracker.DueProbes(due, 2)), 0)
	tracker.RecordReached(due, "w")
	is.Equal(tracker.DueProbes(due, 8), []string{"u", "v"})
	is.Equal(tracker.Lost(), []string{"u", "v"})
}

// Guards against requests that go to instances which have lost their links too, or across data centres without need.
func TestPeersWithTheirOwnLinksComeFirst(t *testing.T) {
	is := is.New(t)
	tracker := reach.Tracker{Self: "self", DataCentre: "x"}
	live := []reach.Peer{{"self", "x"}, {"far", "z"}, {"near", "x"}, {"there", "y"}, {"lost", "x"}, {"failed", "x"}}
	tracker.SetPeer("lost", []string{"u", "v"})
	is.True(tracker.IsLostAt("lost", "v"))
	tracker.SetPeer("lost", []string{"u"})
	is.True(!tracker.IsLostAt("lost", "v"))
	tracker.RecordPeerFailed(start, "failed", "u")
	peers := names(tracker.Peers(start, "u", "y", live))
	is.Equal(len(peers), 3)
	is.Equal(peers[2], "far") // after the two that save one way between data centres
	for _, peer := range tracker.Peers(start.Add(2*time.Second), "u", "x", live) {
		is.True(peer.Name != "lost" && peer.Name != "self")
	}
}

// Guards against one instance that gets the requests of all others which have lost their links.
func TestPeersAreSpread(t *testing.T) {
	is := is.New(t)
	var live []reach.Peer
	for number := range 20 {
		live = append(live, reach.Peer{Name: fmt.Sprint("i", number), DataCentre: "x"})
	}
	first := map[string]int{}
	for number := range 20 {
		tracker := reach.Tracker{Self: fmt.Sprint("i", number), DataCentre: "x"}
		for upstream := range 10 {
			first[tracker.Peers(start, fmt.Sprint("u", upstream), "x", live)[0].Name]++
		}
	}
	for name, count := range first {
		if count > 25 { // ten in the mean
			t.Errorf("%s is the first choice %d times of 200", name, count)
		}
	}
	is.True(len(first) > 15)
}
