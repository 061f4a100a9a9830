// Package clock defines the time type of briarwell. All decisions use
// monotonic durations in milliseconds; wall-clock time appears only in
// deadlines that a daemon shares with the upstream on the same instance.
package clock

import "time"

// Millis is a point on a monotonic clock, or a duration, in milliseconds.
// Points of different processes can't be compared.
type Millis int64

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts d to Millis, rounding down.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock reads a monotonic clock.
type Clock interface {
	// Now returns the current point in milliseconds.
	Now() Millis
}
