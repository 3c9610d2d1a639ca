package leader

import (
	"time"

	"golang.org/x/sys/unix"
)

// started stands in for the boot of the machine where its clock can't be read.
var started = time.Now()

// uptime returns the time since the machine has booted, suspensions included.
func uptime() Uptime {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return Uptime(time.Since(started)) // a kernel without that clock: the steady one has to do
	}
	return Uptime(t.Nano())
}
