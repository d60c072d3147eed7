package yuccaclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM started. It includes the time during which the VM was
// suspended, and no change of the wall clock affects it.
func SinceBoot() (time.Duration, error) {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return 0, err
	}
	return time.Duration(reading.Nano()), nil
}
