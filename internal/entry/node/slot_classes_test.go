package node

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"lacewingrock.example/lacewingrock/internal/fleet/mesh"
	"lacewingrock.example/lacewingrock/internal/gateway/traffic"
	"lacewingrock.example/lacewingrock/internal/placement/residence"
)

// contendedUpstream is a held upstream under contention with one adapter slot, in which an adapter is in use.
func contendedUpstream() *heldUpstream {
	h := heldUpstreamAt("127.0.0.1:1")
	h.planner.Contention = true
	h.planner.Engine = traffic.Engine{AdapterSlots: 1, Models: []traffic.Model{{Name: "m"}}}
	now := time.Now()
	busy := traffic.Adapter{Model: "m", Name: "busy"}
	report := residence.Report{Models: []traffic.LoadedModel{{
		Name: "m", Version: 1, Adapters: []traffic.LoadedAdapter{{Name: busy.Name, Version: 1}},
	}}}
	h.planner.ApplyReport(now.Add(-400*time.Millisecond), report)
	h.planner.ApplyReport(now, report)
	h.planner.SetInUse(now, []traffic.Adapter{busy})
	return h
}

func requestFor(name string, priority int) mesh.PrepareRequest {
	return mesh.PrepareRequest{
		Upstream: "u", Adapter: traffic.Adapter{Model: "m", Name: name}, Priority: priority,
		MaxWait: 20 * time.Second, OnTime: 20 * time.Second,
	}
}

// Guards against requests that go on to wait at a holder that has ended or was replaced, whatever their class: they would be
// late everywhere. What waited leaves nothing behind.
func TestWaitingClassesAreReleasedWhenTheHolderEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(h *heldUpstream, ended chan struct{})
	}{
		{"the holder ends", func(_ *heldUpstream, ended chan struct{}) { close(ended) }},
		{"the holder is fenced", func(h *heldUpstream, _ chan struct{}) {
			h.mutex.Lock()
			h.fenced = true
			h.notifyWaiters()
			h.mutex.Unlock()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := contendedUpstream()
			ended := make(chan struct{})
			h.ended = ended
			over, replica := requestFor("over", 0), requestFor("popular", 1)
			over.OverShare = true
			replica.Replica, replica.Demand = true, 30
			requests := []mesh.PrepareRequest{requestFor("high", 0), requestFor("low", 2), requestFor("low", 1), over, replica, replica}
			responses := make(chan mesh.PrepareResult, len(requests))
			for _, request := range requests {
				go func() { responses <- h.prepare(t.Context(), request) }()
			}
			time.Sleep(50 * time.Millisecond)
			is.Equal(len(responses), 0)
			c.end(h, ended)
			for range requests {
				select {
				case prepared := <-responses:
					is.Equal(prepared, mesh.NotHolder{}) // it is placed elsewhere
				case <-time.After(time.Second):
					t.Fatal("a request still waits")
				}
			}
			is.True(!h.hasWaitingRequests())
		})
	}
}

// Guards against a request that waits although its adapter slot comes too late, and against a wait stated to the highest class
// that the lower ones determine.
func TestLowerClassesDoNotDelayTheHighest(t *testing.T) {
	is := is.New(t)
	h := contendedUpstream()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, name := range []string{"a", "b", "c", "d"} {
		go h.prepare(ctx, requestFor(name, 2))
	}
	time.Sleep(50 * time.Millisecond)
	low, high := requestFor("e", 2), requestFor("f", 0)
	low.MaxWait, high.MaxWait = time.Second, time.Second
	start := time.Now()
	busy, refused := h.prepare(ctx, low).(mesh.Busy)
	is.True(refused)
	is.True(busy.RetryAfter > time.Second)
	is.True(time.Since(start) < 100*time.Millisecond)
	residency := h.slotWait(time.Now())
	is.True(residency < busy.RetryAfter/2)
	go h.prepare(ctx, high)
	time.Sleep(50 * time.Millisecond)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, late := h.planner.WouldBeLate(time.Now(), waiterOf(time.Now(), high), time.Now().Add(800*time.Millisecond))
	is.True(!late) // it waits
}

// acceptingOrders accepts every order.
type acceptingOrders struct{ noResponseOrders }

func (acceptingOrders) Order(context.Context, traffic.Upstream, string, int64, residence.Order) (residence.Response, error) {
	return residence.Response{Outcome: residence.Accepted}, nil
}

// Guards against a grant that is logged with each poll of its load, or without what decided it.
func TestGrantIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	h := contendedUpstream()
	var log strings.Builder
	h.node.Log = zerolog.New(&log)
	h.node.Orders = acceptingOrders{}
	h.planner.Engine.AdapterSlots = 2
	request := requestFor("a", 1)
	request.Demand = 6
	h.planner.AddWaiter(time.Now(), waiterOf(time.Now(), request))
	order := residence.Order{Adapter: request.Adapter}
	h.sendOrder(t.Context(), order)
	h.sendOrder(t.Context(), order)
	is.Equal(strings.Count(log.String(), `"message":"SlotGrant"`), 1)
	for _, field := range []string{`"Priority":1`, `"OverShare":false`, `"Demand":6`, `"WaitedMillis":`} {
		is.True(strings.Contains(log.String(), field))
	}
}
