package daemon

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/entry/settings"
	"lacewingrock.example/lacewingrock/internal/fleet/peer"
)

// The verb check: reads a settings file and reports everything that is wrong with it.

// errSettingsFile means that the verb was called without its file.
var errSettingsFile = errors.New("name the settings file with -settings")

type checkVerb struct {
	program *Program
	file    string
}

// Name of the verb.
func (*checkVerb) Name() string { return "check" }

// Synopsis is one line for the list of verbs.
func (*checkVerb) Synopsis() string { return "check a settings file" }

// Usage is the help text.
func (*checkVerb) Usage() string {
	return `check -settings FILE
  Reads a settings file and the certificates it names, and reports all problems together, each with
  file, section and name. Starts nothing.

The settings:

` + settings.Help()
}

// SetFlags sets the verb's flags.
func (v *checkVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.file, "settings", "", "the settings file (INI)")
}

// Execute carries the verb out.
func (v *checkVerb) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if v.file == "" || f.NArg() > 0 {
		return v.program.fail(exitUsage, errSettingsFile)
	}
	read, err := settings.Load(v.file)
	if err != nil {
		return v.program.fail(exitInvalid, err)
	}
	if _, _, err := peer.Credentials(read.Peers); err != nil {
		return v.program.fail(exitInvalid, err)
	}
	say(v.program.Out, v.file+": no problems\n")
	return exitDone
}
