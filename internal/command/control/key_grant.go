// The command key grant: creates a caller's key and shows its secret once.

package control

import (
	"context"
	"flag"
	"strconv"
	"time"

	"github.com/google/subcommands"
)

type keyGrantVerb struct {
	program   *Program
	output    output
	workspace string
	name      string
	wait      time.Duration
}

// Name returns the name of the command.
func (*keyGrantVerb) Name() string { return "grant" }

// Synopsis returns the line for the list of commands.
func (*keyGrantVerb) Synopsis() string { return "create a caller's key and show its secret once" }

// Usage returns the help text.
func (*keyGrantVerb) Usage() string {
	return `key grant -workspace W -name N [-wait 5s] [-o table|json]
  Creates a key for a workspace. The secret is shown only this time; only its hash is stored. If the
  response is lost, withdraw the key by its name and grant another.
`
}

// SetFlags registers the flags of the command.
func (v *keyGrantVerb) SetFlags(f *flag.FlagSet) {
	v.output.setFlags(f)
	f.StringVar(&v.workspace, "workspace", "", "the workspace the key is for")
	f.StringVar(&v.name, "name", "", "the key's name, which is not secret")
	setWait(f, &v.wait)
}

// Execute runs the command.
func (v *keyGrantVerb) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return v.program.finish(v.run(ctx, f))
}

func (v *keyGrantVerb) run(ctx context.Context, f *flag.FlagSet) error {
	c, _, err := v.program.begin(f, v.output)
	if err != nil {
		return err
	}
	if v.workspace == "" || v.name == "" {
		return usageError("give -workspace and -name")
	}
	granted, err := c.GrantKey(ctx, v.workspace, v.name, v.wait)
	if err != nil {
		return err
	}
	t := table{heading: []string{"NAME", "WORKSPACE", "RESOURCEVERSION", "SECRET"}}
	t.add(granted.Name, granted.Workspace, strconv.FormatInt(granted.Accepted.Revision, 10), granted.Secret)
	if err := v.output.print(v.program.Out, granted, t); err != nil {
		return err
	}
	return inForce(granted.Accepted, v.wait > 0)
}
