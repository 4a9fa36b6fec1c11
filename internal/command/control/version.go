// The command version: shows the version of this build.

package control

import (
	"context"
	"flag"
	"runtime/debug"

	"github.com/google/subcommands"
)

type versionVerb struct {
	program *Program
	output  output
}

// build identifies the source of the program; Commit is empty if it was built outside a checkout.
type build struct {
	Version string
	Commit  string
	Go      string
}

// Name returns the name of the command.
func (*versionVerb) Name() string { return "version" }

// Synopsis returns the line for the list of commands.
func (*versionVerb) Synopsis() string { return "show the version of this build" }

// Usage returns the help text.
func (*versionVerb) Usage() string {
	return `version [-o table|json]
  Shows the module's version, the commit and the Go version of this build.
`
}

// SetFlags registers the flags of the command.
func (v *versionVerb) SetFlags(f *flag.FlagSet) { v.output.setFlags(f) }

// Execute runs the command.
func (v *versionVerb) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return v.program.finish(v.run(f))
}

func (v *versionVerb) run(f *flag.FlagSet) error {
	if _, err := arguments(f); err != nil {
		return err
	}
	if err := v.output.check(); err != nil {
		return err
	}
	b := buildOf()
	t := table{heading: []string{"VERSION", "COMMIT", "GO"}}
	t.add(b.Version, b.Commit, b.Go)
	return v.output.print(v.program.Out, b, t)
}

func buildOf() (b build) {
	info, found := debug.ReadBuildInfo()
	if !found {
		return build{}
	}
	b = build{Version: info.Main.Version, Go: info.GoVersion}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			b.Commit = setting.Value
		}
	}
	return b
}
