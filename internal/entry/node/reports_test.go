package node

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc/credentials/insecure"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/link"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// nodeWithPeers returns an instance with a link to each of its peers. It knows the holder of each upstream and has one
// request in flight at each of them.
func nodeWithPeers(t *testing.T, others int, holders map[string]string) *Node {
	t.Helper()
	n := &Node{self: roster.Instance{Name: "self"}, heldUpstreams: newHeldUpstreams(), Log: zerolog.Nop(), scope: tally.NoopScope}
	n.overlay.initialise("self")
	n.peers = &mesh.Peers{Links: link.Links{Credentials: insecure.NewCredentials()}}
	n.sharedState = &serve.SharedState{
		Pool: &pool.Pool{Settings: pool.DefaultSettings()}, Ledger: &quota.Ledger{Self: "self"},
		Suspects: &suspect.Tracker{Settings: suspect.DefaultSettings()},
	}
	for i := range others {
		name := fmt.Sprint("peer", i)
		n.overlay.addLink(newLinkEnd(n, nil, roster.Instance{Name: name}))
		n.applyOne(t, roster.InstanceKey(name), int64(i+1), func() ([]byte, error) {
			return roster.EncodeInstance(roster.Instance{Name: name, Address: "127.0.0.1:1"})
		})
	}
	for upstream, holder := range holders {
		n.sharedState.Pool.Declare(time.Now(), traffic.Upstream{ID: upstream, Service: "s", BatchSlots: 1})
		n.setHolder(t, upstream, holder, int64(others+1))
		n.sharedState.Pool.Begin(time.Now(), pool.Choice{Upstream: traffic.Upstream{ID: upstream}}, pool.Query{Service: "s"})
	}
	return n
}

// pendingLinks counts the links on which a message is due immediately.
func pendingLinks(n *Node) (count int) {
	for end := range n.overlay.linkEnds {
		if len(end.update) > 0 {
			count++
			<-end.update
		}
	}
	return count
}

// upstreamIDs lists the upstreams of loads.
func upstreamIDs(loads map[string]pool.Load) string {
	return strings.Join(slices.Sorted(maps.Keys(loads)), " ")
}

func (n *Node) applyOne(t *testing.T, key string, revision int64, value func() ([]byte, error)) {
	t.Helper()
	encoded, err := value()
	if err != nil {
		t.Fatal(err)
	}
	n.view.mutex.Lock()
	defer n.view.mutex.Unlock()
	n.apply(replica.Item{Key: key, Value: encoded, Revision: revision}, sourceStore)
}

func (n *Node) setHolder(t *testing.T, upstream, holder string, revision int64) {
	t.Helper()
	if holder == "" {
		return
	}
	n.applyOne(t, roster.HolderKey(upstream), revision, func() ([]byte, error) {
		return roster.EncodeHolder(roster.Holder{Instance: holder})
	})
}

// Guards against loads that each instance sends to all others: in a fleet of eighty they were most of the traffic
// between data centres. Only the holder of an upstream needs them, and it sends the total. The load of an upstream
// without a holder is part of the state that is sent to all.
func TestLoadsAreReportedToHolders(t *testing.T) {
	is := is.New(t)
	holders := map[string]string{"held0": "peer0", "held1": "peer1", "free": "", "lost": "gone"}
	for _, others := range []int{7, 80} {
		n := nodeWithPeers(t, others, holders)
		is.Equal(upstreamIDs(n.state(time.Now()).Loads), "free lost")
		is.Equal(upstreamIDs(n.loadReport("peer0").Loads), "held0")
		is.Equal(upstreamIDs(n.loadReport("peer1").Loads), "held1")
		is.Equal(upstreamIDs(n.loadReport("peer2").Loads), "")
	}
}

// Guards against a new holder that treats adapters in use as idle and evicts them while requests use them. All
// instances with requests in flight there report to it immediately.
func TestNewHolderGetsAReportAtOnce(t *testing.T) {
	is := is.New(t)
	n := nodeWithPeers(t, 80, map[string]string{"u": "peer0"})
	n.setHolder(t, "u", "peer3", 200)
	n.reports.mutex.Lock()
	due := len(n.reports.senders)
	senderToNew := n.reports.senders["peer3"]
	n.reports.mutex.Unlock()
	is.True(senderToNew != nil)
	is.Equal(due, 1)
	is.Equal(upstreamIDs(n.loadReport("peer3").Loads), "u")
	is.Equal(upstreamIDs(n.loadReport("peer0").Loads), "")
}

// Guards against a lost report: requests are reported again as long as they are in flight.
func TestInFlightLoadIsReportedAgain(t *testing.T) {
	is := is.New(t)
	n := nodeWithPeers(t, 7, map[string]string{"held0": "peer0", "own": "self", "free": ""})
	n.refreshReports()
	n.reports.mutex.Lock()
	defer n.reports.mutex.Unlock()
	is.Equal(len(n.reports.senders), 1)
	is.True(n.reports.senders["peer0"] != nil)
}
