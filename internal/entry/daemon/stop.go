package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/catalog/head"
	"lacewingrock.example/lacewingrock/internal/fleet/membership"
	"lacewingrock.example/lacewingrock/internal/timing/pause"
)

// stop.go is the planned stop. Callers notice nothing of it: the balancer is told first, requests run to
// their end, and only then shares and upstreams are handed over.

const (
	// leaveWithin bounds the handing over. With the store down it can't be done; the others then find
	// this instance silent and take over by themselves.
	leaveWithin = 10 * time.Second
	// leaveAgain is the pause while another change of members is not in force yet.
	leaveAgain = 200 * time.Millisecond
)

// errCut means that a planned stop had to cut requests, since they ran for longer than it may wait.
var errCut = errors.New("daemon: requests were cut")

// runStop waits for the order to stop and carries it out; the callers' server drains meanwhile. Working
// ends when another duty has failed.
func (d *Daemon) runStop(ordered, working context.Context) error {
	select {
	case <-ordered.Done():
	case <-working.Done():
		return nil
	}
	d.stopping.Store(true)
	d.Log.Info().Int("Running", d.pipeline.RunningRequests.Count()).Msg("StopBegins")
	var cut error
	select {
	case err := <-d.drained:
		if err != nil {
			d.Log.Warn().Int("Running", d.pipeline.RunningRequests.Count()).Err(err).Msg("RequestsCut")
			cut = errCut
		}
	case <-working.Done():
		return nil
	}
	d.leave(working)
	d.Log.Info().Msg("StopEnds")
	return cut
}

// leave takes this instance out of the head, and stays until that is in force everywhere or the others
// have had time to take over: requests of theirs may still wait in a holder here.
func (d *Daemon) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveWithin)
	defer cancel()
	for ctx.Err() == nil {
		revision, err := d.repository.CommitHead(ctx, func(h head.Head) (head.Head, error) {
			next, _, err := membership.Leave(h, d.self.Name, d.self.Incarnation, d.tracker.InForce())
			return next, err
		})
		if err == nil {
			d.Log.Info().Int64("Revision", revision).Msg("MemberLeaves")
			if len(d.repository.Current().Head.Members) == 0 {
				return // the last one: nobody is left who could tell that the head is in force
			}
			_ = d.tracker.WaitInForce(ctx, revision) // the context's error means that it is not known; the stop goes on
			return
		}
		pause.For(ctx, leaveAgain)
	}
	d.Log.Warn().Msg("MemberCouldNotLeave")
}
