// The command delete: removes a resource.

package control

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"
)

type deleteVerb struct {
	program *Program
	output  output
	version int64
	wait    time.Duration
}

// Name returns the name of the command.
func (*deleteVerb) Name() string { return "delete" }

// Synopsis returns the line for the list of commands.
func (*deleteVerb) Synopsis() string { return "remove a resource" }

// Usage returns the help text.
func (*deleteVerb) Usage() string {
	return `delete KIND NAME [-version N] [-wait 5s] [-o table|json]
  Removes a resource. With -version it is refused as a conflict when the resource has another
  ResourceVersion. Removing a resource that others refer to is refused as invalid.
`
}

// SetFlags registers the flags of the command.
func (v *deleteVerb) SetFlags(f *flag.FlagSet) {
	v.output.setFlags(f)
	f.Int64Var(&v.version, "version", 0, "the ResourceVersion it was read at; 0: any")
	setWait(f, &v.wait)
}

// Execute runs the command.
func (v *deleteVerb) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return v.program.finish(v.run(ctx, f))
}

func (v *deleteVerb) run(ctx context.Context, f *flag.FlagSet) error {
	c, values, err := v.program.begin(f, v.output, "KIND", "NAME")
	if err != nil {
		return err
	}
	accepted, err := c.Delete(ctx, values[0], values[1], v.version, v.wait)
	if err != nil {
		return err
	}
	if err := v.output.print(v.program.Out, accepted, acceptedTable(accepted)); err != nil {
		return err
	}
	return inForce(accepted, v.wait > 0)
}
