// Package deployment starts a small deployment of real processes on loopback: the stand-ins of the
// outside systems and entry instances in front of them. The verb "up" and the integration tests use
// it. Each process announces its addresses on one line of its output, so that none needs a port
// chosen beforehand.
package deployment

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Waits on processes. They are generous: a busy machine must not fail a test.
const (
	startLimit   = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	// tailLines is how much of a process's output an error shows.
	tailLines = 15
)

// Process is one process of the deployment. Its output goes to files in Directory: Name.out and
// Name.log (standard error). Start may be called again after the process has ended.
type Process struct {
	Name      string
	Path      string
	Arguments []string
	Directory string
	// Announcement is the event whose line tells the addresses; empty means "listening".
	Announcement string

	mu        sync.Mutex
	command   *exec.Cmd
	ended     chan struct{}
	state     *os.ProcessState
	announced map[string]string
}

// Start starts the process and waits for the line that announces its addresses.
func (p *Process) Start(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessagef(err, "start %s", p.Name) }()
	out, err := p.open(".out")
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	log, err := p.open(".log")
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	from, err := out.Seek(0, io.SeekEnd)
	if err != nil {
		return err
	}
	if err := p.spawn(out, log); err != nil {
		return err
	}
	return p.awaitAnnouncement(ctx, from)
}

// spawn starts the process in a session of its own: a signal to the terminal that ran "up" must not
// end the deployment.
func (p *Process) spawn(out, log *os.File) error {
	command := exec.Command(p.Path, p.Arguments...)
	command.Stdout = out
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := command.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = command
	p.ended = make(chan struct{})
	p.announced = nil
	go p.run(command, p.ended)
	return nil
}

// run waits for the process to end.
func (p *Process) run(command *exec.Cmd, ended chan struct{}) {
	_ = command.Wait()
	p.mu.Lock()
	p.state = command.ProcessState
	p.mu.Unlock()
	close(ended)
}

func (p *Process) open(suffix string) (*os.File, error) {
	return os.OpenFile(filepath.Join(p.Directory, p.Name+suffix), os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o600)
}

func (p *Process) awaitAnnouncement(ctx context.Context, from int64) error {
	limit, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for {
		announced, err := p.readAnnouncement(from)
		if err != nil {
			return err
		}
		if announced != nil {
			p.mu.Lock()
			p.announced = announced
			p.mu.Unlock()
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-p.Ended():
			return errors.Errorf("ended before it listened:\n%s", p.Tail())
		case <-limit.Done():
			return errors.Errorf("does not listen:\n%s", p.Tail())
		}
	}
}

// readAnnouncement looks for the line in the output that the present process wrote.
func (p *Process) readAnnouncement(from int64) (map[string]string, error) {
	out, err := os.Open(filepath.Join(p.Directory, p.Name+".out"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	if _, err := out.Seek(from, io.SeekStart); err != nil {
		return nil, err
	}
	reader := bufio.NewReader(out)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return nil, nil
		}
		pairs := parsePairs(line)
		if pairs["event"] == p.announcement() {
			return pairs, nil
		}
	}
}

func (p *Process) announcement() string {
	if p.Announcement != "" {
		return p.Announcement
	}
	return "listening"
}

// parsePairs reads a line of key=value pairs whose values hold no spaces.
func parsePairs(line string) map[string]string {
	pairs := make(map[string]string)
	for field := range strings.FieldsSeq(line) {
		name, value, ok := strings.Cut(field, "=")
		if ok {
			pairs[name] = strings.Trim(value, `"`)
		}
	}
	return pairs
}

// -----------------------------------------------------------------------------------------------

// Announced returns what the process announced under a name, such as "ControlAddress".
func (p *Process) Announced(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.announced[name]
}

// Pid is the process id, 0 before the first start.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Ended closes when the present process has ended.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Running tells whether the process was started and has not ended.
func (p *Process) Running() bool {
	if p.Pid() == 0 {
		return false
	}
	select {
	case <-p.Ended():
		return false
	default:
		return true
	}
}

// ExitCode is the exit code of the process that ended last; -1 when a signal ended it.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil {
		return -1
	}
	return p.state.ExitCode()
}

// Signal sends a signal to the process if it still runs.
func (p *Process) Signal(signal syscall.Signal) error {
	if !p.Running() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return errors.WithMessagef(err, "signal %s", p.Name)
}

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.Ended()
	return nil
}

// Freeze pauses the process, as a machine that stands still would, and waits until it stands still: the signal is sent
// before all threads have stopped, and beside load some run on for a tenth of a second.
func (p *Process) Freeze() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for begun := time.Now(); time.Since(begun) < startLimit; time.Sleep(time.Millisecond) {
		if stopped, err := hasStopped(p.Pid()); stopped || err != nil {
			return err
		}
	}
	return errors.Errorf("%s: does not stand still", p.Name)
}

// Unfreeze lets a frozen process go on.
func (p *Process) Unfreeze() error { return p.Signal(syscall.SIGCONT) }

// Stop asks the process to stop and waits until it has, or fails when ctx ends first.
func (p *Process) Stop(ctx context.Context) error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.Ended():
		return nil
	case <-ctx.Done():
		return errors.Errorf("%s: does not stop:\n%s", p.Name, p.Tail())
	}
}

// Tail returns the last lines that the process wrote.
func (p *Process) Tail() string {
	var tail []string
	for _, suffix := range []string{".out", ".log"} {
		written, err := os.ReadFile(filepath.Join(p.Directory, p.Name+suffix))
		if err != nil {
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(written)), "\n")
		tail = append(tail, lines[max(0, len(lines)-tailLines):]...)
	}
	return strings.Join(tail, "\n")
}
