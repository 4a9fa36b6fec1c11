package node

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"lacewingrock.example/lacewingrock/internal/placement/suspect"

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

// leaseStore grants leases and accepts claims. It refuses to renew an expired lease.
type leaseStore struct {
	coordination.Store
	granted int64
	until   time.Time
	fence   int64
}

func (s *leaseStore) Grant(context.Context, time.Duration) (int64, error) {
	s.granted++
	s.until = time.Now().Add(leaseTTL)
	return s.granted, nil
}

func (s *leaseStore) Renew(context.Context, int64) error {
	if time.Now().After(s.until) {
		return coordination.ErrLeaseEnded
	}
	s.until = time.Now().Add(leaseTTL)
	return nil
}

func (s *leaseStore) Commit(context.Context, coordination.Transaction) (int64, error) {
	s.fence++
	return s.fence, nil
}

// nodeWithoutFenceChecks returns an instance whose upstreams do not check fencing tokens.
func nodeWithoutFenceChecks(suspended *time.Duration) *Node {
	n := &Node{
		DialUpstream: func(context.Context, string) (net.Conn, error) {
			connection, _ := net.Pipe()
			return connection, nil
		},
		Log: zerolog.Nop(), Store: &leaseStore{}, Orders: noResponseOrders{}, heldUpstreams: newHeldUpstreams(),
		self: roster.Instance{Name: "self", Incarnation: "first"},
	}
	n.current.Store(&Settings{Upstreams: UpstreamSettings{FencesChecked: false, ReturnAfter: 3 * time.Second}})
	n.sharedState = &serve.SharedState{Pool: &pool.Pool{Settings: pool.DefaultSettings()}, Suspects: &suspect.Tracker{Settings: suspect.DefaultSettings()}}
	n.overlay.initialise(n.self.Name)
	n.lease.suspended = func() time.Duration { return *suspended }
	n.view.table.Store(traffic.NewTable(traffic.Configuration{}))
	return n
}

// nodeWithLease returns such an instance with a lease, and the simulated time for which its machine has been suspended.
func nodeWithLease(t *testing.T) (n *Node, suspended *time.Duration) {
	t.Helper()
	suspended = new(time.Duration)
	n = nodeWithoutFenceChecks(suspended)
	if err := n.renew(t.Context()); err != nil {
		t.Fatal(err)
	}
	return n, suspended
}

// recordOrder records an order whose response has just arrived.
func (t *turns) recordOrder(upstream string, fence int64, now time.Time) {
	t.begin(upstream, fence, now)
	t.end(upstream, fence, now, true)
}

// claimUpstream claims an upstream and returns it. Its loop has already ended, so that tests control its steps.
func claimUpstream(t *testing.T, n *Node, upstream string) *heldUpstream {
	t.Helper()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	n.claim(ended, traffic.Upstream{ID: upstream}, 0)
	return n.heldUpstreams.get(upstream)
}

// Guards against orders of an instance that was frozen while it held an upstream. Its lease expires, and another
// instance becomes holder and sends orders. After the freeze the first instance gets a new lease within milliseconds,
// but learns of the new holder only later. An order in between could unload an adapter that requests are using.
func TestNewLeaseDoesNotPermitOrdersToEarlierHoldings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, _ := nodeWithLease(t)
		h := claimUpstream(t, n, "u")
		is.True(h.mayOrder(time.Now()))
		time.Sleep(6 * time.Second) // frozen
		is.True(!h.mayOrder(time.Now()))
		is.NoErr(n.renew(t.Context()))
		is.True(!h.mayOrder(time.Now()))
		is.True(claimUpstream(t, n, "other").mayOrder(time.Now()))
	})
}

// Guards against orders after the machine of a holder was suspended. Its monotonic clock does not advance during the
// suspension, so the lease looks valid after it resumes, while another instance has been sending orders there for
// seconds.
func TestSuspendedInstanceDoesNotOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, suspended := nodeWithLease(t)
		h := claimUpstream(t, n, "u")
		*suspended = 5 * time.Second
		is.True(!h.mayOrder(time.Now()))
		prepared := h.prepare(t.Context(), mesh.PrepareRequest{Upstream: "u", MaxWait: time.Second})
		is.Equal(prepared, mesh.NotHolder{}) // the request is sent elsewhere immediately
	})
}

