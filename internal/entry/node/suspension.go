package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspension.go reads for how long the machine has been suspended.

// timeSuspended is for how long the machine has been suspended since it was started. The runtime's clock stands
// still meanwhile, so that a lease which ended long ago would look valid after the machine has woken up. A clock
// that cannot be read counts as never suspended; Linux has both.
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
