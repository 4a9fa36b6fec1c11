package node

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/serve"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/pool"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
)

// silentOrders gets no answer, whatever is ordered.
type silentOrders struct{}

func (silentOrders) Order(context.Context, traffic.Upstream, string, int64, residence.Order) (residence.Outcome, error) {
	return residence.NoAnswer, errors.New("no answer")
}

func (silentOrders) Report(context.Context, traffic.Upstream) (residence.Report, error) {
	return residence.Report{}, errors.New("no answer")
}

func heldAt(address string) *holding {
	n := &Node{Log: zerolog.Nop(), Orders: silentOrders{}, holdings: newHoldings()}
	n.current.Store(&Settings{Upstreams: UpstreamSettings{FencesChecked: true}})
	n.advice = &serve.Advice{Pool: &pool.Pool{Settings: pool.DefaultSettings()}}
	upstream := traffic.Upstream{ID: "u", Service: "s", Address: address}
	n.advice.Pool.Declare(time.Now(), upstream)
	return &holding{node: n, upstream: upstream, fence: 1, wake: make(chan struct{}, 1), changed: make(chan struct{})}
}

// An upstream is gone while requests wait for an adapter there. Held until they would be late, they are lost for any
// other upstream too, and the caller hears nothing for seconds. An upstream that lives and loses answers is another
// matter: what is ordered there is carried out, and those who wait get their adapter.
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
			h := heldAt(c.address)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			answered := make(chan mesh.Prepared, 1)
			request := mesh.PrepareRequest{
				Upstream: "u", Adapter: traffic.Adapter{Model: "m", Name: "a"}, Patience: time.Second, OnTime: time.Second,
			}
			go func() { answered <- h.prepare(ctx, request) }()
			time.Sleep(50 * time.Millisecond)
			h.inspect(ctx)
			select {
			case prepared := <-answered:
				_, busy := prepared.(mesh.Busy)
				is.True(c.busy && busy)
			case <-time.After(300 * time.Millisecond):
				is.True(!c.busy)
			}
			_, told := h.residency(time.Now())
			is.Equal(told, c.busy)
		})
	}
}
