package capacity_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/admission"
	"briarwell.dev/core/capacity"
	"briarwell.dev/core/clock"
)

// oracleShare is the least ratio of the served requests to those with an oracle.
const oracleShare = 0.85

func constant(int, clock.Millis) float64 { return 1 }

func steady(share float64) func(clock.Millis) float64 {
	return func(clock.Millis) float64 { return share }
}

// tripled returns 3 for 400 ms from time to time, at different times for each upstream.
func tripled(u int, now clock.Millis) float64 {
	if period := clock.Millis(2900 + 370*u); (now+clock.Millis(977*u))%period < 400 {
		return 3
	}
	return 1
}

// fiveTimesSlower returns 5 for the first upstream from second 20 to 26.
func fiveTimesSlower(u int, now clock.Millis) float64 {
	if u == 0 && now >= 20_000 && now < 26_000 {
		return 5
	}
	return 1
}

func fallsToTenth(now clock.Millis) float64 {
	if now > 20_000 && now < 40_000 {
		return 0.09
	}
	return 0.9
}

// newScenario returns 60 s of requests of one class for six equal upstreams of constant speed.
func newScenario(slots int, load float64, change func(*scenario)) scenario {
	s := scenario{
		slowness: []float64{1, 1, 1, 1, 1, 1}, slots: slots, factor: constant, classes: []class{{"browse", 90, 1}},
		load: steady(load), seconds: 60, dispatchers: 12, seed: 1,
	}
	change(&s)
	return s
}

func speeds(s *scenario) { s.slowness = []float64{0.5, 0.7, 0.9, 1.1, 1.4, 1.6} }

// TestAgainstOracle compares the share of the requests that are served in time with that of
// static weights and announced slots, of the announced slots with a balancer, and of an
// oracle. It guards against a limit that costs an upstream of constant speed throughput, and
// against one that leaves an upstream beyond its knee.
func TestAgainstOracle(t *testing.T) {
	for name, c := range map[string]struct {
		scenario scenario
		// gain is the least difference to the share with static weights.
		gain float64
		// knee is true if the limit has to fall.
		knee bool
	}{
		"speeds of 0.5 to 1.6": {scenario: newScenario(8, 0.9, speeds), gain: 0.05},
		"knee at 60%, falling": {scenario: newScenario(12, 1.1, func(s *scenario) { s.knee, s.steepness = 0.6, 2 }), gain: 0.15, knee: true},
		"knee at 60%, flat":    {scenario: newScenario(12, 1.1, func(s *scenario) { s.knee, s.steepness = 0.6, 1 }), knee: true},
		"tripled":              {scenario: newScenario(8, 0.75, func(s *scenario) { s.factor = tripled })},
		"tripled, reported":    {scenario: newScenario(8, 0.75, func(s *scenario) { s.factor, s.reports = tripled, true })},
		"five times slower":    {scenario: newScenario(8, 0.8, func(s *scenario) { s.factor, s.seconds = fiveTimesSlower, 40 })},
		"short and long": {scenario: newScenario(8, 0.85, func(s *scenario) {
			speeds(s)
			s.classes = []class{{"short", 30, 0.75}, {"long", 400, 0.25}}
		}), gain: 0.05},
		"a tenth and back": {scenario: newScenario(8, 0.9, func(s *scenario) {
			speeds(s)
			s.load = fallsToTenth
		}), gain: 0.05},
		"eighty instances": {scenario: newScenario(8, 0.9, func(s *scenario) {
			speeds(s)
			s.dispatchers = 80
		}), gain: 0.03},
		"constant, 6 slots":      {scenario: newScenario(6, 1.2, func(s *scenario) { s.seconds = 120 })},
		"constant, 13 slots":     {scenario: newScenario(13, 1.1, func(s *scenario) { s.seconds = 120 })},
		"tripled and overloaded": {scenario: newScenario(6, 1.2, func(s *scenario) { s.factor, s.seconds = tripled, 120 })},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := c.scenario
			byWeights, bySlots, byOracle := simulate(s, naive), simulate(s, announced), simulate(s, oracle)
			lowest := s.slots
			s.observe = func(now clock.Millis, state *admission.State) { lowest = min(lowest, state.Capacity(now).Limit) }
			learning := simulate(s, learned)
			t.Logf("in time: static weights %.3f, announced slots %.3f, learned %.3f, oracle %.3f; limit at least %d of %d", byWeights, bySlots, learning, byOracle, lowest, s.slots)
			is.True(learning >= oracleShare*byOracle)
			is.True(learning >= byWeights+c.gain-0.01)
			is.True(learning >= bySlots-0.01)
			is.Equal(lowest < s.slots, c.knee)
		})
	}
}

// TestKneeVanishes guards against a limit that stays low once the upstream runs more requests
// without losing throughput.
func TestKneeVanishes(t *testing.T) {
	is := is.New(t)
	limit, lowest, restoredAt := 0, 12, clock.Millis(0)
	s := newScenario(12, 1.1, func(s *scenario) {
		s.knee, s.steepness, s.kneeUntil, s.seconds = 0.6, 2, 30_000, 100
		s.load = func(now clock.Millis) float64 {
			if now < s.kneeUntil {
				return 1.1
			}
			return 2 // of the throughput with the knee, so that requests wait
		}
		s.observe = func(now clock.Millis, state *admission.State) {
			before := limit
			limit = state.Capacity(now).Limit
			lowest = min(lowest, limit)
			if limit > before {
				restoredAt = now
			}
		}
	})
	simulate(s, learned)
	t.Logf("limit at least %d, %d of 12 from %d ms on", lowest, limit, restoredAt)
	is.True(lowest < 12)
	is.Equal(limit, 12)
}

