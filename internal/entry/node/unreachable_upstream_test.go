package node

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/forward"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
	"lacewingrock.example/lacewingrock/internal/placement/suspect"
)

// noResponseOrders gets no response to any order.
type noResponseOrders struct{}

func (noResponseOrders) Order(context.Context, traffic.Upstream, string, int64, residence.Order) (residence.Response, error) {
	return residence.Response{Outcome: residence.NoAnswer}, errors.New("no response from the upstream")
}

func (noResponseOrders) Report(context.Context, traffic.Upstream) (residence.Report, error) {
	return residence.Report{}, errors.New("no response from the upstream")
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

func heldUpstreamAt(address string) *heldUpstream {
	n := &Node{Log: zerolog.Nop(), Orders: noResponseOrders{}, DialUpstream: dialTCP, heldUpstreams: newHeldUpstreams(), scope: tally.NoopScope, forward: &forward.Client{}}
	n.current.Store(&Settings{Upstreams: UpstreamSettings{FencesChecked: true}})
	n.sharedState = &serve.SharedState{
		Pool: &pool.Pool{Settings: pool.DefaultSettings()}, Suspects: &suspect.Tracker{Settings: suspect.DefaultSettings()},
	}
	n.handler = &serve.Handler{State: n.sharedState, Log: zerolog.Nop(), Scope: tally.NoopScope}
	upstream := traffic.Upstream{ID: "u", Service: "s", Address: address}
	n.sharedState.Pool.Declare(time.Now(), upstream)
	return &heldUpstream{node: n, upstream: upstream, fence: 1, token: 1, wake: make(chan struct{}, 1), changed: make(chan struct{})}
}

// Guards against requests that wait for an adapter at an upstream that is gone. If they waited until their deadline,
// they could not be served by another upstream either, and the caller would get no response for seconds. An upstream
// that is alive and loses responses is different: it carries out the orders, and the waiting requests get their
// adapter.
func TestNobodyWaitsAtAnUpstreamThatIsGone(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for _, c := range []struct {
		name    string
		address string
		busy    bool
	}{
		{"gone", "127.0.0.1:1", true},
		{"alive", listener.Addr().String(), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := heldUpstreamAt(c.address)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			responses := make(chan mesh.PrepareResult, 1)
			request := mesh.PrepareRequest{
				Upstream: "u", Adapter: traffic.Adapter{Model: "m", Name: "a"}, MaxWait: time.Second, OnTime: time.Second,
			}
			go func() { responses <- h.prepare(ctx, request) }()
			time.Sleep(50 * time.Millisecond)
			h.fetchReport(ctx)
			select {
			case prepared := <-responses:
				_, busy := prepared.(mesh.Busy)
				is.True(c.busy && busy)
			case <-time.After(300 * time.Millisecond):
				is.True(!c.busy)
			}
			_, known := h.residency(time.Now())
			is.Equal(known, c.busy)
		})
	}
}
