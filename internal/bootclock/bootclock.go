// Package bootclock reads the clock that continues while the machine is suspended. Leases are measured by it, because
// the runtime's monotonic clock stops during a suspension.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has provided this clock since 2.6.39. Without it no lease can be measured.
		panic("bootclock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
