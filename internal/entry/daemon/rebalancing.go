package daemon

import (
	"context"
	"time"

	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// rebalanceInterval is how often tokens are rebalanced from full to empty buckets between members. The outage figures
// in docs/PROOFS.md hold for this interval.
const rebalanceInterval = 250 * time.Millisecond

func (d *Daemon) runRebalancing(ctx context.Context) error {
	for pause.For(ctx, rebalanceInterval) {
		d.pipeline.RebalanceTokens(ctx)
	}
	return nil
}
