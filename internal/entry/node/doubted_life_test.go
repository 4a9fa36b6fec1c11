package node

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
)

// Guards against sound requests that go to an upstream which has started again and lacks their adapters, until its holder happens to
// fetch a report: responses of the life before broke, and another instance or the holder itself found that something listens there.
func TestHolderFetchesAReportOfALifeInDoubt(t *testing.T) {
	doubted := func(started int64) func(n *Node) {
		return func(n *Node) {
			n.Report(mesh.LoadReport{Instance: "other", Doubted: []traffic.Life{{Upstream: "u", StartedMillis: started}}})
		}
	}
	for _, c := range []struct {
		name    string
		happens func(n *Node)
		fetches bool
	}{
		{"nothing happens", func(*Node) {}, false},
		{"by another instance", doubted(7), true},
		{"by another instance that knows a later life", doubted(8), true},
		{"a life that the holder knows to have ended", doubted(6), false},
		{"by the holder's own crash check", func(n *Node) {
			upstream := upstreamOfLife(7)
			upstream.Address = listening(t)
			crashCheck{node: n, upstream: upstream}.run(t.Context())
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := holderOfLife(t)
			time.Sleep(310 * time.Millisecond)
			h.fetchReport(t.Context()) // the second report agrees with the first
			time.Sleep(160 * time.Millisecond)
			c.happens(h.node)
			_, fetches := h.next().(residence.FetchReport)
			is.Equal(fetches, c.fetches)
			h.node.Orders = statingOrders{report: reportOfLife(8)}
			if fetches {
				h.fetchReport(t.Context())
			}
			loaded, _ := isLoadedAt(h.node.sharedState.Pool)
			is.Equal(loaded, !c.fetches)
		})
	}
}

// Guards against a doubt that is lost with the report which names it.
func TestDoubtIsNamedUntilAReportArrives(t *testing.T) {
	is := is.New(t)
	var r reports
	life := traffic.Life{Upstream: "u", StartedMillis: 7}
	r.addDoubted("holder", life)
	r.addDoubted("holder", life)
	taken := r.takeDoubted("holder")
	is.Equal(taken, []traffic.Life{life})
	is.Equal(len(r.takeDoubted("holder")), 0)
	r.addDoubted("holder", taken...)
	is.Equal(r.takeDoubted("holder"), taken)
}

// Guards against many reports to one holder, where many requests wait for it: while it answers some of them, its connection is alive.
func TestAwaitedHolderIsCheckedInWantOfAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var r reports
		checks := func(answers bool, lasts time.Duration) (count int) {
			for range lasts / (10 * time.Millisecond) {
				time.Sleep(10 * time.Millisecond)
				for range 20 { // requests that wait
					if r.isUnanswered("holder", time.Now()) {
						count++
					}
				}
				if answers {
					r.recordAnswer("holder", time.Now())
				}
			}
			return count
		}
		r.recordAnswer("holder", time.Now())
		is.Equal(checks(true, 4*time.Second), 0)
		is.Equal(checks(false, 4*time.Second), 10)
	})
}

// listening returns the address of a listener, as an upstream's next life has.
func listening(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener.Addr().String()
}
