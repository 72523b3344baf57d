// Package bootclock reads the clock that goes on while the machine is suspended. Leases are counted by it, because the
// monotonic clock of the runtime stands still during a suspension.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39; without it no lease can be counted.
		panic("bootclock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
