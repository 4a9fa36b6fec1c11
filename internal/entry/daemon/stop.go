package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/fleet/membership"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// stop.go is the planned stop. It is invisible to callers: first the readiness probe fails, so that the load balancer
// sends no new requests; then the running requests end; only then are shares and upstreams handed over.

const (
	// leaveTimeout bounds the handover. It is impossible while the store is down; the other members then detect this
	// instance as failed and take over by themselves.
	leaveTimeout = 10 * time.Second
	// leaveRetryDelay is the pause between attempts, which fail while another change of members is not in force yet.
	leaveRetryDelay = 200 * time.Millisecond
)

// errRequestsCut means that a planned stop cut requests that ran for longer than the drain timeout.
var errRequestsCut = errors.New("daemon: planned stop cut requests that ran past the drain timeout")

// runStop waits until stopCtx ends and then carries out the planned stop, while the callers' server drains. tasksCtx
// ends when another task has failed.
func (d *Daemon) runStop(stopCtx, tasksCtx context.Context) error {
	select {
	case <-stopCtx.Done():
	case <-tasksCtx.Done():
		return nil
	}
	d.stopping.Store(true)
	d.Log.Info().Int("Running", d.pipeline.RunningRequests.Count()).Msg("StopBegins")
	var stopErr error
	select {
	case err := <-d.drained:
		if err != nil {
			d.Log.Warn().Int("Running", d.pipeline.RunningRequests.Count()).Err(err).Msg("RequestsCut")
			stopErr = errRequestsCut
		}
	case <-tasksCtx.Done():
		return nil
	}
	d.leave(tasksCtx)
	d.Log.Info().Msg("StopEnds")
	return stopErr
}

// leave removes this instance from the head. It returns once that is in force everywhere, or after leaveTimeout, when
// the other members have had time to take over: until then their requests may still wait in a holder here.
func (d *Daemon) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for ctx.Err() == nil {
		revision, err := d.repository.CommitHead(ctx, func(h head.Head) (head.Head, error) {
			next, _, err := membership.Leave(h, d.self.Name, d.self.Incarnation, d.tracker.InForce())
			return next, err
		})
		if err == nil {
			d.Log.Info().Int64("Revision", revision).Msg("MemberLeaves")
			if len(d.repository.Current().Head.Members) == 0 {
				return // the last member: none is left to report that the head is in force
			}
			_ = d.tracker.WaitInForce(ctx, revision) // after an error the stop goes on without knowing whether it is in force
			return
		}
		pause.For(ctx, leaveRetryDelay)
	}
	d.Log.Warn().Msg("MemberCouldNotLeave")
}
