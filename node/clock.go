package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since boot, which keeps running while the VM is suspended.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano()) // Systems other than Linux only run tests.
	}
	return time.Duration(now.Nano())
}
