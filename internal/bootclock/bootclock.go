// Package bootclock reads the clock that continues while the machine is suspended. Leases are measured by it, because
// the runtime's monotonic clock stops during a suspension.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// source is the clock that Now reads.
var source = kernelTime

// SetSource replaces the clock that Now reads, and returns a function that restores the former one. It is for tests on
// a virtual clock: no other goroutine may call Now meanwhile.
func SetSource(now func() time.Duration) (restore func()) {
	former := source
	source = now
	return func() { source = former }
}

// Now returns the time since the machine booted.
func Now() time.Duration { return source() }

func kernelTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has provided this clock since 2.6.39. Without it no lease can be measured.
		panic("bootclock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
