// Package system reads the monotonic clock of the operating system.
package system

import (
	"time"

	"briarwell.dev/core/clock"
)

// processStart anchors the monotonic readings of this process.
var processStart = time.Now() //nolint:gochecknoglobals // Monotonic readings need one fixed origin for the process.

// Clock is a monotonic clock that starts near zero with the process. The zero
// value works.
type Clock struct{}

// Now returns the milliseconds since the process started.
func (Clock) Now() clock.Millis {
	return clock.FromDuration(time.Since(processStart))
}

// UnixMillis returns the wall-clock time in milliseconds since the Unix epoch.
// It is used only for deadlines shared with the upstream on the same instance.
func UnixMillis() int64 {
	return time.Now().UnixMilli()
}
