package leader

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart replaces the machine's boot time if CLOCK_BOOTTIME can't be read.
var processStart = time.Now()

// uptime returns the time since the machine booted, including suspensions.
func uptime() Uptime {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return Uptime(time.Since(processStart)) // falls back to the monotonic clock on a kernel without CLOCK_BOOTTIME
	}
	return Uptime(t.Nano())
}
