package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"lacewingrock.example/lacewingrock/internal/fleet/coordination"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/fleet/replica"
	"lacewingrock.example/lacewingrock/internal/fleet/roster"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
)

// leasingStore grants leases and accepts claims. Renewals of a lease that has run out are refused.
type leasingStore struct {
	coordination.Store
	granted int64
	until   time.Time
	fence   int64
}

func (s *leasingStore) Grant(context.Context, time.Duration) (int64, error) {
	s.granted++
	s.until = time.Now().Add(leaseTime)
	return s.granted, nil
}

func (s *leasingStore) Renew(context.Context, int64) error {
	if time.Now().After(s.until) {
		return coordination.ErrLeaseEnded
	}
	s.until = time.Now().Add(leaseTime)
	return nil
}

func (s *leasingStore) Commit(context.Context, coordination.Transaction) (int64, error) {
	s.fence++
	return s.fence, nil
}

// uncheckedNode is an instance whose upstreams do not check fences.
func uncheckedNode(suspended *time.Duration) *Node {
	n := &Node{
		Log: zerolog.Nop(), Store: &leasingStore{}, Orders: silentOrders{}, holdings: newHoldings(),
		self: roster.Instance{Name: "self", Incarnation: "first"},
	}
	n.current.Store(&Settings{Upstreams: UpstreamSettings{FencesChecked: false, ReturnAfter: 3 * time.Second}})
	n.advice = &serve.Advice{Pool: &pool.Pool{Settings: pool.DefaultSettings()}}
	n.overlay.prepare(n.self.Name)
	n.lease.suspended = func() time.Duration { return *suspended }
	n.knowledge.table.Store(traffic.NewTable(traffic.Configuration{}))
	return n
}

// joined is such an instance with a lease, and the time for which its machine is taken to have been suspended.
func joined(t *testing.T) (n *Node, suspended *time.Duration) {
	t.Helper()
	suspended = new(time.Duration)
	n = uncheckedNode(suspended)
	if err := n.renew(t.Context()); err != nil {
		t.Fatal(err)
	}
	return n, suspended
}

// holdingOf claims an upstream and gives the holding, whose loop has ended already so that tests decide its steps.
func holdingOf(t *testing.T, n *Node, upstream string) *holding {
	t.Helper()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	n.claim(ended, traffic.Upstream{ID: upstream}, 0)
	return n.holdings.get(upstream)
}

// An instance freezes while it holds an upstream. Its lease ends, another instance takes over and orders. When the
// first one wakes it gets a new lease within milliseconds, and only some time later hears who holds the upstream
// now. If it ordered in between, an adapter that requests use could be unloaded under them.
func TestNewLeaseGivesNoRightToWhatWasHeldBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, _ := joined(t)
		h := holdingOf(t, n, "u")
		is.True(h.mayOrder(time.Now()))
		time.Sleep(6 * time.Second) // frozen
		is.True(!h.mayOrder(time.Now()))
		is.NoErr(n.renew(t.Context()))
		is.True(!h.mayOrder(time.Now()))
		is.True(holdingOf(t, n, "other").mayOrder(time.Now()))
	})
}

// A machine is suspended while its instance holds an upstream, and its steady clock stands still. Seen by that clock
// the lease is still valid when it wakes up, while another instance has been ordering there for seconds.
func TestSuspendedInstanceDoesNotOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, suspended := joined(t)
		h := holdingOf(t, n, "u")
		*suspended = 5 * time.Second
		is.True(!h.mayOrder(time.Now()))
		prepared := h.prepare(t.Context(), mesh.PrepareRequest{Upstream: "u", Patience: time.Second})
		is.Equal(prepared, mesh.NotHolder{}) // the request goes elsewhere at once
	})
}

// The store does not answer renewals. An order that is given in the last moment of the lease can arrive, with packets
// that are sent again, when the next holder has ordered already.
func TestNothingIsOrderedAtTheEndOfALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, _ := joined(t)
		h := holdingOf(t, n, "u")
		time.Sleep(leaseTime - orderMargin - time.Millisecond)
		is.True(h.mayOrder(time.Now()))
		time.Sleep(2 * time.Millisecond)
		is.True(!h.mayOrder(time.Now()))
	})
}

