// Package clock defines the time type of the router. All decisions use monotonic time
// in milliseconds. Wall-clock time is used only for deadlines that a daemon sends to
// the upstream on the same instance.
package clock

import "time"

// Millis is a point on a monotonic clock, or a duration, in milliseconds.
// Points on the clocks of different processes can't be compared.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration returns d in milliseconds, truncated.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock reads a monotonic clock.
type Clock interface {
	// Now returns the current point in milliseconds.
	Now() Millis
}
