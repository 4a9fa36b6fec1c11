// Package standin implements the verbs of lacewingstand: one for the stand-in of each outside system, those
// that start, demonstrate and stop a small deployment, and those that measure. Verbs are registered in one
// table. Each verb is a struct of its flags.
package standin

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/google/subcommands"
)

// Groups of the help text.
const (
	groupSystems    = "outside systems"
	groupDeployment = "deployment"
)

// verb is one entry in the table of verbs.
type verb struct {
	group   string
	command subcommands.Command
}

// verbs returns the table of verbs.
func verbs() []verb {
	return []verb{
		{group: groupSystems, command: &kvVerb{}},
		{group: groupSystems, command: &listVerb{}},
		{group: groupSystems, command: &weightsVerb{}},
		{group: groupSystems, command: &engineVerb{}},
		{group: groupSystems, command: &serviceVerb{}},
		{group: groupDeployment, command: &upVerb{}},
		{group: groupDeployment, command: &downVerb{}},
		{group: groupDeployment, command: &demoVerb{}},
		{group: groupMeasure, command: &measureVerb{}},
		{group: groupMeasure, command: &capacityVerb{}},
		{command: &versionVerb{}},
	}
}

// Main runs the verb given by the arguments and returns the exit code: 0 success, 1 failure, 2 wrong usage.
func Main(ctx context.Context, arguments []string) int {
	flags := flag.NewFlagSet(arguments[0], flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "lacewingstand")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	for _, entry := range verbs() {
		commander.Register(entry.command, entry.group)
	}
	if err := flags.Parse(arguments[1:]); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}

// exitStatus prints an error, if any, and returns the exit status.
func exitStatus(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, "lacewingstand:", err)
	return subcommands.ExitFailure
}

// -----------------------------------------------------------------------------------------------

// versionVerb prints the version of the program.
type versionVerb struct{}

func (*versionVerb) Name() string             { return "version" }
func (*versionVerb) Synopsis() string         { return "print the version" }
func (*versionVerb) Usage() string            { return "version\n\tPrint the version of this program.\n" }
func (*versionVerb) SetFlags(_ *flag.FlagSet) {}

func (*versionVerb) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Printf("event=version program=lacewingstand Version=%s\n", version)
	return subcommands.ExitSuccess
}