// Guards against an order that is sent at the very end of the lease, while the store does not respond to renewals.
// Because of retransmitted packets it can arrive after the first order of the next holder.
func TestNoOrdersWithinMarginOfLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, _ := nodeWithLease(t)
		h := claimUpstream(t, n, "u")
		time.Sleep(leaseTTL - orderMargin - time.Millisecond)
		is.True(h.mayOrder(time.Now()))
		time.Sleep(2 * time.Millisecond)
		is.True(!h.mayOrder(time.Now()))
	})
}

// Guards against the early replacement of a holder that is so short of processor time that its heartbeats are missing
// for a second while its lease is valid. Where upstreams check fencing tokens, another instance may become holder
// immediately. Where they do not, the next order of the slow holder would be carried out as well, and the two would
// undo the loads of each other.
func TestSilentHolderIsReplacedEarlyOnlyWhereFencesAreChecked(t *testing.T) {
	for _, checked := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var suspended time.Duration
			n := nodeWithoutFenceChecks(&suspended)
			n.current.Store(&Settings{Upstreams: UpstreamSettings{FencesChecked: checked}})
			for _, name := range []string{"holder", "b", "c"} {
				value, err := roster.EncodeInstance(roster.Instance{Name: name, Incarnation: name})
				is.NoErr(err)
				_, err = n.view.roster.Apply(roster.InstanceKey(name), value, 1, false)
				is.NoErr(err)
			}
			value, err := roster.EncodeHolder(roster.Holder{Instance: "holder", Incarnation: "holder"})
			is.NoErr(err)
			_, err = n.view.roster.Apply(roster.HolderKey("u"), value, 2, false)
			is.NoErr(err)
			n.view.replica = replica.Replica{}
			now := time.Now()
			n.overlay.recordContact("b", now)
			n.overlay.recordContact("c", now)
			_, free := n.reconcileUpstream(t.Context(), traffic.Upstream{ID: "u"}, now)
			is.Equal(free, checked)
		})
	}
}

// Guards against late orders when an upstream passes from one instance to another and back within a second, as
// instances restart one after the other. An order of the first instance, sent before those of the second, may still be
// in transit and would count for the new tenure.
func TestRegainedUpstreamGetsOrdersOnlyAfterReturnAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, _ := nodeWithLease(t)
		first := claimUpstream(t, n, "u")
		first.node.heldUpstreams.turns.recordOrder("u", first.fence, time.Now())
		n.stopHolding("u") // another instance is the holder for a while
		time.Sleep(time.Second)
		is.NoErr(n.renew(t.Context()))
		again := claimUpstream(t, n, "u")
		is.True(!again.mayOrder(time.Now()))
		time.Sleep(time.Second)
		is.NoErr(n.renew(t.Context()))
		time.Sleep(time.Second)
		is.True(again.mayOrder(time.Now()))
	})
}

