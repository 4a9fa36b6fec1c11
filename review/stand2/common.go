//go:build review

// Command stand2 plays the cases 6 to 10 of the review: it starts instances as the deploy file does, with stand-ins of
// the store, the runners and the clients on loopback addresses, and judges what these have seen.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// world has everything that a case runs.
type world struct {
	directory string
	trouble   bool
	began     time.Time
	store     *store
	nodes     []*node
	runners   []*runner
	// further is how many instances there are beside one in each zone.
	further int

	mutex  sync.Mutex
	record *os.File
}

// newWorld opens the record of a case. The settings of the instances are in a temporary folder.
func newWorld(record string) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{directory: directory, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: file}
	w.store, err = newStore(w)
	return w, err
}

// note writes a line of the record.
func (w *world) note(format string, values ...any) {
	if w == nil {
		return // in the process of a runner
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.began).Seconds()}, values...)...)
}

// end kills all processes and removes the temporary folder.
func (w *world) end() {
	for _, n := range w.nodes {
		n.kill()
	}
	for _, r := range w.runners {
		if r.command != nil {
			_ = r.command.Process.Kill()
			_ = r.command.Wait()
		}
	}
	_ = os.RemoveAll(w.directory)
	_ = w.record.Close()
}

// lowPort and highPort are below the ports that systems use for outgoing connections.
const lowPort, highPort = 20_000, 32_000

var lastPort atomic.Int64

// freeAddress returns a loopback address with a free port, another one each time.
func freeAddress() string {
	lastPort.CompareAndSwap(0, rand.Int64N(highPort-lowPort))
	for range highPort - lowPort {
		port := lowPort + int(lastPort.Add(1))%(highPort-lowPort)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		return listener.Addr().String()
	}
	return ""
}

// ---------------------------------------------------------------------------------------------

// node is one instance process.
type node struct {
	world    *world
	name     string
	frontend string
	ready    string
	peer     string
	settings string

	mutex   sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

// settingsText is deploy/settings.ini with the fields of a small deployment filled in.
const settingsText = `[Instance]
Name = %s
DataCentre = %s
CallerAddress = %s
ReadyAddress = %s
PeerAddress = %s
MetricsAddress = %s

[Platform]
StoreAddress = %s
Contracts = base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform

[Callers]
ChangeWithin = 2000ms
GraceTime = 8s

[Upstreams]
FencesChecked = true
ReturnAfter = 3000ms

[Retries]
Ratio = 0.2
Slack = 54

[Memory]
LimitMB = 284
`

// addNode starts an instance. If a port has been taken meanwhile, its process ends at once and is started with other ports.
func (w *world) addNode(name, zone string) (n *node, err error) {
	for range 5 {
		n = &node{
			world: w, name: name, frontend: freeAddress(), ready: freeAddress(), peer: freeAddress(),
			settings: filepath.Join(w.directory, name+".ini"),
		}
		text := fmt.Sprintf(settingsText, name, zone, n.frontend, n.ready, n.peer, freeAddress(), w.store.server)
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if err = n.start(); err != nil {
			return nil, err
		}
		select {
		case <-n.done:
		case <-time.After(200 * time.Millisecond):
			w.nodes = append(w.nodes, n)
			return n, nil
		}
	}
	return nil, errors.New("no free ports")
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.world.directory, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/lacewingd", "serve")
	command.Env = []string{"LACEWINGROCK_SETTINGS=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mutex.Lock()
	n.command, n.done = command, done
	n.mutex.Unlock()
	n.world.note("start %s pid %d", n.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		n.world.note("end of %s: %v", n.name, err)
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(signal syscall.Signal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.command != nil {
		_ = n.command.Process.Signal(signal)
	}
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	n.mutex.Lock()
	command, done := n.command, n.done
	n.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Process.Kill()
	<-done
}
