// Package manual provides a clock for tests that advances only on request.
package manual

import (
	"sync/atomic"

	"briarwell.dev/core/clock"
)

// Clock is a manually advanced clock. The zero value reads 0. It is safe for concurrent
// use.
type Clock struct {
	now atomic.Int64
}

// Now implements clock.Clock.
func (c *Clock) Now() clock.Millis {
	return clock.Millis(c.now.Load())
}

// Advance moves the clock forward by d milliseconds.
func (c *Clock) Advance(d clock.Millis) {
	c.now.Add(int64(d))
}
