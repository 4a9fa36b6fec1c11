package node

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/admission/quota"
	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
)

// slowCoordinator decides about charges after some time, and counts the connections to it.
type slowCoordinator struct {
	mesh.Handler
	delay       time.Duration
	connections atomic.Int32
}

func (c *slowCoordinator) ChargeRate(quota.Charge) quota.Verdict {
	time.Sleep(c.delay)
	return quota.OverRate{RetryAfter: time.Minute, Closed: time.Minute}
}

// countingListener counts the connections that are accepted.
type countingListener struct {
	net.Listener
	count *atomic.Int32
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.count.Add(1)
	}
	return conn, err
}

// startSlowCoordinator starts a coordinator and returns a node that can ask it about the workspace "w".
func startSlowCoordinator(t *testing.T, delay time.Duration) (*slowCoordinator, *Node, quota.Peer) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &slowCoordinator{delay: delay}
	server := mesh.NewServer(c)
	go func() { _ = server.Serve(countingListener{Listener: listener, count: &c.connections}) }()
	t.Cleanup(server.Stop)
	n := syncedNode(t, "a", []string{"a", "b"})
	t.Cleanup(n.peers.Close)
	ledger := n.sharedState.Ledger
	ledger.SetPeers(time.Now(), []string{"b"})
	ledger.SetLimits(time.Now(), map[string]quota.Limit{"w": {Rate: 1000, Burst: 1000}})
	return c, n, quota.Peer{Name: "b", Address: listener.Addr().String()}
}

// chargeBriefly asks the coordinator for at most 50 ms, as for a request.
func chargeBriefly(t *testing.T, n *Node, coordinator quota.Peer) quota.Verdict {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	return n.ChargeCoordinator(ctx, coordinator, quota.Charge{Instance: "a", Workspace: "w", Cost: 1, Total: 1})
}

// Guards against an instance that goes on admitting what a workspace sends over its rate because the answers of the
// coordinator are late, and against connections that are replaced for it.
func TestLateVerdictCloses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, n, coordinator := startSlowCoordinator(t, 200*time.Millisecond)
	isClosed := func() bool {
		_, refused := n.sharedState.Ledger.Begin(time.Now(), "w", 1, coordinator).(quota.Refused)
		return refused
	}
	for range 3 {
		is.Equal(chargeBriefly(t, n, coordinator), quota.Unanswered{})
	}
	closed := false
	for deadline := time.Now().Add(2 * time.Second); !closed && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		n.sharedState.WithLock(func(*serve.SharedState) { closed = isClosed() })
	}
	is.True(closed)
	time.Sleep(maxChargeLateness)
	is.Equal(chargeBriefly(t, n, coordinator), quota.Unanswered{})
	is.Equal(c.connections.Load(), int32(1))
}

// Guards against an instance that goes on asking over a connection that carries nothing any more, and against one that
// opens a connection for each charge that failed on it.
func TestConnectionWithoutVerdictsIsReplacedOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, n, coordinator := startSlowCoordinator(t, 3*time.Second)
	for range 4 {
		is.Equal(chargeBriefly(t, n, coordinator), quota.Unanswered{})
	}
	time.Sleep(maxChargeLateness + 200*time.Millisecond)
	chargeBriefly(t, n, coordinator)
	is.Equal(c.connections.Load(), int32(2))
}

// Guards against requests that wait again and again for a coordinator that does not answer in time, and against one that is
// never asked again.
func TestSlowCoordinatorIsAskedLessOften(t *testing.T) {
	is := is.New(t)
	c := &rateCoordinators{}
	began := time.Now()
	asked := 0
	// charge asks ten times a second where the coordinator is not avoided.
	charge := func(from, until time.Duration, answer func(now time.Time)) {
		for at := from; at < until; at += 100 * time.Millisecond {
			if now := began.Add(at); !now.Before(c.avoided["slow"].until) {
				asked++
				answer(now)
			}
		}
	}
	late := func(now time.Time) { c.recordUnanswered(now, "slow", false) }
	charge(0, 60*time.Second, late)
	is.True(asked <= 22) // two each after 1, 2, 4 and then 8 s
	asked = 0
	charge(60*time.Second, 69*time.Second, func(now time.Time) { c.recordAnswer(now, "slow", true) })
	is.True(asked >= 9)
	asked = 0
	charge(69*time.Second, 71*time.Second, late)
	is.True(asked >= 3) // it begins with a second again
}
