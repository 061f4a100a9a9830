package shutdown_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/shutdown"
)

const grace clock.Millis = 6000

func settingsFor(grace clock.Millis) shutdown.Settings {
	return shutdown.Settings{Grace: grace, Noticed: 2600, Refusal: 3600}
}

// stopCounts are the results of the requests of a simulated stop.
type stopCounts struct{ served, refused, brokenOff, lateBrokenOff int }

// simulateStop sends a request each 2 ms until the kill: nine of ten take up to 100 ms and have 2 s
// for it, the others take up to 3 s and have 4 s.
func simulateStop(accepts func(now, deadline clock.Millis) bool, end clock.Millis) stopCounts {
	random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // The requests must repeat.
	var counts stopCounts
	for now := clock.Millis(0); now < grace; now += 2 {
		took, timeout := clock.Millis(random.IntN(100)), clock.Millis(2000)
		if random.IntN(10) == 0 {
			took, timeout = clock.Millis(random.IntN(3000)), 4000
		}
		switch {
		case !accepts(now, now+timeout):
			counts.refused++
		case now+took <= end:
			counts.served++
		default:
			counts.brokenOff++
			if now >= grace/2 {
				counts.lateBrokenOff++
			}
		}
	}
	return counts
}

// TestPlannedStop guards against requests that are accepted late in the grace period and broken off
// at its end, and against refusals of those that end in time.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	plan := shutdown.Begin(0, settingsFor(grace))
	naive := simulateStop(func(now, _ clock.Millis) bool { return now < 3600 }, plan.End())
	cautious := simulateStop(func(now, deadline clock.Millis) bool { return deadline <= plan.End() }, plan.End())
	own := simulateStop(func(now, deadline clock.Millis) bool { return plan.Accepts(now, deadline, false) }, plan.End())
	t.Logf("accepted until a fixed time: %+v; by the deadline alone: %+v; by the plan: %+v", naive, cautious, own)
	is.True(naive.lateBrokenOff > 0)
	is.Equal(own.lateBrokenOff, 0)
	is.True(own.brokenOff*10 < naive.brokenOff)
	is.True(own.served > cautious.served)
}

// TestPlanPhases guards against a plan whose phases overlap or leave no time to write responses,
// for any length of the grace period.
func TestPlanPhases(t *testing.T) {
	for _, grace := range []clock.Millis{1000, 2000, 6000, 30_000} {
		is := is.New(t)
		plan := shutdown.Begin(100, settingsFor(grace))
		is.True(shutdown.Plan{}.Accepts(100, 100+grace, false) && !shutdown.Plan{}.ClosedToPeers(100))
		is.True(plan.Accepts(100, 100+2*grace, false)) // callers don't know yet
		late := 100 + grace/2
		is.True(!plan.Accepts(late, plan.End()+1, false))
		is.True(plan.Accepts(late, 100+2*grace, true)) // its parent runs
		is.True(plan.ClosedToPeers(late) && !plan.ClosedToPeers(100))
		is.True(plan.MayClose(100+2660, 0) && !plan.MayClose(100+grace/3, 1))
		is.True(!plan.Accepts(100+grace*3/5, plan.End(), false) || grace > 6000 && plan.Accepts(100+3599, plan.End(), false))
		is.True(!plan.Accepts(100+3600, plan.End(), false))
		is.True(!plan.Accepts(plan.End(), plan.End(), true) && plan.MayClose(plan.End(), 1))
		is.True(plan.End() >= 100+grace*5/6 && plan.End() < plan.ResponsesEnd() && plan.ResponsesEnd() < 100+grace)
		is.True(!plan.Close().Accepts(100, 101, true) && !shutdown.Plan{}.Close().Accepts(100, 101, true))
	}
}
