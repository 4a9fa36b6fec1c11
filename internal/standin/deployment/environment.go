package deployment

// What "up" leaves in its directory: a file of shell variables for whoever tries the deployment, and a
// file of the processes, by which "down" ends these and no others.

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Names in the example configuration that the environment and the demo use.
const (
	WorkspaceA     = "kingston-crews"
	WorkspaceB     = "attica-grounds"
	AdapterA       = "bid-estimates"
	AdapterB       = "feeding-plans"
	BookingService = "bookings"
)

// Environment is what a trial needs to know of a running deployment.
type Environment struct {
	Deployment *Deployment
	KeyA       string
	KeyB       string
}

// Lines gives the shell lines "Name=value", the values quoted where they hold spaces.
func (e Environment) Lines() string {
	d := e.Deployment
	var lines strings.Builder
	line := func(name string, values ...string) {
		fmt.Fprintf(&lines, "%s=%s\n", name, quote(strings.Join(values, " ")))
	}
	line("Instances", announced(d.InstanceProcesses, "CallerAddress")...)
	line("Operators", announced(d.InstanceProcesses, "OperatorAddress")...)
	line("Peers", announced(d.InstanceProcesses, "PeerAddress")...)
	line("Engines", announced(d.EngineProcesses, "ControlAddress")...)
	line("EngineAddresses", announced(d.EngineProcesses, "Address")...)
	line("Services", announced(d.ServiceProcesses, "ControlAddress")...)
	line("ServiceAddresses", announced(d.ServiceProcesses, "Address")...)
	line("Store", d.Store.Announced("ControlAddress"))
	line("StoreAddress", d.Store.Announced("Address"))
	line("List", d.List.Announced("ControlAddress"))
	line("ListAddress", d.List.Announced("Address"))
	line("Weights", d.Weights.Announced("ControlAddress"))
	line("WeightsAddress", d.Weights.Announced("Address"))
	line("OperatorToken", d.OperatorToken)
	line("KeyA", e.KeyA)
	line("KeyB", e.KeyB)
	line("WorkspaceA", WorkspaceA)
	line("WorkspaceB", WorkspaceB)
	line("AdapterA", AdapterA)
	line("AdapterB", AdapterB)
	line("InstancePids", pids(d.InstanceProcesses)...)
	line("EnginePids", pids(d.EngineProcesses)...)
	line("ServicePids", pids(d.ServiceProcesses)...)
	line("StorePid", pids([]*Process{d.Store})...)
	line("ListPid", pids([]*Process{d.List})...)
	line("WeightsPid", pids([]*Process{d.Weights})...)
	return lines.String()
}

// Write puts the lines into the file "env" of the deployment's directory, which holds secrets and is
// readable by its owner only.
func (e Environment) Write() error {
	return os.WriteFile(filepath.Join(e.Deployment.Directory, "env"), []byte(e.Lines()), 0o600)
}

func announced(processes []*Process, name string) []string {
	values := make([]string, 0, len(processes))
	for _, process := range processes {
		values = append(values, process.Announced(name))
	}
	return values
}

func pids(processes []*Process) []string {
	values := make([]string, 0, len(processes))
	for _, process := range processes {
		values = append(values, strconv.Itoa(process.Pid()))
	}
	return values
}

func quote(value string) string {
	if strings.ContainsAny(value, " \t'\"$\\") || value == "" {
		return "'" + strings.ReplaceAll(value, "'", `'\''`) + "'"
	}
	return value
}

// -----------------------------------------------------------------------------------------------

// StartedProcess is one line of the file of processes. CommandLine is how the process is known again: a
// process id may belong to another's process by the time that "down" runs.
type StartedProcess struct {
	Name        string
	Pid         int
	CommandLine string
}

// ProcessFile notes started processes in a file.
type ProcessFile struct {
	Directory string
}

func (l ProcessFile) path() string { return filepath.Join(l.Directory, "processes.jsonl") }

// Add notes a process.
func (l ProcessFile) Add(process *Process) (err error) {
	defer func() { err = errors.WithMessage(err, "note process") }()
	file, err := os.OpenFile(l.path(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return json.NewEncoder(file).Encode(StartedProcess{
		Name:        process.Name,
		Pid:         process.Pid(),
		CommandLine: commandLine(process.Pid()),
	})
}

// Running lists the noted processes that are still there and still the same.
func (l ProcessFile) Running() (running []StartedProcess, err error) {
	defer func() { err = errors.WithMessage(err, "read processes") }()
	file, err := os.Open(l.path())
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	decoder := json.NewDecoder(file)
	for decoder.More() {
		var noted StartedProcess
		if err := decoder.Decode(&noted); err != nil {
			return nil, err
		}
		if noted.alive() {
			running = append(running, noted)
		}
	}
	return running, nil
}

// alive tells whether the process id still belongs to the process that was noted.
func (s StartedProcess) alive() bool {
	return s.Pid > 0 && s.CommandLine != "" && commandLine(s.Pid) == s.CommandLine
}

// commandLine reads a process's command line; it is empty for one that is gone or not yet reaped.
func commandLine(pid int) string {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid))
	if err != nil {
		return ""
	}
	return strings.TrimSpace(strings.ReplaceAll(string(raw), "\x00", " "))
}

// Clear forgets the processes.
func (l ProcessFile) Clear() error {
	err := os.Remove(l.path())
	if os.IsNotExist(err) {
		return nil
	}
	return err
}

// StopTimeout is how long "down" lets instances finish what they run.
const StopTimeout = 30 * time.Second

// Down stops the noted processes, instances first so that they can end their requests, and forgets
// them. What does not stop within the limit is killed and named in the error.
func (l ProcessFile) Down(ctx context.Context) (err error) {
	running, err := l.Running()
	if err != nil {
		return err
	}
	var instances, systems []StartedProcess
	for _, noted := range running {
		if strings.HasPrefix(noted.Name, "instance-") {
			instances = append(instances, noted)
		} else {
			systems = append(systems, noted)
		}
	}
	forced := append(stopAll(ctx, instances), stopAll(ctx, systems)...)
	if err := l.Clear(); err != nil {
		return err
	}
	if len(forced) > 0 {
		return errors.Errorf("killed, as they did not stop: %s", strings.Join(forced, ", "))
	}
	return nil
}

// stopAll asks processes to stop, waits, kills those that did not and returns their names.
func stopAll(ctx context.Context, processes []StartedProcess) (forced []string) {
	limit, cancel := context.WithTimeout(ctx, StopTimeout)
	defer cancel()
	for _, process := range processes {
		process.signal(syscall.SIGCONT)
		process.signal(syscall.SIGTERM)
	}
	for _, process := range processes {
		if !process.awaitEnd(limit) {
			process.signal(syscall.SIGKILL)
			forced = append(forced, process.Name)
		}
	}
	return forced
}

func (s StartedProcess) signal(signal syscall.Signal) {
	if s.alive() {
		_ = syscall.Kill(s.Pid, signal)
	}
}

func (s StartedProcess) awaitEnd(ctx context.Context) bool {
	for s.alive() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pollInterval):
		}
	}
	return true
}
