package daemon

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// topUpEvery is how often full and empty buckets are balanced between members. The figures of the outage
// in docs/PROOFS.md were measured with it.
const topUpEvery = 250 * time.Millisecond

func (d *Daemon) runTopUps(ctx context.Context) error {
	for pause.For(ctx, topUpEvery) {
		d.pipeline.RebalanceTokens(ctx)
	}
	return nil
}
