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

// nodeAmong is an instance among others that knows who holds which upstream, and has a request at each of them. It has
// a link to each of the others.
func nodeAmong(t *testing.T, others int, holders map[string]string) *Node {
	t.Helper()
	n := &Node{self: roster.Instance{Name: "self"}, holdings: newHoldings(), Log: zerolog.Nop()}
	n.overlay.prepare("self")
	n.peers = &mesh.Peers{Links: link.Links{Credentials: insecure.NewCredentials()}}
	n.advice = &serve.Advice{
		Pool: &pool.Pool{Settings: pool.DefaultSettings()}, Ledger: &quota.Ledger{Self: "self"},
		Suspects: &suspect.Tracker{Settings: suspect.DefaultSettings()},
	}
	for i := range others {
		name := fmt.Sprint("peer", i)
		n.overlay.add(newLinkEnd(n, nil, roster.Instance{Name: name}))
		n.applyOne(t, roster.InstanceKey(name), int64(i+1), func() ([]byte, error) {
			return roster.EncodeInstance(roster.Instance{Name: name, Address: "127.0.0.1:1"})
		})
	}
	for upstream, holder := range holders {
		n.advice.Pool.Declare(time.Now(), traffic.Upstream{ID: upstream, Service: "s", Places: 1})
		n.setHolder(t, upstream, holder, int64(others+1))
		n.advice.Pool.Begin(time.Now(), pool.Choice{Upstream: traffic.Upstream{ID: upstream}}, pool.Query{Service: "s"})
	}
	return n
}

// asked counts the links over which a message is due at once.
func asked(n *Node) (count int) {
	for end := range n.overlay.ends {
		if len(end.news) > 0 {
			count++
			<-end.news
		}
	}
	return count
}

// names lists the upstreams of loads.
func names(loads map[string]pool.Load) string {
	return strings.Join(slices.Sorted(maps.Keys(loads)), " ")
}

func (n *Node) applyOne(t *testing.T, key string, revision int64, value func() ([]byte, error)) {
	t.Helper()
	encoded, err := value()
	if err != nil {
		t.Fatal(err)
	}
	n.knowledge.mutex.Lock()
	defer n.knowledge.mutex.Unlock()
	n.apply(replica.Item{Key: key, Value: encoded, Revision: revision}, fromStore)
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

// Guards against loads that each instance lets all others know: in a fleet of eighty they were most of the bytes
// between data centres. The holder of an upstream needs them, and passes on the sum; an upstream without one is known
// to all by the states.
func TestLoadsAreReportedToHolders(t *testing.T) {
	is := is.New(t)
	holders := map[string]string{"held0": "peer0", "held1": "peer1", "free": "", "lost": "gone"}
	for _, others := range []int{7, 80} {
		n := nodeAmong(t, others, holders)
		is.Equal(names(n.state(time.Now()).Loads), "free lost")
		is.Equal(names(n.loadReport("peer0").Loads), "held0")
		is.Equal(names(n.loadReport("peer1").Loads), "held1")
		is.Equal(names(n.loadReport("peer2").Loads), "")
	}
}

// Guards against a new holder that takes adapters in use for idle, and evicts them under their requests: all who have
// some there report to it at once.
func TestNewHolderGetsAReportAtOnce(t *testing.T) {
	is := is.New(t)
	n := nodeAmong(t, 80, map[string]string{"u": "peer0"})
	n.setHolder(t, "u", "peer3", 200)
	n.reports.mutex.Lock()
	due := len(n.reports.due)
	toNew := n.reports.due["peer3"]
	n.reports.mutex.Unlock()
	is.True(toNew != nil)
	is.Equal(due, 1)
	is.Equal(names(n.loadReport("peer3").Loads), "u")
	is.Equal(names(n.loadReport("peer0").Loads), "")
}

// Guards against a lost report: what is in flight is reported again as long as it is.
func TestWhatGoesOnIsReportedAgain(t *testing.T) {
	is := is.New(t)
	n := nodeAmong(t, 7, map[string]string{"held0": "peer0", "own": "self", "free": ""})
	n.reportAgain()
	n.reports.mutex.Lock()
	defer n.reports.mutex.Unlock()
	is.Equal(len(n.reports.due), 1)
	is.True(n.reports.due["peer0"] != nil)
}
