package daemon

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// gauges.go updates the gauges that describe the state of this instance.

// gaugeInterval is how often the gauges are updated. The metrics exposition is renewed each second.
const gaugeInterval = time.Second

func (d *Daemon) runGauges(ctx context.Context) error {
	for pause.For(ctx, gaugeInterval) {
		current := d.repository.Current().Head
		d.scope.Gauge("fresh").Update(boolToFloat(d.tracker.Fresh() == nil))
		d.scope.Gauge("stopping").Update(boolToFloat(d.stopping.Load()))
		d.scope.Gauge("revision").Update(float64(current.Revision))
		d.scope.Gauge("revision_in_force_everywhere").Update(float64(d.tracker.InForce()))
		d.scope.Gauge("members").Update(float64(len(current.Members)))
		d.scope.Gauge("running").Update(float64(d.pipeline.RunningRequests.Count()))
		d.scope.Gauge("store_calls").Update(float64(d.store.Calls.Load()))
	}
	return nil
}

func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
