package node

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"lacewingrock.example/lacewingrock/internal/gateway/serve"
)

// reload.go takes changed settings over while the instance serves. The platform says so with SIGHUP, whose
// default would end the process and cut every request, or changes the file without a signal.

// rereadEvery is how late a change without a signal is noticed.
const rereadEvery = 2 * time.Second

// runReload reads the settings again on SIGHUP and every now and then.
func (n *Node) runReload(ctx context.Context) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(rereadEvery)
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

// reload takes the settings over if they are valid; else those in force stay.
func (n *Node) reload(told bool) {
	settings, err := n.Reread()
	if err != nil {
		n.Log.Error().Err(err).Msg("ReloadFailed")
		return
	}
	before := *n.current.Load()
	if settings == before {
		if told {
			n.Log.Info().Bool("Changed", false).Msg("Reloaded")
		}
		return
	}
	n.current.Store(&settings)
	n.Apply(settings)
	if settings.Retries != before.Retries {
		n.advice.With(func(a *serve.Advice) { a.Retries = retryBudgets(settings.Retries) })
	}
	if settings.Instance != before.Instance {
		n.Log.Warn().Msg("RestartNeeded") // addresses and names stay until then
	}
	n.Log.Info().Bool("Changed", true).Msg("Reloaded")
}
