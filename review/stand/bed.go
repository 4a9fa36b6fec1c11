//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// bed.go starts the machines of a small deployment as real processes, and keeps the record of a case.

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		cleanUp()
		os.Exit(2)
	}
}

var (
	recordMutex sync.Mutex
	recordFile  *os.File
	started     = time.Now()
)

// note writes a line to the record.
func note(format string, arguments ...any) {
	recordMutex.Lock()
	defer recordMutex.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, arguments...))
	fmt.Print(line)
	if recordFile != nil {
		_, _ = recordFile.WriteString(line)
	}
}

// graceTime is grace-s.
const graceTime = 8 * time.Second

// verdict is the exit status of a case.
type verdict int

const (
	ruleHeld    verdict = 0
	ruleBroken  verdict = 1
	couldNotRun verdict = 2
)

func verdictOf(held bool) verdict {
	if held {
		return ruleHeld
	}
	return ruleBroken
}

func zoneOf(i int) string { return []string{"kgn", "spt", "mdv"}[i%3] }

// disrupted reports whether the disruption of the case is to be made.
func disrupted() bool { return os.Getenv("TROUBLE") != "0" }

// machine is one machine of the deployment, which runs the program of the deploy file.
type machine struct {
	name, frontend, ready, peer, metrics, zone string
	settings, log                              string
	command                                    *exec.Cmd
	ended                                      chan struct{}
}

type bed struct {
	store     *store
	directory string
	machines  []*machine
	// contracts are those in force beside the usual ones, and memory are further settings of the section Memory.
	contracts, memory string
	// unfenced: runners check no fences.
	unfenced bool
}

var everyBed []*bed

func cleanUp() {
	for _, b := range everyBed {
		for _, m := range b.machines {
			m.kill()
		}
		_ = os.RemoveAll(b.directory)
	}
}

var taken = map[int]bool{}

// freeAddress returns an address whose port is free, below the ports that the system gives to outgoing connections.
func freeAddress() string {
	for {
		port := 15000 + rand.IntN(17000)
		if taken[port] {
			continue
		}
		taken[port] = true
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		listener.Close()
		return listener.Addr().String()
	}
}

// newBed makes a store with a configuration, and machines that have not been started.
func newBed(machines int, configuration map[string]any) *bed {
	directory, err := os.MkdirTemp("", "review")
	must(err)
	b := &bed{store: newStore(), directory: directory}
	everyBed = append(everyBed, b)
	b.store.put("op/config", configuration)
	for i := range machines {
		m := &machine{
			name: fmt.Sprintf("edge-%d", i+1), frontend: freeAddress(), ready: freeAddress(), peer: freeAddress(), metrics: freeAddress(),
			zone: zoneOf(i),
		}
		m.settings, m.log = filepath.Join(directory, m.name+".ini"), filepath.Join(directory, m.name+".log")
		b.machines = append(b.machines, m)
	}
	return b
}

// writeSettings fills in the settings template of the deploy file as the platform does.
func (b *bed) writeSettings(m *machine) {
	text := fmt.Sprintf(`[Instance]
Name = %s
DataCentre = %s
CallerAddress = %s
ReadyAddress = %s
PeerAddress = %s
MetricsAddress = %s

[Platform]
StoreAddress = %s
Contracts = base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota%s,platform

[Callers]
ChangeWithin = 2000ms

[Upstreams]
FencesChecked = %v
ReturnAfter = 3000ms

[Retries]
Ratio = 0.2
Slack = 54

[Memory]
LimitMB = 284
%s`, m.name, m.zone, m.frontend, m.ready, m.peer, m.metrics, b.store.address, b.contracts, !b.unfenced, b.memory)
	must(os.WriteFile(m.settings, []byte(text), 0o600))
}

// start starts the process of a machine.
func (b *bed) start(m *machine) {
	program, err := filepath.Abs("target/lacewingd")
	must(err)
	m.command = exec.Command(program, "serve")
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LACEWINGROCK_SETTINGS=" + m.settings}
	output, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	m.command.Stdout, m.command.Stderr = output, output
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(m.command.Start())
	m.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(m.command, m.ended)
}

// startAll starts all machines and waits until they are ready.
func (b *bed) startAll() {
	for _, m := range b.machines {
		b.writeSettings(m)
		b.start(m)
	}
	for _, m := range b.machines {
		m.awaitReady()
	}
}

func (m *machine) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	response, err := client.Get("http://" + m.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == 200
}

func (m *machine) awaitReady() {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if m.isReady() {
			return
		}
	}
	text, _ := os.ReadFile(m.log)
	fmt.Fprintln(os.Stderr, string(text[max(0, len(text)-3000):]))
	must(fmt.Errorf("%s is not ready", m.name))
}

func (m *machine) signal(s syscall.Signal) {
	if m.command != nil && m.command.Process != nil {
		_ = m.command.Process.Signal(s)
	}
}

func (m *machine) kill() {
	if m.command == nil {
		return
	}
	m.signal(syscall.SIGKILL)
	select {
	case <-m.ended:
	case <-time.After(5 * time.Second):
	}
}

// hasEnded reports whether the process has ended.
func (m *machine) hasEnded() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

func route(name, prefix, kind, service string, timeout, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": "lines.example", "prefix": prefix, "route-kind": kind, "service": service, "attempts": attempts,
		"resumable": resumable, "timeout-ms": timeout, "latency-target-ms": 1000, "max-gap-ms": 250, "priority": 1, "public": true,
	}
}

func configurationOf(version int, services []map[string]any, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": []any{},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}
