// Package manual provides a clock that moves only when it is told to.
package manual

import (
	"sync/atomic"

	"briarwell.dev/core/clock"
)

// Clock is a manually advanced clock. The zero value reads zero. It is safe
// for concurrent use.
type Clock struct {
	now atomic.Int64
}

// Now returns the current point in milliseconds.
func (c *Clock) Now() clock.Millis {
	return clock.Millis(c.now.Load())
}

// Advance moves the clock forward by d milliseconds.
func (c *Clock) Advance(d clock.Millis) {
	c.now.Add(int64(d))
}
