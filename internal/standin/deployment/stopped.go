package deployment

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// stopped.go reads from the kernel whether a process stands still.

// hasStopped tells whether no thread of a process runs any more: each is stopped, or has ended.
func hasStopped(pid int) (stopped bool, err error) {
	defer func() { err = errors.WithMessagef(err, "state of process %d", pid) }()
	threads, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "task", "*", "stat"))
	if err != nil {
		return false, err
	}
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if err != nil {
			continue // it has ended meanwhile
		}
		if !isStopped(string(stat)) {
			return false, nil
		}
	}
	return true, nil
}

// isStopped tells from a thread's stat line whether it is stopped or has ended. Its state comes after the name, which
// stands in brackets and may hold brackets and spaces.
func isStopped(stat string) bool {
	_, state, found := strings.Cut(stat[strings.LastIndexByte(stat, ')')+1:], " ")
	return found && state != "" && strings.IndexByte("TtZXx", state[0]) >= 0
}
