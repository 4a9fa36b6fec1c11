package daemon

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"lacewingrock.example/lacewingrock/internal/entry/daemon"
	"lacewingrock.example/lacewingrock/internal/entry/settings"
	"lacewingrock.example/lacewingrock/internal/telemetry/logline"
)

// The command run serves as one entry instance until it is signalled to stop.

type runCommand struct {
	program *Program
	file    string
}

// Name returns the name of the command.
func (*runCommand) Name() string { return "run" }

// Synopsis returns the line for the list of commands.
func (*runCommand) Synopsis() string { return "serve as one entry instance" }

// Usage returns the help text.
func (*runCommand) Usage() string {
	return `run -settings FILE
  Serves as one entry instance until it gets SIGTERM or SIGINT. It then makes a planned stop: it takes
  no new requests, lets running ones end, and hands over its share and upstreams. A second signal ends
  it at once. It logs to standard output, one line of key=value pairs for each event. The event
  "listening" has the addresses.
`
}

// SetFlags registers the flags of the command.
func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "the settings file (INI)")
}

// Execute runs the command.
func (c *runCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.file == "" || f.NArg() > 0 {
		return c.program.fail(exitUsage, errNoSettingsFile)
	}
	loaded, err := settings.Load(c.file)
	if err != nil {
		return c.program.fail(exitInvalid, err)
	}
	logger, err := logline.New(c.program.Out, "lacewingd", loaded.Log.Level)
	if err != nil {
		return c.program.fail(exitInvalid, err)
	}
	instance := &daemon.Daemon{Settings: loaded, Log: logger}
	if err := instance.Run(ctx); err != nil {
		logger.Error().Err(err).Msg("Failed")
		return exitFailed
	}
	return exitSuccess
}
