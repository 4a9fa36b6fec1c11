package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspension.go reads how long the machine has been suspended.

// timeSuspended returns how long the machine has been suspended since it was started. The clock of the runtime does not
// advance during a suspension. Without this correction, a lease that expired long ago would look valid after the
// machine resumes. A clock that cannot be read counts as never suspended; Linux has both clocks.
func timeSuspended() time.Duration {
	var steady, withSuspension unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &withSuspension) != nil {
		return 0
	}
	return time.Duration(withSuspension.Nano() - steady.Nano())
}
