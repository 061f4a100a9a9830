package logs

import (
	"sync"

	"briarwell.dev/core/clock"
)

// limitWindow is the length in milliseconds of the window in which a Limiter counts
// lines.
const limitWindow clock.Millis = 1000

// Limiter bounds the log lines per second of one event. The zero value allows none.
// It is safe for concurrent use.
type Limiter struct {
	perSecond int

	mu          sync.Mutex
	windowStart clock.Millis
	written     int
	omitted     int64
}

// NewLimiter returns a limiter that allows perSecond lines in each second.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow reports whether a line may be written at now, and if so, how many lines were
// omitted since the last one that was written.
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
