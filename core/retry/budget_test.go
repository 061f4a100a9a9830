package retry_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/retry"
)

// TestBudgetBurst replays a service that fails half of its requests after a quiet
// time, seen by 18 daemons that share one bound of 0.2 times the requests and 56
// in 10 s. Without a bound on what a quiet time saves up, they pass it.
func TestBudgetBurst(t *testing.T) {
	is := is.New(t)
	const daemons, perSecond, window = 18, 25, 10
	repeats := 0
	for range daemons {
		b := retry.NewBudget(0.15, 56*0.5/window/daemons).WithBurst(2)
		now := clock.Millis(0)
		for i := range 60 * perSecond {
			now += 1000 / perSecond
			b.RecordFirstAttempt(now)
			if i >= 50*perSecond && b.Allow(now) {
				repeats++
			}
		}
	}
	is.True(repeats <= daemons*perSecond*window/5+56)
	is.True(repeats >= daemons*perSecond*window/20)
}

// TestReserve replays callers that press beside the calls of upstreams. Without a
// reserve, callers take every repeat and each refused call wastes its parent's work.
func TestReserve(t *testing.T) {
	is := is.New(t)
	share := func(reserve float64) (calls int) {
		b := retry.NewBudget(0.1, 0.001).WithBurst(2)
		now := clock.Millis(0)
		for i := range 1000 {
			now += 10
			b.RecordFirstAttempt(now)
			if i%7 == 6 && b.Allow(now) { // one call to six requests of callers
				calls++
			}
			if i%7 != 6 {
				b.AllowWithReserve(now, reserve)
			}
		}
		return calls
	}
	naive, own := share(0), share(0.5)
	t.Logf("calls repeated: %d without a reserve, %d with it", naive, own)
	is.True(naive < own/2)
}
