// The verb status: shows on which instances which revision is in force, and since when.

package control

import (
	"context"
	"flag"
	"strconv"

	"github.com/google/subcommands"

	"lacewingrock.example/lacewingrock/internal/operator/message"
)

type statusVerb struct {
	program *Program
	output  output
}

// Name of the verb.
func (*statusVerb) Name() string { return "status" }

// Synopsis is one line for the list of verbs.
func (*statusVerb) Synopsis() string { return "show which revision is in force on which instance" }

// Usage is the help text.
func (*statusVerb) Usage() string {
	return `status [-o table|json]
  Shows each instance with the revision in force there, as last heard, since when, and whether it can
  be reached. A resource is in force on an instance whose revision is at least its ResourceVersion.
`
}

// SetFlags sets the verb's flags.
func (v *statusVerb) SetFlags(f *flag.FlagSet) { v.output.setFlags(f) }

// Execute carries the verb out.
func (v *statusVerb) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return v.program.finish(v.run(ctx, f))
}

func (v *statusVerb) run(ctx context.Context, f *flag.FlagSet) error {
	c, _, err := v.program.begin(f, v.output)
	if err != nil {
		return err
	}
	status, err := c.Status(ctx)
	if err != nil {
		return err
	}
	return v.output.print(v.program.Out, status, statusTable(status))
}

func statusTable(status message.Status) table {
	t := table{heading: []string{"INSTANCE", "DATACENTRE", "REVISION", "INFORCESINCE", "REACHABLE"}}
	for _, i := range status.Instances {
		t.add(i.Name, i.DataCentre, strconv.FormatInt(i.Revision, 10), i.InForceSince, strconv.FormatBool(i.Reachable))
	}
	return t
}
