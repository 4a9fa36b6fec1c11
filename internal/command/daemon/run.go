package daemon

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"lacewingrock.example/lacewingrock/internal/entry/daemon"
	"lacewingrock.example/lacewingrock/internal/entry/settings"
	"lacewingrock.example/lacewingrock/internal/telemetry/logline"
)

// The verb run: serves as one entry instance until told to stop.

type runVerb struct {
	program *Program
	file    string
}

// Name of the verb.
func (*runVerb) Name() string { return "run" }

// Synopsis is one line for the list of verbs.
func (*runVerb) Synopsis() string { return "serve as one entry instance" }

// Usage is the help text.
func (*runVerb) Usage() string {
	return `run -settings FILE
  Serves as one entry instance until it gets SIGTERM or SIGINT. It then stops as planned: it takes no
  new requests, lets running ones end, and hands over what it holds. A second signal stops it at once.
  It logs to standard output, one line of key=value pairs for each event. The event "listening" tells
  the addresses.
`
}

// SetFlags sets the verb's flags.
func (v *runVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.file, "settings", "", "the settings file (INI)")
}

// Execute carries the verb out.
func (v *runVerb) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if v.file == "" || f.NArg() > 0 {
		return v.program.fail(exitUsage, errSettingsFile)
	}
	read, err := settings.Load(v.file)
	if err != nil {
		return v.program.fail(exitInvalid, err)
	}
	logger, err := logline.New(v.program.Out, "lacewingd", read.Log.Level)
	if err != nil {
		return v.program.fail(exitInvalid, err)
	}
	instance := &daemon.Daemon{Settings: read, Log: logger}
	if err := instance.Run(ctx); err != nil {
		logger.Error().Err(err).Msg("Failed")
		return exitFailed
	}
	return exitDone
}