// A processor is so slow that a holder's heartbeats stay away for a second while its lease is valid. Where upstreams
// check fences another instance may take over at once. Where they do not, the slow holder's next order would be
// carried out as well, and the two undo each other's loads.
func TestSilentHolderIsReplacedEarlyOnlyWhereFencesAreChecked(t *testing.T) {
	for _, checked := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var suspended time.Duration
			n := uncheckedNode(&suspended)
			n.current.Store(&Settings{Upstreams: UpstreamSettings{FencesChecked: checked}})
			for _, name := range []string{"holder", "b", "c"} {
				value, err := roster.EncodeInstance(roster.Instance{Name: name, Incarnation: name})
				is.NoErr(err)
				_, err = n.knowledge.roster.Apply(roster.InstanceKey(name), value, 1, false)
				is.NoErr(err)
			}
			value, err := roster.EncodeHolder(roster.Holder{Instance: "holder", Incarnation: "holder"})
			is.NoErr(err)
			_, err = n.knowledge.roster.Apply(roster.HolderKey("u"), value, 2, false)
			is.NoErr(err)
			n.knowledge.replica = replica.Replica{}
			now := time.Now()
			n.overlay.heard("b", now)
			n.overlay.heard("c", now)
			_, free := n.matchHolding(t.Context(), traffic.Upstream{ID: "u"}, now)
			is.Equal(free, checked)
		})
	}
}

// An upstream goes from one instance to another and back within a second, as instances restart one after the other.
// An order of the first instance that was given before the second's may still be on its way, and count for the turn
// after it.
func TestUpstreamThatWasLostIsOrderedAgainOnlyAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, _ := joined(t)
		first := holdingOf(t, n, "u")
		first.node.holdings.noteOrder("u", time.Now())
		n.drop("u") // another instance holds it for a while
		time.Sleep(time.Second)
		is.NoErr(n.renew(t.Context()))
		again := holdingOf(t, n, "u")
		is.True(!again.mayOrder(time.Now()))
		time.Sleep(time.Second)
		is.NoErr(n.renew(t.Context()))
		time.Sleep(time.Second)
		is.True(again.mayOrder(time.Now()))
	})
}

// claimedMeanwhile is a store in which another instance claims an upstream while the claim of one before it is under
// way, and in which the instance learns of that at once.
type claimedMeanwhile struct {
	leasingStore
	node       *Node
	upstream   string
	conditions map[string]int64
}

func (s *claimedMeanwhile) Commit(_ context.Context, t coordination.Transaction) (int64, error) {
	for _, condition := range t.Conditions {
		s.conditions[condition.Key] = condition.Revision
	}
	s.fence++
	value, err := roster.EncodeHolder(roster.Holder{Instance: "other", Incarnation: "other", Lease: 9})
	if err != nil {
		return 0, err
	}
	s.node.knowledge.mutex.Lock()
	defer s.node.knowledge.mutex.Unlock()
	_, err = s.node.knowledge.roster.Apply(roster.HolderKey(s.upstream), value, 7, false)
	return s.fence, err
}

// Guards against a claim that takes an upstream from another instance which claimed it after it had been found free:
// both would order there.
func TestClaimDoesNotReplaceAHolderWhoCameMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, _ := joined(t)
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		store := &claimedMeanwhile{node: n, upstream: "second", conditions: make(map[string]int64)}
		n.Store = store
		free := []vacancy{{upstream: traffic.Upstream{ID: "first"}}, {upstream: traffic.Upstream{ID: "second"}}}
		n.claimInTurn(ended, free, time.Now())
		time.Sleep(claimSettle)
		n.claimInTurn(ended, free, time.Now())
		is.Equal(store.conditions[roster.HolderKey("second")], int64(0))
	})
}
