package capacity

import (
	"math"

	"briarwell.dev/core/clock"
)

// sustainedWindowMillis is the time constant in milliseconds of a sustained capacity. Keys are
// not served for about a second while they move, so a change has to last longer than that to be
// worth a move; after 2 s at a fifth of the speed, the sustained capacity is a third.
const sustainedWindowMillis = 3000.0

// Sustained averages the capacity of an upstream over some seconds, for decisions that take as
// long to have an effect, such as moves of keys. Load pattern: an upstream that shares its machine
// takes three times as long for moments, several times per second. The zero value has no
// capacity. It is not safe for concurrent use.
type Sustained struct {
	// interval is the mean time in milliseconds between two requests at the capacity, 0 if
	// none is known.
	interval  float64
	updatedAt clock.Millis
}

// Observe takes the capacity at now in requests per second, 0 if it is unknown, and returns the
// sustained one.
func (s *Sustained) Observe(now clock.Millis, perSecond float64) float64 {
	if perSecond <= 0 {
		*s = Sustained{}
		return 0
	}
	interval := millisPerSecond / perSecond
	if s.interval == 0 {
		s.interval = interval
	} else {
		elapsed := float64(max(now-s.updatedAt, 0))
		s.interval += (interval - s.interval) * -math.Expm1(-elapsed/sustainedWindowMillis)
	}
	s.updatedAt = now
	return millisPerSecond / s.interval
}
