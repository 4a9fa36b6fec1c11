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

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// member is an instance among others that knows who holds which upstream, and has a request at each of them.
func member(t *testing.T, others int, holders map[string]string) *Node {
	t.Helper()
	n := &Node{self: roster.Instance{Name: "self"}, holdings: newHoldings(), Log: zerolog.Nop()}
	n.beats.peers = make(map[string]*peerLoop)
	n.advice = &serve.Advice{
		Pool: &pool.Pool{Settings: pool.DefaultSettings()}, Ledger: &quota.Ledger{Self: "self"},
		Suspects: &suspect.Register{Settings: suspect.DefaultSettings()},
	}
	for i := range others {
		name := fmt.Sprint("peer", i)
		n.beats.peers[name] = &peerLoop{touched: make(chan struct{}, 1)}
		n.learn(t, roster.InstanceKey(name), int64(i+1), func() ([]byte, error) {
			return roster.EncodeInstance(roster.Instance{Name: name})
		})
	}
	for upstream, holder := range holders {
		n.advice.Pool.Declare(time.Now(), traffic.Upstream{ID: upstream, Service: "s", Places: 1})
		n.setHolder(t, upstream, holder, int64(others+1))
		n.advice.Pool.Begin(time.Now(), pool.Choice{Upstream: traffic.Upstream{ID: upstream}}, pool.Query{Service: "s"})
	}
	return n
}

// names lists the upstreams of loads.
func names(loads map[string]pool.Load) string {
	return strings.Join(slices.Sorted(maps.Keys(loads)), " ")
}

func (n *Node) learn(t *testing.T, key string, revision int64, value func() ([]byte, error)) {
	t.Helper()
	encoded, err := value()
	if err != nil {
		t.Fatal(err)
	}
	n.knowledge.mutex.Lock()
	defer n.knowledge.mutex.Unlock()
	n.apply(replica.Item{Key: key, Value: encoded, Revision: revision})
}

func (n *Node) setHolder(t *testing.T, upstream, holder string, revision int64) {
	t.Helper()
	if holder == "" {
		return
	}
	n.learn(t, roster.HolderKey(upstream), revision, func() ([]byte, error) {
		return roster.EncodeHolder(roster.Holder{Instance: holder})
	})
}

// In a fleet of eighty each instance has requests at dozens of upstreams. If it told all of that to each other
// instance with each heartbeat, these lists would be most of the bytes between data centres, which are billed. The
// holder of an upstream needs it, and tells the sum; an upstream without one is told of to all.
func TestLargeFleetTellsLoadsToHolders(t *testing.T) {
	is := is.New(t)
	holders := map[string]string{"held0": "peer0", "held1": "peer1", "free": "", "lost": "gone"}
	n := member(t, 80, holders)
	is.Equal(names(n.beat("peer0").Loads), "free held0 lost")
	is.Equal(names(n.beat("peer1").Loads), "free held1 lost")
	is.Equal(names(n.beat("peer2").Loads), "free lost")
	is.Equal(names(n.loadBeat("peer1").Loads), "free held1 lost")
	small := member(t, 7, holders)
	is.Equal(names(small.beat("peer2").Loads), "free held0 held1 lost")
}

// The holder of an upstream is lost in a large fleet, and another instance takes over. Nobody has told that one
// what is in use there: it would evict an adapter under its requests, unless all who have some tell it at once.
func TestNewHolderIsToldAtOnce(t *testing.T) {
	is := is.New(t)
	n := member(t, 80, map[string]string{"u": "peer0"})
	n.setHolder(t, "u", "peer3", 200)
	is.Equal(len(n.beats.peers["peer3"].touched), 1)
	is.Equal(len(n.beats.peers["peer4"].touched), 0)
	is.Equal(names(n.loadBeat("peer3").Loads), "u")
	is.Equal(names(n.loadBeat("peer0").Loads), "")
}