// TestNewSpeed guards against a capacity that follows a new speed of the upstream late. After
// 2 s three quarters of the change (of its logarithm) have to show, with reports all of it but
// for the 15% that the capacity may be wrong by.
func TestNewSpeed(t *testing.T) {
	for name, c := range map[string]struct {
		reports bool
		// within is the greatest ratio of the capacity to the true one.
		within float64
	}{"measured": {false, math.Pow(5, 0.25)}, "reported": {true, 1.15}} {
		s := newScenario(8, 0.9, func(s *scenario) {
			s.slowness, s.factor, s.reports, s.seconds = []float64{1}, fiveTimesSlower, c.reports, 40
		})
		s.observe = func(now clock.Millis, state *admission.State) {
			ratio := state.Capacity(now).PerSecond / s.perSecond(0) * fiveTimesSlower(0, now)
			if now == 19_900 || now == 22_000 || now == 28_000 {
				t.Logf("%s: %.2f of the true capacity at %d ms", name, ratio, now)
				if ratio > c.within || ratio < 1/c.within {
					t.Errorf("%s: %.2f of the true capacity at %d ms", name, ratio, now)
				}
			}
		}
		simulate(s, learned)
	}
}

// TestSteadyCapacity guards against a capacity that oscillates under a steady load.
func TestSteadyCapacity(t *testing.T) {
	is := is.New(t)
	count, sum, squares := 0.0, 0.0, 0.0
	s := newScenario(8, 0.8, func(s *scenario) {
		s.observe = func(now clock.Millis, state *admission.State) {
			if perSecond := state.Capacity(now).PerSecond; now >= 10_000 {
				count, sum, squares = count+1, sum+perSecond, squares+perSecond*perSecond
			}
		}
	})
	simulate(s, learned)
	mean := sum / count
	deviation := math.Sqrt(squares/count-mean*mean) / mean
	t.Logf("mean %.1f of %.1f requests per second, relative standard deviation %.3f", mean, s.perSecond(0), deviation)
	is.True(math.Abs(mean/s.perSecond(0)-1) < 0.15)
	is.True(deviation < 0.15)
}

// serve runs requests of 100 ms times slowness one after the other.
func serve(e *capacity.Estimator, now clock.Millis, count int, slowness float64, report int, valid bool) clock.Millis {
	for range count {
		run := e.Start(now, "c", 0)
		now += clock.Millis(100 * slowness)
		e.Report(now, report)
		e.End(now, run, 0, valid)
	}
	return now
}

// TestReports guards against a report that is not used at once, and against one that
// contradicts the service times.
func TestReports(t *testing.T) {
	is := is.New(t)
	var e capacity.Estimator
	e.Reset(0, 8)
	now := serve(&e, 0, 50, 1, 100, true)
	e.Report(now, 200)
	is.True(math.Abs(e.Estimate(now).Slowness-2) < 0.1)
	now = serve(&e, now, 300, 1, 200, true) // the requests take the usual time
	is.True(!e.Estimate(now).Reported)
	is.True(math.Abs(e.Estimate(now).Slowness-1) < 0.2)
}

// TestFailuresAndRestart guards against an upstream that seems fast because it fails its
// requests early, and against what was learned of a process outliving it.
func TestFailuresAndRestart(t *testing.T) {
	is := is.New(t)
	var e capacity.Estimator
	e.Reset(0, 8)
	now := serve(&e, 0, 50, 1, 0, true)
	before := e.Estimate(now).PerSecond
	now = serve(&e, now, 200, 0.05, 0, false)
	is.Equal(e.Estimate(now).PerSecond, before)
	run := e.Start(now, "c", 0)
	e.Reset(now, 6)
	e.End(now+900, run, 0, true) // a request of the process before
	is.Equal(e.Estimate(now+900), capacity.Estimate{Limit: 6, Learned: 6, Slowness: 1, Reason: capacity.ReasonAnnounced})
}

// TestChanges guards against a change that isn't logged, and against a line for each short
// change of the speed.
func TestChanges(t *testing.T) {
	is := is.New(t)
	var log capacity.ChangeLog
	seen := func(learned int, slowness float64) string {
		reason, _ := log.Observe(capacity.Estimate{Learned: learned, Slowness: slowness, Reason: capacity.ReasonLowered})
		return reason
	}
	is.Equal(seen(8, 1), string(capacity.ReasonLowered))
	is.Equal(seen(8, 3), "") // a moment
	is.Equal(seen(8, 1), "")
	is.Equal(seen(8, 3), "")
	is.Equal(seen(8, 3.2), "slower")
	is.Equal(seen(8, 1.1), "")
	is.Equal(seen(8, 1), "faster")
	is.Equal(seen(6, 1), string(capacity.ReasonLowered))
	is.Equal(seen(6, 1), "")
}

// TestNoAllocation guards against allocations for each request.
func TestNoAllocation(t *testing.T) {
	var e capacity.Estimator
	e.Reset(0, 8)
	now := serve(&e, 0, 50, 1, 100, true)
	is.New(t).Equal(testing.AllocsPerRun(1000, func() { now = serve(&e, now, 1, 1, 100, true) }), 0.0)
}

func BenchmarkRequest(b *testing.B) {
	var e capacity.Estimator
	e.Reset(0, 8)
	serve(&e, 0, b.N, 1, 100, true)
}
