// The command get: shows one resource.

package control

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

type getVerb struct {
	program *Program
	output  output
}

// Name returns the name of the command.
func (*getVerb) Name() string { return "get" }

// Synopsis returns the line for the list of commands.
func (*getVerb) Synopsis() string { return "show one resource" }

// Usage returns the help text.
func (*getVerb) Usage() string {
	return `get KIND NAME [-o table|json]
  Shows one resource as it is in force at the instance. Kinds: BaseModel, Workspace, Key, Adapter,
  AdapterVersion, Upstream, Service. The JSON can be changed and applied again.
`
}

// SetFlags registers the flags of the command.
func (v *getVerb) SetFlags(f *flag.FlagSet) { v.output.setFlags(f) }

// Execute runs the command.
func (v *getVerb) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return v.program.finish(v.run(ctx, f))
}

func (v *getVerb) run(ctx context.Context, f *flag.FlagSet) error {
	c, values, err := v.program.begin(f, v.output, "KIND", "NAME")
	if err != nil {
		return err
	}
	resources, err := c.Get(ctx, values[0], values[1])
	if err != nil {
		return err
	}
	return printResources(v.program, v.output, resources)
}
