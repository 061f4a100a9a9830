package capacity_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/capacity"
	"briarwell.dev/core/clock"
)

// TestSustainedCapacity guards against key moves because of an upstream that is slow for moments
// only, and against moves that come late when it stays slow.
func TestSustainedCapacity(t *testing.T) {
	is := is.New(t)
	var s capacity.Sustained
	lowest, highest := 1000.0, 0.0
	now := clock.Millis(0)
	for ; now < 60_000; now += 20 {
		perSecond := 60.0
		if now%2000 < 400 { // A fifth of the time, three times as slow.
			perSecond = 20
		}
		if sustained := s.Observe(now, perSecond); now >= 10_000 {
			lowest, highest = min(lowest, sustained), max(highest, sustained)
		}
	}
	t.Logf("capacity between 20 and 60 per second: sustained from %.1f to %.1f", lowest, highest)
	is.True(highest < 1.25*lowest)

	slowFrom := now
	for s.Observe(now, 12) > 24 {
		now += 20
	}
	is.True(now-slowFrom < 2000)
}