// Guards against an order of the earlier life of an instance that arrives with a lower fencing token than those of its next life or of the
// next holder, where upstreams check none: the instance was killed, and takes its holder key over when it starts again within its
// lease.
func TestNextLifeKeepsTheTokenWhereNoneIsChecked(t *testing.T) {
	const returnAfter, startTime = 3 * time.Second, 300 * time.Millisecond
	for _, c := range []struct {
		name    string
		checked bool
		// address is that of the earlier life.
		address string
		keeps   bool
		// orders: the next life sends orders at once.
		orders bool
	}{
		{"fencing tokens checked", true, "10.0.0.1:7600", false, true},
		{"not checked", false, "10.0.0.1:7600", true, true},
		{"not checked, another machine of that name", false, "10.0.0.2:7600", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n, _ := nodeWithLease(t)
				n.Store.(*leaseStore).fence = 20
				n.current.Store(&Settings{Upstreams: UpstreamSettings{FencesChecked: c.checked, ReturnAfter: returnAfter}})
				n.startedAt = time.Now()
				n.self.Address = "10.0.0.1:7600"
				value, err := roster.EncodeHolder(roster.Holder{Instance: "self", Incarnation: "earlier", Token: 7, Address: c.address})
				is.NoErr(err)
				_, err = n.view.roster.Apply(roster.HolderKey("u"), value, 12, false)
				is.NoErr(err)
				time.Sleep(startTime)
				ended, cancel := context.WithCancel(t.Context())
				cancel() // the loop of the upstream sends nothing by itself
				_, free := n.reconcileUpstream(ended, traffic.Upstream{ID: "u"}, time.Now())
				is.True(!free)
				held := n.heldUpstreams.get("u")
				is.Equal(held.mayOrder(time.Now()), c.orders)
				is.Equal(held.fence, int64(21))
				is.Equal(held.token == 7, c.keeps)
				is.Equal(held.token == 21, !c.keeps)
				// A stop and a hand-over wait until no order of the earlier life can arrive.
				inDoubt := func() bool { return len(n.withOrdersInDoubt([]*heldUpstream{held}, time.Now())) > 0 }
				for time.Since(n.startedAt) < returnAfter-time.Second {
					time.Sleep(renewInterval)
					is.NoErr(n.renew(t.Context()))
				}
				time.Sleep(returnAfter - time.Since(n.startedAt) - time.Millisecond)
				is.Equal(held.mayOrder(time.Now()), c.orders)
				is.Equal(inDoubt(), !c.checked)
				is.Equal(n.mayHandOver("u", time.Now()), c.checked)
				time.Sleep(time.Millisecond)
				is.True(held.mayOrder(time.Now()))
				is.True(!inDoubt())
				is.True(n.mayHandOver("u", time.Now()))
			})
		})
	}
}

// Guards against a next holder whose orders have the token of the one before: only the same instance goes on with it.
func TestTokenOfAClaimIsItsRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, _ := nodeWithLease(t)
		n.Store.(*leaseStore).fence = 20
		held := claimUpstream(t, n, "u")
		is.Equal(held.token, held.fence)
		var r roster.Roster
		value, err := roster.EncodeHolder(roster.Holder{Instance: "other"})
		is.NoErr(err)
		_, err = r.Apply(roster.HolderKey("u"), value, 30, false)
		is.NoErr(err)
		holder, _ := r.Holder("u")
		is.Equal(holder.Token, int64(30))
	})
}

// concurrentClaimStore is a store in which another instance claims an upstream while a claim of this instance for an
// earlier upstream is in progress. This instance learns of that immediately.
type concurrentClaimStore struct {
	leaseStore
	node       *Node
	upstream   string
	conditions map[string]int64
}

func (s *concurrentClaimStore) Commit(_ context.Context, t coordination.Transaction) (int64, error) {
	for _, condition := range t.Conditions {
		s.conditions[condition.Key] = condition.Revision
	}
	s.fence++
	value, err := roster.EncodeHolder(roster.Holder{Instance: "other", Incarnation: "other", Lease: 9})
	if err != nil {
		return 0, err
	}
	s.node.view.mutex.Lock()
	defer s.node.view.mutex.Unlock()
	_, err = s.node.view.roster.Apply(roster.HolderKey(s.upstream), value, 7, false)
	return s.fence, err
}

// Guards against a claim that replaces another instance which claimed the upstream after it had been found vacant. Both
// would send orders there.
func TestClaimDoesNotReplaceAHolderWhoCameMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, _ := nodeWithLease(t)
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		store := &concurrentClaimStore{node: n, upstream: "second", conditions: make(map[string]int64)}
		n.Store = store
		free := []vacancy{{upstream: traffic.Upstream{ID: "first"}}, {upstream: traffic.Upstream{ID: "second"}}}
		n.claimByRank(ended, free, time.Now())
		time.Sleep(claimDelay)
		n.claimByRank(ended, free, time.Now())
		is.Equal(store.conditions[roster.HolderKey("second")], int64(0))
	})
}

