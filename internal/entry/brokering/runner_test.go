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

func asked(adapter string) broker.PermitRequested {
	return broker.PermitRequested{
		Load:     broker.Load{Upstream: "engine-1", Model: model.Reference{Adapter: adapter, Version: "1"}},
		Demand:   100,
		Patience: 20 * time.Second,
	}
}

// run runs a broker that allows one load in two seconds and one in flight.
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

// A holder asks again for the same load because its demand has grown. Were the first ask told that it is
// refused, the holder would wait and ask a third time, and so on for as long as the load waits.
func TestReplacedAskIsToldSo(t *testing.T) {
	run(t, func(ctx context.Context, r *brokering.Runner) {
		is := is.New(t)
		is.True(r.Permit(ctx, asked("first")).Granted) // takes the only place
		answers := make(chan peer.LoadPermit, 2)
		go func() { answers <- r.Permit(ctx, asked("second")) }()
		time.Sleep(100 * time.Millisecond)
		go func() { answers <- r.Permit(ctx, asked("second")) }()
		is.Equal(<-answers, peer.LoadPermit{Replaced: true})
		r.End(ctx, asked("first").Load, false)
		is.True((<-answers).Granted)
	})
}

// A holder has got a permit and needs it no more. Counted as used, the loads of half a second would be
// lost to everybody else.
func TestUnusedPermitIsGivenBack(t *testing.T) {
	run(t, func(ctx context.Context, r *brokering.Runner) {
		is := is.New(t)
		for took := time.Duration(0); took < time.Second; { // until the store's rate is used up
			began := time.Now()
			is.True(r.Permit(ctx, asked("first")).Granted)
			r.End(ctx, asked("first").Load, false)
			took = time.Since(began)
		}
		is.True(r.Permit(ctx, asked("first")).Granted)
		r.End(ctx, asked("first").Load, true)
		began := time.Now()
		is.True(r.Permit(ctx, asked("second")).Granted)
		is.True(time.Since(began) < time.Second)
	})
}
