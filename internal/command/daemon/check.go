package daemon

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/entry/node"
	"lacewingrock.example/lacewingrock/internal/entry/settings"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
)

// The command check reads a settings file and reports all problems in it.

// errNoSettingsFile means that no settings file was given.
var errNoSettingsFile = errors.New("no settings file: use -settings FILE")

type checkCommand struct {
	program *Program
	file    string
	command string
}

// The commands whose settings can be checked.
const (
	commandRun   = "run"
	commandServe = "serve"
)

// errUnknownCommand means that -for names no command that reads settings.
var errUnknownCommand = errors.New("unknown command in -for: must be run or serve")

// Name returns the name of the command.
func (*checkCommand) Name() string { return "check" }

// Synopsis returns the line for the list of commands.
func (*checkCommand) Synopsis() string { return "check a settings file" }

// Usage returns the help text.
func (*checkCommand) Usage() string {
	return `check -settings FILE [-for run|serve]
  Reads a settings file and the certificates it names, and reports all problems together, each with
  file, section and name. The file is for the command run unless -for names another. Starts nothing.

The settings of run:

` + settings.Help() + `
The settings of serve:

` + node.SettingsHelp()
}

// SetFlags registers the flags of the command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "the settings file (INI)")
	f.StringVar(&c.command, "for", commandRun, "the command that reads the file: run or serve")
}

// Execute runs the command.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.file == "" || f.NArg() > 0 {
		return c.program.fail(exitUsage, errNoSettingsFile)
	}
	var err error
	switch c.command {
	case commandRun:
		err = checkRunSettings(c.file)
	case commandServe:
		_, err = node.LoadSettings(c.file)
	default:
		return c.program.fail(exitUsage, errUnknownCommand)
	}
	if err != nil {
		return c.program.fail(exitInvalid, err)
	}
	printText(c.program.Out, c.file+": no problems\n")
	return exitSuccess
}

// checkRunSettings reads the settings of run and the certificates that they name.
func checkRunSettings(file string) (err error) {
	loaded, err := settings.Load(file)
	if err != nil {
		return err
	}
	_, _, err = peer.Credentials(loaded.Peers)
	return err
}
