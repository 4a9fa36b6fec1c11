package standin

// The verbs up and down: start and stop a small deployment on loopback, for manual tests.

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

// deploymentFlags are the flags of the verbs that start a deployment.
type deploymentFlags struct {
	directory string
	template  string
	engines   int
	services  int
	instances int
}

func (s *deploymentFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&s.directory, "directory", ".run", "directory for settings, records and output")
	flags.StringVar(&s.template, "template", filepath.Join("examples", "cooperatives.json.tmpl"), "resource template to apply")
	flags.IntVar(&s.engines, "engines", 2, "number of engines")
	flags.IntVar(&s.services, "services", 1, "number of plain services")
	flags.IntVar(&s.instances, "instances", 3, "number of entry instances")
}

// start starts the deployment and grants a key for each example workspace.
func (s *deploymentFlags) start(ctx context.Context) (environment deployment.Environment, err error) {
	defer func() { err = errors.WithMessage(err, "up") }()
	d, processes, err := s.prepare()
	if err != nil {
		return environment, err
	}
	environment.Deployment = d
	if err := d.Start(ctx); err != nil {
		return environment, err
	}
	defer func() {
		if err != nil {
			err = errors.WithMessage(err, fmt.Sprint("deployment stopped, error of the stop: ", processes.Down(context.WithoutCancel(ctx))))
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

// prepare deletes the files of an earlier deployment, unless that is still running.
func (s *deploymentFlags) prepare() (*deployment.Deployment, deployment.ProcessFile, error) {
	directory, err := filepath.Abs(s.directory)
	if err != nil {
		return nil, deployment.ProcessFile{}, err
	}
	processes := deployment.ProcessFile{Directory: directory}
	running, err := processes.Running()
	if err != nil {
		return nil, processes, err
	}
	if len(running) > 0 {
		return nil, processes, errors.Errorf("%d processes of an earlier deployment are still running in %s; stop them with down",
			len(running), s.directory)
	}
	if err := os.RemoveAll(directory); err != nil {
		return nil, processes, err
	}
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return nil, processes, err
	}
	program, err := os.Executable()
	if err != nil {
		return nil, processes, err
	}
	return &deployment.Deployment{
		Binaries:  filepath.Dir(program),
		Directory: directory,
		Template:  s.template,
		Engines:   s.engines,
		Services:  s.services,
		Instances: s.instances,
		// Every second engine ignores fencing tokens, as some real engines do.
		CheckFencing: func(number int) bool { return number%2 == 0 },
		OnStart: func(process *deployment.Process) {
			if err := processes.Add(process); err != nil {
				fmt.Fprintln(os.Stderr, "lacewingstand:", err)
			}
		},
	}, processes, nil
}

func (s *deploymentFlags) stop(ctx context.Context) error {
	directory, err := filepath.Abs(s.directory)
	if err != nil {
		return err
	}
	return deployment.ProcessFile{Directory: directory}.Down(ctx)
}

// -----------------------------------------------------------------------------------------------

type upVerb struct{ flags deploymentFlags }

func (*upVerb) Name() string     { return "up" }
func (*upVerb) Synopsis() string { return "start a small deployment on loopback" }
func (*upVerb) Usage() string {
	return "up [flags]\n\tStart the outside systems and entry instances, apply the example configuration, and\n" +
		"\twrite addresses, keys and process ids to DIRECTORY/env.\n"
}
func (v *upVerb) SetFlags(flags *flag.FlagSet) { v.flags.register(flags) }

func (v *upVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	environment, err := v.flags.start(ctx)
	if err != nil {
		return exitStatus(err)
	}
	fmt.Printf("event=up Environment=%s\n", filepath.Join(environment.Deployment.Directory, "env"))
	return subcommands.ExitSuccess
}

type downVerb struct{ flags deploymentFlags }

func (*downVerb) Name() string     { return "down" }
func (*downVerb) Synopsis() string { return "stop the deployment that up started" }
func (*downVerb) Usage() string {
	return "down [flags]\n\tStop only the processes that up started: first the instances, then the outside systems.\n"
}

func (v *downVerb) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&v.flags.directory, "directory", ".run", "directory given to up")
}

func (v *downVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := v.flags.stop(ctx); err != nil {
		return exitStatus(err)
	}
	fmt.Println("event=down")
	return subcommands.ExitSuccess
}
