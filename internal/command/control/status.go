// The command status: shows which revision is in force on each instance, and since when.

package control

import (
	"context"
	"flag"
	"strconv"
	"strings"

	"github.com/google/subcommands"

	"lacewingrock.example/lacewingrock/internal/catalog/codec"
	"lacewingrock.example/lacewingrock/internal/operator/message"
)

type statusVerb struct {
	program *Program
	output  output
}

// Name returns the name of the command.
func (*statusVerb) Name() string { return "status" }

// Synopsis returns the line for the list of commands.
func (*statusVerb) Synopsis() string { return "show which revision is in force on which instance" }

// Usage returns the help text.
func (*statusVerb) Usage() string {
	return `status [KIND NAME] [-o table|json]
  Shows for each instance the last reported revision in force there, since when, and whether the
  instance is reachable. With KIND and NAME it also shows on which instances the last change of that
  resource is in force: those whose revision is at least its ResourceVersion.
`
}

// SetFlags registers the flags of the command.
func (v *statusVerb) SetFlags(f *flag.FlagSet) { v.output.setFlags(f) }

// Execute runs the command.
func (v *statusVerb) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return v.program.finish(v.run(ctx, f))
}

func (v *statusVerb) run(ctx context.Context, f *flag.FlagSet) error {
	if f.NArg() > 0 && !strings.HasPrefix(f.Arg(0), "-") {
		return v.runOfResource(ctx, f)
	}
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

// resourceStatus lists the instances on which the last change of one resource is in force.
type resourceStatus struct {
	Kind            string
	Name            string
	ResourceVersion int64
	Instances       []resourceInstance
}

type resourceInstance struct {
	message.Instance
	InForce bool
}

func (v *statusVerb) runOfResource(ctx context.Context, f *flag.FlagSet) error {
	c, values, err := v.program.begin(f, v.output, "KIND", "NAME")
	if err != nil {
		return err
	}
	resources, err := c.Get(ctx, values[0], values[1])
	if err != nil {
		return err
	}
	r, _, err := codec.DecodeResource(resources.Resources[0])
	if err != nil {
		return err
	}
	status, err := c.Status(ctx)
	if err != nil {
		return err
	}
	shown := resourceStatus{Kind: values[0], Name: values[1], ResourceVersion: r.ResourceVersion()}
	t := table{heading: []string{"INSTANCE", "DATACENTRE", "RESOURCEVERSION", "INFORCE", "REVISION", "REACHABLE"}}
	for _, i := range status.Instances {
		inForce := i.Revision >= shown.ResourceVersion
		shown.Instances = append(shown.Instances, resourceInstance{Instance: i, InForce: inForce})
		t.add(i.Name, i.DataCentre, strconv.FormatInt(shown.ResourceVersion, 10), strconv.FormatBool(inForce),
			strconv.FormatInt(i.Revision, 10), strconv.FormatBool(i.Reachable))
	}
	return v.output.print(v.program.Out, shown, t)
}

func statusTable(status message.Status) table {
	t := table{heading: []string{"INSTANCE", "DATACENTRE", "REVISION", "INFORCESINCE", "REACHABLE"}}
	for _, i := range status.Instances {
		t.add(i.Name, i.DataCentre, strconv.FormatInt(i.Revision, 10), i.InForceSince, strconv.FormatBool(i.Reachable))
	}
	return t
}
