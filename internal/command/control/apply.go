// The command apply: declares the resources of a file, all of them or none.

package control

import (
	"context"
	"flag"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"
)

type applyVerb struct {
	program *Program
	output  output
	file    string
	wait    time.Duration
}

// Name returns the name of the command.
func (*applyVerb) Name() string { return "apply" }

// Synopsis returns the line for the list of commands.
func (*applyVerb) Synopsis() string { return "declare the resources of a file, all or none" }

// Usage returns the help text.
func (*applyVerb) Usage() string {
	return `apply -f FILE [-wait 5s] [-o table|json]
  Declares the resources of a JSON file {"Resources": [{"Kind": ..., "Name": ..., ...}]}.
  Either all are accepted or none. A resource with the ResourceVersion it was read at is refused as
  a conflict when it has changed since; 0 means that it must be new. A resource without a
  ResourceVersion replaces any version. Applying the same file again changes nothing.
`
}

// SetFlags registers the flags of the command.
func (v *applyVerb) SetFlags(f *flag.FlagSet) {
	v.output.setFlags(f)
	f.StringVar(&v.file, "f", "", "the file, or - for standard input")
	setWait(f, &v.wait)
}

// Execute runs the command.
func (v *applyVerb) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return v.program.finish(v.run(ctx, f))
}

func (v *applyVerb) run(ctx context.Context, f *flag.FlagSet) error {
	c, _, err := v.program.begin(f, v.output)
	if err != nil {
		return err
	}
	if v.file == "" {
		return usageError("name a file with -f")
	}
	file, err := v.read()
	if err != nil {
		return err
	}
	accepted, err := c.Apply(ctx, file, v.wait)
	if err != nil {
		return err
	}
	if err := v.output.print(v.program.Out, accepted, acceptedTable(accepted)); err != nil {
		return err
	}
	return inForce(accepted, v.wait > 0)
}

func (v *applyVerb) read() ([]byte, error) {
	if v.file == "-" {
		return io.ReadAll(v.program.In)
	}
	return os.ReadFile(v.file)
}

// setWait defines the flag -wait of a command that makes a change.
func setWait(f *flag.FlagSet, wait *time.Duration) {
	f.DurationVar(wait, "wait", 0, "wait up to that long until the change is in force on every instance, at most 25s")
}
