// Reading on and on, for whoever does not decide itself when to read.

package repository

import (
	"context"
	"time"
)

// Run reads the head again and again, by watch if WatchFor is set and by poll if not, until the
// context ends. A failed read is tried again after PollEvery.
func (r *Repository) Run(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		err := r.step(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			r.logTurn(err)
		}
	}
	return nil
}

// step reads once and pauses where the read itself did not wait.
func (r *Repository) step(ctx context.Context) error {
	if r.WatchTimeout > 0 && r.Current().Head.Revision > 0 {
		_, err := r.Await(ctx, r.WatchTimeout)
		if err == nil {
			return nil
		}
		_ = sleep(ctx, r.pollEvery())
		return err
	}
	_, err := r.Refresh(ctx)
	_ = sleep(ctx, r.pollEvery())
	return err
}

// logTurn writes a line when reading begins to fail or works again, not for each read.
func (r *Repository) logTurn(err error) {
	if err != nil {
		r.Log.Warn().Err(err).Msg("ConfigurationUnreadable")
		return
	}
	r.Log.Info().Int64("Revision", r.Current().Head.Revision).Msg("ConfigurationReadable")
}

func (r *Repository) pollEvery() time.Duration {
	if r.PollInterval > 0 {
		return r.PollInterval
	}
	return DefaultPollInterval
}
