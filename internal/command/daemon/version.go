package daemon

import (
	"context"
	"flag"
	"runtime/debug"

	"github.com/google/subcommands"
)

// The verb version: prints what the program was built from.

type versionVerb struct {
	program *Program
}

// Name of the verb.
func (*versionVerb) Name() string { return "version" }

// Synopsis is one line for the list of verbs.
func (*versionVerb) Synopsis() string { return "print the version" }

// Usage is the help text.
func (*versionVerb) Usage() string { return "version\n  Prints the version of this program.\n" }

// SetFlags sets no flags.
func (*versionVerb) SetFlags(*flag.FlagSet) {}

// Execute carries the verb out.
func (v *versionVerb) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	say(v.program.Out, "lacewingd "+version+"\n")
	return exitDone
}
