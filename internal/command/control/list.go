// The command list: shows all resources of a kind.

package control

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"lacewingrock.example/lacewingrock/internal/operator/message"
)

type listVerb struct {
	program *Program
	output  output
}

// Name returns the name of the command.
func (*listVerb) Name() string { return "list" }

// Synopsis returns the line for the list of commands.
func (*listVerb) Synopsis() string { return "show all resources of a kind" }

// Usage returns the help text.
func (*listVerb) Usage() string {
	return `list KIND [-o table|json]
  Shows all resources of a kind as they are in force at the instance. Kinds: BaseModel, Workspace,
  Key, Adapter, AdapterVersion, Upstream, Service.
`
}

// SetFlags registers the flags of the command.
func (v *listVerb) SetFlags(f *flag.FlagSet) { v.output.setFlags(f) }

// Execute runs the command.
func (v *listVerb) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return v.program.finish(v.run(ctx, f))
}

func (v *listVerb) run(ctx context.Context, f *flag.FlagSet) error {
	c, values, err := v.program.begin(f, v.output, "KIND")
	if err != nil {
		return err
	}
	resources, err := c.List(ctx, values[0])
	if err != nil {
		return err
	}
	return printResources(v.program, v.output, resources)
}

func printResources(p *Program, o output, resources message.Resources) error {
	t, err := resourceTable(resources.Resources)
	if err != nil {
		return err
	}
	return o.print(p.Out, resources, t)
}
