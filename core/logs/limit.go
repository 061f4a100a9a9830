package logs

import (
	"sync"

	"briarwell.dev/core/clock"
)

// millisPerSecond is the length of the time in which lines are counted.
const millisPerSecond clock.Millis = 1000

// Limit bounds the lines of one event in a second. The zero value lets none
// through. It is safe for concurrent use.
type Limit struct {
	perSecond int

	mu      sync.Mutex
	began   clock.Millis
	written int
	omitted int64
}

// NewLimit returns a limit of that many lines in a second.
func NewLimit(perSecond int) *Limit { return &Limit{perSecond: perSecond} }

// Take tells whether a line may be written at now, and how many were omitted
// since the last one that was.
func (l *Limit) Take(now clock.Millis) (bool, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-l.began >= millisPerSecond {
		l.began, l.written = now, 0
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
