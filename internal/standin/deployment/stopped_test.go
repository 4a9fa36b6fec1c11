package deployment

import (
	"os/exec"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// TestFrozenProcessStandsStill guards against tests that take a process for frozen that still runs beside load.
func TestFrozenProcessStandsStill(t *testing.T) {
	var all sync.WaitGroup
	for range 30 {
		all.Go(func() {
			is := is.New(t)
			command := exec.Command("sh", "-c", "while :; do :; done")
			is.NoErr(command.Start())
			p := &Process{Name: "busy", command: command, ended: make(chan struct{})}
			is.NoErr(p.Freeze())
			stopped, err := hasStopped(command.Process.Pid)
			is.NoErr(err)
			is.True(stopped)
			is.NoErr(p.Unfreeze())
			is.NoErr(command.Process.Signal(syscall.SIGKILL))
			_ = command.Wait()
		})
	}
	all.Wait()
}

func TestStateComesAfterTheName(t *testing.T) {
	tests := []struct {
		stat    string
		stopped bool
	}{
		{"7 (lacewingd) T 1 7", true},
		{"7 (lacewingd) S 1 7", false},
		{"7 (a) T) R 1 7", false},
		{"7 (a b) Z 1 7", true},
		{"", false},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(isStopped(tt.stat), tt.stopped)
	}
}