// Guards against holders that take turns at an upstream within a second, because each takes the other for lost while their
// gossip is lost, or because their links fail in turn. An order of the first that is still in transit would be carried out
// between those of its new tenure, and the two undo each other's loads.
func TestHolderReturnsLongAfterItsLastOrderIfAnotherCameBetween(t *testing.T) {
	holder := func(instance string, revision int64) replica.Item {
		value, err := roster.EncodeHolder(roster.Holder{Instance: instance, Incarnation: instance, Lease: 9})
		if err != nil {
			t.Fatal(err)
		}
		return replica.Item{Key: roster.HolderKey("u"), Value: value, Revision: revision}
	}
	removed := replica.Item{Key: roster.HolderKey("u"), Revision: 12, Removed: true}
	const fence = 20
	for _, c := range []struct {
		name    string
		batches []replica.Batch
		source  string
		returns bool
	}{
		{"nobody between", []replica.Batch{{After: 10, Through: fence, Items: []replica.Item{removed, holder("self", fence)}}}, sourceStore, true},
		{"another between", []replica.Batch{
			{After: 10, Through: fence, Items: []replica.Item{removed, holder("other", 14), holder("self", fence)}},
		}, sourceStore, false},
		{"another removed", []replica.Batch{
			{After: 10, Through: 14, Items: []replica.Item{holder("other", 14)}},
			{After: 14, Through: fence, Items: []replica.Item{holder("self", fence)}},
		}, sourceStore, false},
		{"hidden between two changes", []replica.Batch{{After: 10, Through: fence, Items: []replica.Item{holder("self", fence)}}}, "peer", false},
		{"hidden by a snapshot", []replica.Batch{{Through: 15, Snapshot: true}, {After: 15, Through: fence}}, sourceStore, false},
		{"claim not seen yet", []replica.Batch{{After: 10, Through: 12, Items: []replica.Item{removed}}}, sourceStore, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var suspended time.Duration
				n := nodeWithoutFenceChecks(&suspended)
				n.current.Store(&Settings{Upstreams: UpstreamSettings{FencesChecked: true, ReturnAfter: 3 * time.Second}})
				n.view.wake = make(chan struct{}, 1)
				is.True(n.merge(replica.Batch{Through: 10, Snapshot: true, Items: []replica.Item{holder("self", 10)}}, time.Time{}, sourceStore))
				n.heldUpstreams.turns.recordOrder("u", 10, time.Now())
				is.True((&heldUpstream{node: n, upstream: traffic.Upstream{ID: "u"}, fence: 10, token: 10}).mayOrder(time.Now()))
				for _, batch := range c.batches {
					is.True(n.merge(batch, time.Time{}, c.source))
				}
				again := &heldUpstream{node: n, upstream: traffic.Upstream{ID: "u"}, fence: fence, token: fence}
				is.Equal(again.mayOrder(time.Now()), c.returns)
				time.Sleep(3 * time.Second)
				is.True(again.mayOrder(time.Now()))
			})
		})
	}
}

// Guards against two instances that receive nothing from each other and each replace the other as a lost holder: one that became the
// holder while it was silent is alive.
func TestHolderThatClaimedInSilenceIsNotReplacedEarly(t *testing.T) {
	for _, c := range []struct {
		name    string
		heard   bool
		replace bool
	}{{"silent since its claim", true, true}, {"silent at its claim", false, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var suspended time.Duration
				n := nodeWithoutFenceChecks(&suspended)
				n.current.Store(&Settings{Upstreams: UpstreamSettings{FencesChecked: true, ReturnAfter: 3 * time.Second}})
				n.view.wake = make(chan struct{}, 1)
				is.True(n.merge(replica.Batch{Through: 1, Snapshot: true}, time.Time{}, sourceStore))
				var items []replica.Item
				for revision, name := range []string{"holder", "b", "c"} {
					value, err := roster.EncodeInstance(roster.Instance{Name: name, Incarnation: name})
					is.NoErr(err)
					items = append(items, replica.Item{Key: roster.InstanceKey(name), Value: value, Revision: int64(revision) + 2})
				}
				value, err := roster.EncodeHolder(roster.Holder{Instance: "holder", Incarnation: "holder"})
				is.NoErr(err)
				items = append(items, replica.Item{Key: roster.HolderKey("u"), Value: value, Revision: 5})
				if c.heard {
					n.overlay.recordContact("holder", time.Now())
				}
				is.True(n.merge(replica.Batch{After: 1, Through: 5, Items: items}, time.Time{}, sourceStore))
				time.Sleep(relayedTimeout + time.Second)
				now := time.Now()
				n.overlay.recordContact("b", now)
				n.overlay.recordContact("c", now)
				_, free := n.reconcileUpstream(t.Context(), traffic.Upstream{ID: "u"}, now)
				is.Equal(free, c.replace)
			})
		})
	}
}
