package live

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// usage.go reads the operating system's counts of a process.

// usage of a process since its start. Moved is the bytes it read and wrote, by files and sockets;
// instances have no disk, so at rest these are the bytes of control in both directions.
type usage struct {
	cpu      time.Duration
	moved    int64
	resident int64
}

const (
	// tick is the unit of processor time in the process's stat file.
	tick = 10 * time.Millisecond
	// userField and systemField are the places of the times behind the command's closing bracket.
	userField, systemField = 11, 12
	pageSize               = 4096
)

func usageOf(pid int) (u usage, err error) {
	defer func() { err = errors.WithMessagef(err, "counts of process %d", pid) }()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	_, behind, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(behind)
	if len(fields) <= systemField {
		return usage{}, errors.New("stat is too short")
	}
	user, err := strconv.ParseInt(fields[userField], 10, 64)
	if err != nil {
		return usage{}, err
	}
	system, err := strconv.ParseInt(fields[systemField], 10, 64)
	if err != nil {
		return usage{}, err
	}
	u.cpu = time.Duration(user+system) * tick
	if u.moved, err = moved(pid); err != nil {
		return usage{}, err
	}
	u.resident, err = resident(pid)
	return u, err
}

func moved(pid int) (bytes int64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		if name != "rchar" && name != "wchar" {
			continue
		}
		count, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return 0, err
		}
		bytes += count
	}
	return bytes, nil
}

func resident(pid int) (bytes int64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, errors.New("statm is too short")
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * pageSize, err
}
