package brokering_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lacewingrock.example/lacewingrock/internal/entry/brokering"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
	"lacewingrock.example/lacewingrock/internal/placement/broker"
	"lacewingrock.example/lacewingrock/internal/placement/model"
)

func permitRequest(adapter string) broker.PermitRequested {
	return broker.PermitRequested{
		Load:     broker.Load{Upstream: "engine-1", Model: model.Reference{Adapter: adapter, Version: "1"}},
		Demand:   100,
		Patience: 20 * time.Second,
	}
}

// run runs a broker that permits one load per two seconds and one in flight.
func run(t *testing.T, test func(ctx context.Context, r *brokering.Runner)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		settings := broker.DefaultSettings()
		settings.Rate, settings.InFlight = 0.5, 1
		r := &brokering.Runner{Settings: settings}
		r.Prepare()
		go func() { _ = r.Run(ctx) }()
		test(ctx, r)
		cancel()
		synctest.Wait()
	})
}

// Guards against a replaced request that is reported as refused. A holder requests the same load again because its demand
// has grown. If its first request were refused, the holder would wait and request the load a third time, and so on for as
// long as the load waits.
func TestReplacedPermitRequestIsReportedAsReplaced(t *testing.T) {
	run(t, func(ctx context.Context, r *brokering.Runner) {
		is := is.New(t)
		is.True(r.Permit(ctx, permitRequest("first")).Granted) // takes the only permit in flight
		responses := make(chan peer.LoadPermit, 2)
		go func() { responses <- r.Permit(ctx, permitRequest("second")) }()
		time.Sleep(100 * time.Millisecond)
		go func() { responses <- r.Permit(ctx, permitRequest("second")) }()
		is.Equal(<-responses, peer.LoadPermit{Replaced: true})
		r.End(ctx, permitRequest("first").Load, false)
		is.True((<-responses).Granted)
	})
}

// Guards against counting a returned permit as used. A holder has a permit that it no longer needs; counted as used, it
// would cost the other holders the loads of half a second.
func TestUnusedPermitIsReturned(t *testing.T) {
	run(t, func(ctx context.Context, r *brokering.Runner) {
		is := is.New(t)
		for elapsed := time.Duration(0); elapsed < time.Second; { // until the rate of the weight store is used up
			start := time.Now()
			is.True(r.Permit(ctx, permitRequest("first")).Granted)
			r.End(ctx, permitRequest("first").Load, false)
			elapsed = time.Since(start)
		}
		is.True(r.Permit(ctx, permitRequest("first")).Granted)
		r.End(ctx, permitRequest("first").Load, true)
		start := time.Now()
		is.True(r.Permit(ctx, permitRequest("second")).Granted)
		is.True(time.Since(start) < time.Second)
	})
}
