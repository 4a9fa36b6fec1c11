package daemon

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// gauges.go tells the metrics how this instance stands.

// gaugesEvery is how often; the exposition is renewed each second.
const gaugesEvery = time.Second

func (d *Daemon) runGauges(ctx context.Context) error {
	for pause.For(ctx, gaugesEvery) {
		current := d.repository.Current().Head
		d.scope.Gauge("fresh").Update(truth(d.tracker.Fresh() == nil))
		d.scope.Gauge("stopping").Update(truth(d.stopping.Load()))
		d.scope.Gauge("revision").Update(float64(current.Revision))
		d.scope.Gauge("revision_in_force_everywhere").Update(float64(d.tracker.InForce()))
		d.scope.Gauge("members").Update(float64(len(current.Members)))
		d.scope.Gauge("running").Update(float64(d.pipeline.RunningRequests.Count()))
		d.scope.Gauge("store_calls").Update(float64(d.store.Calls.Load()))
	}
	return nil
}

func truth(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}
