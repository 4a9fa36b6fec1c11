package daemon

import (
	"context"
	"flag"
	"runtime/debug"

	"github.com/google/subcommands"
)

// The command version prints the version from the build information.

type versionCommand struct {
	program *Program
}

// Name returns the name of the command.
func (*versionCommand) Name() string { return "version" }

// Synopsis returns the line for the list of commands.
func (*versionCommand) Synopsis() string { return "print the version" }

// Usage returns the help text.
func (*versionCommand) Usage() string { return "version\n  Prints the version of this program.\n" }

// SetFlags registers no flags.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute runs the command.
func (c *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	printText(c.program.Out, "lacewingd "+version+"\n")
	return exitSuccess
}
