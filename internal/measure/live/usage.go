package live

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// usage.go reads the operating system's counters for a process.

// usage is the resource usage of a process since its start. ioBytes counts the bytes that it read and wrote
// through files and sockets. Instances do not use a disk, so when idle these are the bytes of control traffic
// in both directions.
type usage struct {
	cpu      time.Duration
	ioBytes  int64
	resident int64
}

const (
	// clockTick is the unit of processor time in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
	// userField and systemField are the indexes of the times among the fields after the command's closing
	// bracket.
	userField, systemField = 11, 12
	pageSize               = 4096
)

func readUsage(pid int) (u usage, err error) {
	defer func() { err = errors.WithMessagef(err, "counts of process %d", pid) }()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	_, afterCommand, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(afterCommand)
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
	u.cpu = time.Duration(user+system) * clockTick
	if u.ioBytes, err = readIOBytes(pid); err != nil {
		return usage{}, err
	}
	u.resident, err = readResidentBytes(pid)
	return u, err
}

func readIOBytes(pid int) (bytes int64, err error) {
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

func readResidentBytes(pid int) (bytes int64, err error) {
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
