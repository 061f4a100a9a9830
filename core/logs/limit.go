package logs

import (
	"sync"

	"briarwell.dev/core/clock"
)

// limitWindow is the length of the time in which lines are counted.
const limitWindow clock.Millis = 1000

// Limiter bounds the lines of one event in a second. The zero value lets none
// through. It is safe for concurrent use.
type Limiter struct {
	perSecond int

	mu          sync.Mutex
	windowStart clock.Millis
	written     int
	omitted     int64
}

// NewLimiter returns a limit of that many lines in a second.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow tells whether a line may be written at now, and how many were omitted
// since the last one that was.
func (l *Limiter) Allow(now clock.Millis) (bool, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-l.windowStart >= limitWindow {
		l.windowStart, l.written = now, 0
	}
	if l.written >= l.perSecond {
		l.omitted++
		return false, 0
	}
	l.written++
	omitted := l.omitted
	l.omitted = 0
	return true, omitted
}
