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

// The verb check: reads a settings file and reports everything that is wrong with it.

// errSettingsFile means that the verb was called without its file.
var errSettingsFile = errors.New("name the settings file with -settings")

type checkVerb struct {
	program *Program
	file    string
	reader  string
}

// The verbs whose settings can be checked.
const (
	readerRun   = "run"
	readerServe = "serve"
)

// errReader means that the verb which reads the settings is not known.
var errReader = errors.New("-for takes run or serve")

// Name of the verb.
func (*checkVerb) Name() string { return "check" }

// Synopsis is one line for the list of verbs.
func (*checkVerb) Synopsis() string { return "check a settings file" }

// Usage is the help text.
func (*checkVerb) Usage() string {
	return `check -settings FILE [-for run|serve]
  Reads a settings file, of the verb run if -for does not say else, and the certificates it names, and
  reports all problems together, each with file, section and name. Starts nothing.

The settings of run:

` + settings.Help() + `
The settings of serve:

` + node.SettingsHelp()
}

// SetFlags sets the verb's flags.
func (v *checkVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.file, "settings", "", "the settings file (INI)")
	f.StringVar(&v.reader, "for", readerRun, "the verb that reads it: run or serve")
}

// Execute carries the verb out.
func (v *checkVerb) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if v.file == "" || f.NArg() > 0 {
		return v.program.fail(exitUsage, errSettingsFile)
	}
	var err error
	switch v.reader {
	case readerRun:
		err = checkRun(v.file)
	case readerServe:
		_, err = node.LoadSettings(v.file)
	default:
		return v.program.fail(exitUsage, errReader)
	}
	if err != nil {
		return v.program.fail(exitInvalid, err)
	}
	say(v.program.Out, v.file+": no problems\n")
	return exitDone
}

// checkRun reads the settings of run and the certificates that they name.
func checkRun(file string) (err error) {
	read, err := settings.Load(file)
	if err != nil {
		return err
	}
	_, _, err = peer.Credentials(read.Peers)
	return err
}
