package evacuation_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/evacuation"
)

const within clock.Millis = 5000

// TestDomain guards against requests that reach an upstream out of use, also if the daemon can't
// know since when, and against a domain that does not return to use.
func TestDomain(t *testing.T) {
	is := is.New(t)
	var d evacuation.Domain
	is.True(!d.OutOfUse() && !d.Closed(1000))
	d.TakeOutOfUse(100, within, true)
	d.TakeOutOfUse(2000, within, true) // the row was written again
	is.True(d.OutOfUse() && !d.Closed(3099) && d.Closed(3100))
	d.Return()
	is.True(!d.OutOfUse() && !d.Closed(9000))
	d.TakeOutOfUse(9500, within, false)
	is.True(d.Closed(9500))
	d.Return()
	d.TakeOutOfUse(9700, 1000, true) // a bound below the margin
	is.True(d.Closed(9700))
}

// TestAgainstNaiveRules replays 1,000 keys with a request every 100 ms each, which move 0.9 to
// 2.7 s after the daemon has learned of the evacuation up to 2 s late. It guards against refusing
// requests whose key has no other owner yet, as a rule that refuses all at once does, and against
// requests after the bound, as a rule that waits for the handover allows: one key in 50 stays.
func TestAgainstNaiveRules(t *testing.T) {
	is := is.New(t)
	type result struct{ refused, late int }
	replay := func(closed func(learnedAt, now clock.Millis) bool) result {
		var r result
		for key := range clock.Millis(1000) {
			learnedAt := key * 2
			movesAt := learnedAt + 900 + key*7919%1800
			if key%50 == 0 {
				movesAt = 60_000
			}
			for now := learnedAt; now < min(movesAt, 10_000); now += 100 {
				switch {
				case closed(learnedAt, now):
					if now < within {
						r.refused++
					}
				case now >= within:
					r.late++
				}
			}
		}
		return r
	}
	decided := replay(func(learnedAt, now clock.Millis) bool {
		var d evacuation.Domain
		d.TakeOutOfUse(learnedAt, within, true)
		return d.Closed(now)
	})
	atOnce := replay(func(clock.Millis, clock.Millis) bool { return true })
	waits := replay(func(clock.Millis, clock.Millis) bool { return false })
	t.Logf("refused before the bound, run after it: %+v; refuse at once %+v; wait for the handover %+v", decided, atOnce, waits)
	is.Equal(decided.late, 0)
	is.True(decided.refused*20 < atOnce.refused)
	is.True(waits.late > 0)
}
