package deployment

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// hasStopped reports whether every thread of a process is stopped or has ended. It reads the thread states from
// /proc.
func hasStopped(pid int) (stopped bool, err error) {
	defer func() { err = errors.WithMessagef(err, "state of process %d", pid) }()
	threads, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "task", "*", "stat"))
	if err != nil {
		return false, err
	}
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if err != nil {
			continue // the thread has ended meanwhile
		}
		if !isStopped(string(stat)) {
			return false, nil
		}
	}
	return true, nil
}

// isStopped reports whether a thread is stopped or has ended, given its stat line. The state follows the name, which
// is in brackets and may contain brackets and spaces.
func isStopped(stat string) bool {
	_, state, found := strings.Cut(stat[strings.LastIndexByte(stat, ')')+1:], " ")
	return found && state != "" && strings.IndexByte("TtZXx", state[0]) >= 0
}
