// Package boottime reads a steady clock that also counts the time for which the machine is
// suspended. Leases and other permissions that run out elsewhere are measured by it: the monotonic
// clock of package time stands still while the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was started. If the clock cannot be read, it returns zero.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
