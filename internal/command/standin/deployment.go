package standin

// The verbs up and down: a small deployment on loopback, for trials by hand.

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"lacewingrock.example/lacewingrock/internal/standin/deployment"
)

// sizes are the flags of a deployment.
type sizes struct {
	directory string
	template  string
	engines   int
	services  int
	instances int
}

func (s *sizes) set(flags *flag.FlagSet) {
	flags.StringVar(&s.directory, "directory", ".run", "where settings, records and output go")
	flags.StringVar(&s.template, "template", filepath.Join("examples", "cooperatives.json.tmpl"), "resources to apply")
	flags.IntVar(&s.engines, "engines", 2, "number of engines")
	flags.IntVar(&s.services, "services", 1, "number of plain services")
	flags.IntVar(&s.instances, "instances", 3, "number of entry instances")
}

// start starts the deployment and grants a key of each example workspace.
func (s *sizes) start(ctx context.Context) (environment deployment.Environment, err error) {
	defer func() { err = errors.WithMessage(err, "up") }()
	d, ledger, err := s.prepare()
	if err != nil {
		return environment, err
	}
	environment.Deployment = d
	if err := d.Start(ctx); err != nil {
		return environment, err
	}
	defer func() {
		if err != nil {
			err = errors.WithMessage(err, fmt.Sprint("stopped again, ", ledger.Down(context.WithoutCancel(ctx))))
		}
	}()
	if s.instances > 0 {
		if environment.KeyA, err = d.Grant(ctx, deployment.WorkspaceA, "key-a"); err != nil {
			return environment, err
		}
		if environment.KeyB, err = d.Grant(ctx, deployment.WorkspaceB, "key-b"); err != nil {
			return environment, err
		}
		if err = d.AwaitKeys(ctx, environment.KeyA, environment.KeyB); err != nil {
			return environment, err
		}
	}
	return environment, environment.Write()
}

// prepare clears what an earlier deployment left, unless that still runs.
func (s *sizes) prepare() (*deployment.Deployment, deployment.ProcessFile, error) {
	directory, err := filepath.Abs(s.directory)
	if err != nil {
		return nil, deployment.ProcessFile{}, err
	}
	ledger := deployment.ProcessFile{Directory: directory}
	running, err := ledger.Running()
	if err != nil {
		return nil, ledger, err
	}
	if len(running) > 0 {
		return nil, ledger, errors.Errorf("%d processes of an earlier deployment still run in %s; stop them with down",
			len(running), s.directory)
	}
	if err := os.RemoveAll(directory); err != nil {
		return nil, ledger, err
	}
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return nil, ledger, err
	}
	program, err := os.Executable()
	if err != nil {
		return nil, ledger, err
	}
	return &deployment.Deployment{
		Binaries:  filepath.Dir(program),
		Directory: directory,
		Template:  s.template,
		Engines:   s.engines,
		Services:  s.services,
		Instances: s.instances,
		// One engine ignores fencing, as some do.
		CheckFencing: func(number int) bool { return number%2 == 0 },
		OnStart: func(process *deployment.Process) {
			if err := ledger.Add(process); err != nil {
				fmt.Fprintln(os.Stderr, "lacewingstand:", err)
			}
		},
	}, ledger, nil
}

func (s *sizes) stop(ctx context.Context) error {
	directory, err := filepath.Abs(s.directory)
	if err != nil {
		return err
	}
	return deployment.ProcessFile{Directory: directory}.Down(ctx)
}

// -----------------------------------------------------------------------------------------------

type upVerb struct{ sizes sizes }

func (*upVerb) Name() string     { return "up" }
func (*upVerb) Synopsis() string { return "start a small deployment on loopback" }
func (*upVerb) Usage() string {
	return "up [flags]\n\tStart the outside systems and entry instances, apply the example configuration, and\n" +
		"\twrite addresses, keys and process ids to DIRECTORY/env.\n"
}
func (v *upVerb) SetFlags(flags *flag.FlagSet) { v.sizes.set(flags) }

func (v *upVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	environment, err := v.sizes.start(ctx)
	if err != nil {
		return exit(err)
	}
	fmt.Printf("event=up Environment=%s\n", filepath.Join(environment.Deployment.Directory, "env"))
	return subcommands.ExitSuccess
}

type downVerb struct{ sizes sizes }

func (*downVerb) Name() string     { return "down" }
func (*downVerb) Synopsis() string { return "stop the deployment that up started" }
func (*downVerb) Usage() string {
	return "down [flags]\n\tStop just the processes that up started: instances first, then the outside systems.\n"
}

func (v *downVerb) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&v.sizes.directory, "directory", ".run", "where up wrote")
}

func (v *downVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := v.sizes.stop(ctx); err != nil {
		return exit(err)
	}
	fmt.Println("event=down")
	return subcommands.ExitSuccess
}
