package node

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/serve"
)

// reload.go applies changed settings while the instance serves. The platform sends SIGHUP, whose default action would
// end the process and cut every request, or changes the file without a signal.

// settingsPollInterval is how late a change without a signal is noticed.
const settingsPollInterval = 2 * time.Second

// runReload reads the settings again on SIGHUP and at regular intervals.
func (n *Node) runReload(ctx context.Context) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-hangup:
			n.reload(true)
		case <-ticker.C:
			n.reload(false)
		case <-ctx.Done():
			return nil
		}
	}
}

// reload applies the settings if they are valid. Otherwise the settings in force stay.
func (n *Node) reload(signalled bool) {
	settings, err := n.ReloadSettings()
	if err != nil {
		n.Log.Error().Err(err).Msg("ReloadFailed")
		return
	}
	previous := *n.current.Load()
	if settings == previous {
		if signalled {
			n.Log.Info().Bool("Changed", false).Msg("Reloaded")
		}
		return
	}
	n.current.Store(&settings)
	n.ApplySettings(settings)
	if settings.Retries != previous.Retries {
		n.sharedState.WithLock(func(state *serve.SharedState) { state.Retries = retryBudgets(settings.Retries) })
	}
	n.sharedState.WithLock(func(state *serve.SharedState) {
		state.Pool.Settings.MaxBackpressure = settings.Upstreams.MaxBackpressure
		state.Pool.Settings.BoundMemory = settings.Memory.UpstreamBound.IsOn()
	})
	if settings.Instance != previous.Instance || settings.Admission != previous.Admission || settings.Memory != previous.Memory {
		n.Log.Warn().Msg("RestartNeeded") // addresses, names and what requests are admitted by change only with a restart
	}
	n.Log.Info().Bool("Changed", true).Msg("Reloaded")
}
