// Continuous reads, for callers that do not decide themselves when to read.

package repository

import (
	"context"
	"time"
)

// Run reads the head repeatedly, by watch if WatchTimeout is set and by polling otherwise, until the
// context ends. A failed read is retried after PollInterval.
func (r *Repository) Run(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		err := r.readOnce(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			r.logReadState(err)
		}
	}
	return nil
}

// readOnce reads once and pauses if the read itself did not wait.
func (r *Repository) readOnce(ctx context.Context) error {
	if r.WatchTimeout > 0 && r.Current().Head.Revision > 0 {
		_, err := r.Await(ctx, r.WatchTimeout)
		if err == nil {
			return nil
		}
		_ = sleepWithJitter(ctx, r.pollInterval())
		return err
	}
	_, err := r.Refresh(ctx)
	_ = sleepWithJitter(ctx, r.pollInterval())
	return err
}

// logReadState logs when reads begin to fail or succeed again, not each read.
func (r *Repository) logReadState(err error) {
	if err != nil {
		r.Log.Warn().Err(err).Msg("ConfigurationUnreadable")
		return
	}
	r.Log.Info().Int64("Revision", r.Current().Head.Revision).Msg("ConfigurationReadable")
}

func (r *Repository) pollInterval() time.Duration {
	if r.PollInterval > 0 {
		return r.PollInterval
	}
	return DefaultPollInterval
}
