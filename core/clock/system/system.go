// Package system reads the clocks of the operating system.
package system

import (
	"time"

	"golang.org/x/sys/unix"

	"briarwell.dev/core/clock"
)

// Clock is the boot-time clock. Unlike CLOCK_MONOTONIC, it advances while the instance
// is suspended, so that a lease holder detects on resume that its lease has expired. The
// zero value is ready to use.
type Clock struct{}

// Now returns the milliseconds since the instance booted.
func (Clock) Now() clock.Millis {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The call fails only if the clock ID is unknown, which is a programming error.
		panic("boot-time clock is not available: " + err.Error())
	}
	return clock.FromDuration(time.Duration(now.Nano()))
}

// UnixMillis returns the wall-clock time in milliseconds since the Unix epoch.
// It is used only for deadlines sent to the upstream on the same instance.
func UnixMillis() int64 {
	return time.Now().UnixMilli()
}
