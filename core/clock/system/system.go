// Package system reads the clocks of the operating system.
package system

import (
	"time"

	"golang.org/x/sys/unix"

	"briarwell.dev/core/clock"
)

// Clock is the boot-time clock. It goes on while the instance is suspended, as
// CLOCK_MONOTONIC does not: a suspended lease holder must see on resume that
// its lease has expired. The zero value works.
type Clock struct{}

// Now returns the milliseconds since the instance was booted.
func (Clock) Now() clock.Millis {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The call fails only for an unknown clock, which is a build fault.
		panic("boot-time clock is not available: " + err.Error())
	}
	return clock.FromDuration(time.Duration(now.Nano()))
}

// UnixMillis returns the wall-clock time in milliseconds since the Unix epoch.
// It is used only for deadlines shared with the upstream on the same instance.
func UnixMillis() int64 {
	return time.Now().UnixMilli()
}
