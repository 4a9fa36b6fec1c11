package deployment

// The files that "up" writes into its directory: shell variables for users of the deployment, and a list of
// the processes, so that "down" stops these and no others.

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

// Names from the example configuration that are used by the environment and the demo.
const (
	WorkspaceA     = "kingston-crews"
	WorkspaceB     = "attica-grounds"
	AdapterA       = "bid-estimates"
	AdapterB       = "feeding-plans"
	BookingService = "bookings"
)

// Environment holds what a user needs to know about a running deployment. KeyA and KeyB are API keys of
// WorkspaceA and WorkspaceB.
type Environment struct {
	Deployment *Deployment
	KeyA       string
	KeyB       string
}

// Lines returns the shell lines "Name=value". Values are quoted where necessary.
func (e Environment) Lines() string {
	d := e.Deployment
	var lines strings.Builder
	line := func(name string, values ...string) {
		fmt.Fprintf(&lines, "%s=%s\n", name, quote(strings.Join(values, " ")))
	}
	line("Instances", announcedValues(d.InstanceProcesses, "CallerAddress")...)
	line("Operators", announcedValues(d.InstanceProcesses, "OperatorAddress")...)
	line("Peers", announcedValues(d.InstanceProcesses, "PeerAddress")...)
	line("Engines", announcedValues(d.EngineProcesses, "ControlAddress")...)
	line("EngineAddresses", announcedValues(d.EngineProcesses, "Address")...)
	line("Services", announcedValues(d.ServiceProcesses, "ControlAddress")...)
	line("ServiceAddresses", announcedValues(d.ServiceProcesses, "Address")...)
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

// Write writes the lines to the file "env" in the deployment's directory. The file contains secrets and is
// readable by its owner only.
func (e Environment) Write() error {
	return os.WriteFile(filepath.Join(e.Deployment.Directory, "env"), []byte(e.Lines()), 0o600)
}

func announcedValues(processes []*Process, name string) []string {
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

// StartedProcess is one line of the process file. CommandLine identifies the process, because the process
// ID may belong to another process by the time that "down" runs.
type StartedProcess struct {
	Name        string
	Pid         int
	CommandLine string
}

// ProcessFile records started processes in a file in Directory.
type ProcessFile struct {
	Directory string
}

func (l ProcessFile) path() string { return filepath.Join(l.Directory, "processes.jsonl") }

// Add records a process.
func (l ProcessFile) Add(process *Process) (err error) {
	defer func() { err = errors.WithMessage(err, "record process") }()
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

// Running returns the recorded processes that are still running.
func (l ProcessFile) Running() (running []StartedProcess, err error) {
	defer func() { err = errors.WithMessage(err, "read recorded processes") }()
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
		var record StartedProcess
		if err := decoder.Decode(&record); err != nil {
			return nil, err
		}
		if record.isAlive() {
			running = append(running, record)
		}
	}
	return running, nil
}

// isAlive reports whether the process ID still belongs to the process that was recorded.
func (s StartedProcess) isAlive() bool {
	return s.Pid > 0 && s.CommandLine != "" && commandLine(s.Pid) == s.CommandLine
}

// commandLine returns the command line of a process. It is empty for a process that has ended or is not yet
// reaped.
func commandLine(pid int) string {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid))
	if err != nil {
		return ""
	}
	return strings.TrimSpace(strings.ReplaceAll(string(raw), "\x00", " "))
}

// Clear deletes the process file.
func (l ProcessFile) Clear() error {
	err := os.Remove(l.path())
	if os.IsNotExist(err) {
		return nil
	}
	return err
}

// StopTimeout is how long "down" waits for the instances, and then for the other processes, to stop.
const StopTimeout = 30 * time.Second

// Down stops the recorded processes and deletes the process file. Instances are stopped first, so that they
// can finish their requests. A process that does not stop within StopTimeout is killed and named in the
// error.
func (l ProcessFile) Down(ctx context.Context) (err error) {
	running, err := l.Running()
	if err != nil {
		return err
	}
	var instances, systems []StartedProcess
	for _, record := range running {
		if strings.HasPrefix(record.Name, "instance-") {
			instances = append(instances, record)
		} else {
			systems = append(systems, record)
		}
	}
	forced := append(stopAll(ctx, instances), stopAll(ctx, systems)...)
	if err := l.Clear(); err != nil {
		return err
	}
	if len(forced) > 0 {
		return errors.Errorf("processes killed because they did not stop in time: %s", strings.Join(forced, ", "))
	}
	return nil
}

// stopAll sends SIGTERM to processes, waits up to StopTimeout, kills those that have not ended and returns
// their names.
func stopAll(ctx context.Context, processes []StartedProcess) (forced []string) {
	stopCtx, cancel := context.WithTimeout(ctx, StopTimeout)
	defer cancel()
	for _, process := range processes {
		process.sendSignal(syscall.SIGCONT)
		process.sendSignal(syscall.SIGTERM)
	}
	for _, process := range processes {
		if !process.awaitEnd(stopCtx) {
			process.sendSignal(syscall.SIGKILL)
			forced = append(forced, process.Name)
		}
	}
	return forced
}

func (s StartedProcess) sendSignal(signal syscall.Signal) {
	if s.isAlive() {
		_ = syscall.Kill(s.Pid, signal)
	}
}

func (s StartedProcess) awaitEnd(ctx context.Context) bool {
	for s.isAlive() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pollInterval):
		}
	}
	return true
}
