package retry_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/retry"
)

// simulateOutage returns the calls of daemons to a store that refuses all calls for the given
// time, and the time after its end at which the last daemon got an answer. Daemons below
// lookouts are lookouts; what they learn reaches the others after 600 ms.
func simulateOutage(daemons, lookouts int, length clock.Millis) (calls int, recovery clock.Millis) {
	random := rand.New(rand.NewPCG(1, 2))
	outages := make([]retry.Outage, daemons)
	answered := make([]bool, daemons)
	var firstAnswer clock.Millis
	for now := clock.Millis(10_000); ; now += 10 {
		up, done := now >= 10_000+length, true
		for i := range outages {
			if answered[i] {
				continue
			}
			answeredAt := clock.Millis(9_900)
			if firstAnswer > 0 && now >= firstAnswer+600 {
				answeredAt = now
			}
			if now >= outages[i].NextCall(now, answeredAt, random.Float64()) {
				calls++
				if answered[i] = up; !up {
					outages[i].RecordFailure(now, answeredAt, i < lookouts, random.Float64())
				} else {
					outages[i].RecordSuccess()
					if i < lookouts && firstAnswer == 0 {
						firstAnswer = now
					}
				}
			}
			done = done && answered[i]
		}
		if done {
			return calls, now - 10_000 - length
		}
	}
}

// TestOutageOfManyDaemons replays an outage of 8 s that 195 daemons notice at once. Without
// lookouts that tell the others, each calls every 375 ms.
func TestOutageOfManyDaemons(t *testing.T) {
	is := is.New(t)
	naive, _ := simulateOutage(195, 195, 8_000)
	calls, recovery := simulateOutage(195, 6, 8_000)
	t.Logf("%d calls if all call often, %d otherwise; all are served again after %d ms", naive, calls, recovery)
	is.True(calls*3 < naive)
	is.True(recovery <= 1_350) // a lookout's pause of 500 ms, 600 ms for the news, a delay of 250 ms
}

// TestOutageOfSomeDaemons guards against a daemon that calls the store often since others get
// answers while it does not.
func TestOutageOfSomeDaemons(t *testing.T) {
	is := is.New(t)
	var outage retry.Outage
	calls := 0
	for now := clock.Millis(10_000); now < 20_000; now += 10 {
		if now >= outage.NextCall(now, now-100, 0.5) {
			calls++
			outage.RecordFailure(now, now-100, false, 0.5)
		}
	}
	is.True(calls <= 7)
	outage.RecordSuccess()
	is.Equal(outage.NextCall(20_000, 0, 0.5), clock.Millis(0))
}
