package deployment

// A deployment: which processes there are, how each is told of the others, and in which order they
// start. The instances come last, and the example configuration is applied once they listen.

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Deployment is set up by its exported fields before Start.
//
// Binaries is the directory of lacewingd, lacewingctl and lacewingstand; Directory takes settings,
// records and output. Template is the resource file to apply (empty: none is applied). Through, if
// not nil, gives the address at which client ("" for all of them) is told to find a process: it is
// how a test puts a proxy between them. The extra arguments go to the stand-ins of that kind.
type Deployment struct {
	Binaries        string
	Directory       string
	Template        string
	Engines         int
	EngineSlots     int
	EngineBatch     int
	Services        int
	Instances       int
	StoreArguments  []string
	WeightArguments []string
	EngineArguments []string
	// CheckFencing tells whether the engine of a number (from 0) checks fencing; nil: all do.
	CheckFencing func(number int) bool
	ProxyAddress func(client, name, address string) string
	// ExtraSettings is added to the settings file of each instance.
	ExtraSettings string

	Store            *Process
	List             *Process
	Weights          *Process
	EngineProcesses  []*Process
	ServiceProcesses []*Process
	// InstanceProcesses are the entry instances.
	InstanceProcesses []*Process

	OperatorToken string
	// OnStart, if not nil, is called with each process that was started.
	OnStart func(*Process)
}

// DataCentres of the example, given out in turn.
var dataCentres = []string{"kingston", "spanish-town", "portmore"}

// Slots and batch places of the engines when the deployment does not say.
const (
	usualEngineSlots = 4
	usualEngineBatch = 8
)

// Start starts everything and applies the template. On failure it stops what it started.
func (d *Deployment) Start(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			d.KillAll()
		}
	}()
	if err := os.MkdirAll(d.Directory, 0o700); err != nil {
		return err
	}
	if d.EngineSlots == 0 {
		d.EngineSlots = usualEngineSlots
	}
	if d.EngineBatch == 0 {
		d.EngineBatch = usualEngineBatch
	}
	d.OperatorToken, err = secret()
	if err != nil {
		return err
	}
	if err := d.startSystems(ctx); err != nil {
		return err
	}
	for number := range d.Instances {
		if err := d.startInstance(ctx, number); err != nil {
			return err
		}
	}
	if err := d.UpdateList(ctx); err != nil {
		return err
	}
	if d.Instances == 0 || d.Template == "" {
		return nil
	}
	return d.applyTemplate(ctx)
}

func (d *Deployment) startSystems(ctx context.Context) (err error) {
	if d.Store, err = d.startStandin(ctx, "kv", "kv", d.StoreArguments...); err != nil {
		return err
	}
	if d.List, err = d.startStandin(ctx, "list", "list"); err != nil {
		return err
	}
	if d.Weights, err = d.startStandin(ctx, "weights", "weights", d.WeightArguments...); err != nil {
		return err
	}
	for number := range d.Engines {
		started, err := d.startEngine(ctx, number)
		if err != nil {
			return err
		}
		d.EngineProcesses = append(d.EngineProcesses, started)
	}
	for number := range d.Services {
		name := fmt.Sprintf("service-%d", number+1)
		started, err := d.startStandin(ctx, name, "service", "-name", "bookings", "-record", d.RecordPath(name))
		if err != nil {
			return err
		}
		d.ServiceProcesses = append(d.ServiceProcesses, started)
	}
	return nil
}

func (d *Deployment) startEngine(ctx context.Context, number int) (*Process, error) {
	name := fmt.Sprintf("engine-%d", number+1)
	arguments := []string{
		"-name", name,
		"-weights", d.Weights.Announced("Address"),
		"-record", d.RecordPath(name),
		fmt.Sprintf("-slots=%d", d.EngineSlots),
		fmt.Sprintf("-batch=%d", d.EngineBatch),
		fmt.Sprintf("-check-fencing=%t", d.ChecksFencing(number)),
	}
	return d.startStandin(ctx, name, "engine", append(arguments, d.EngineArguments...)...)
}

// ChecksFencing tells whether an engine checks fencing.
func (d *Deployment) ChecksFencing(number int) bool {
	return d.CheckFencing == nil || d.CheckFencing(number)
}

// RecordPath is the file that keeps the record of a stand-in.
func (d *Deployment) RecordPath(name string) string {
	return filepath.Join(d.Directory, name+".jsonl")
}

func (d *Deployment) startStandin(ctx context.Context, name, verb string, arguments ...string) (*Process, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	control, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	started := &Process{
		Name:      name,
		Path:      filepath.Join(d.Binaries, "lacewingstand"),
		Arguments: append([]string{verb, "-address", address, "-control", control}, arguments...),
		Directory: d.Directory,
	}
	if err := started.Start(ctx); err != nil {
		return nil, err
	}
	d.started(started)
	return started, nil
}

func (d *Deployment) started(process *Process) {
	if d.OnStart != nil {
		d.OnStart(process)
	}
}

// through is the address of a process as a client is told it.
func (d *Deployment) through(client string, process *Process, announced string) string {
	address := process.Announced(announced)
	if d.ProxyAddress == nil {
		return address
	}
	return d.ProxyAddress(client, process.Name, address)
}

// -----------------------------------------------------------------------------------------------

// Systems are the processes of the outside systems.
func (d *Deployment) Systems() []*Process {
	var systems []*Process
	for _, process := range []*Process{d.Store, d.List, d.Weights} {
		if process != nil {
			systems = append(systems, process)
		}
	}
	systems = append(systems, d.EngineProcesses...)
	return append(systems, d.ServiceProcesses...)
}

// KillAll ends every process at once.
func (d *Deployment) KillAll() {
	for _, process := range append(d.InstanceProcesses, d.Systems()...) {
		_ = process.Unfreeze()
		_ = process.Kill()
	}
}

// Stop stops the instances as planned and then the outside systems.
func (d *Deployment) Stop(ctx context.Context) (err error) {
	for _, process := range append(d.InstanceProcesses, d.Systems()...) {
		if failure := process.Stop(ctx); failure != nil {
			err = errors.WithMessage(failure, "stop deployment")
		}
	}
	return err
}

// secret makes a random token.
func secret() (string, error) {
	raw := make([]byte, 24)
	if _, err := rand.Read(raw); err != nil {
		return "", err
	}
	return hex.EncodeToString(raw), nil
}
