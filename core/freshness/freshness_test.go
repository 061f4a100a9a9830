package freshness_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/era"
	"briarwell.dev/core/freshness"
)

// revision returns the revision with a number of a store that reports no era.
func revision(number uint64) era.Revision { return era.NewRevision(0, number) }

// TestIsCurrent guards against a copy that counts as the newest although a newer version exists or
// may exist.
func TestIsCurrent(t *testing.T) {
	is := is.New(t)
	const within = 1000
	var tracker freshness.Tracker
	is.True(!tracker.IsCurrent(5, within)) // nothing is known
	tracker.RecordHeld(revision(3))
	is.True(!tracker.IsCurrent(5, within))
	tracker.RecordObservation(100, revision(3))
	is.True(tracker.IsCurrent(100+within, within))
	is.True(!tracker.IsCurrent(101+within, within))

	tracker.RecordObservation(200, revision(7)) // announced, but still on its way
	is.True(!tracker.IsCurrent(200, within))
	tracker.RecordObservation(300, revision(3)) // by an instance that has not heard of version 7
	is.True(!tracker.IsCurrent(300, within))
	tracker.RecordHeld(revision(7))
	is.True(tracker.IsCurrent(300, within))
	tracker.RecordObservation(250, revision(7)) // late
	version, age, ok := tracker.Observation(310)
	is.True(ok)
	is.Equal(version, revision(7))
	is.Equal(age, clock.Millis(10))
}

// TestNaiveRule shows what the rule by the age of the store's latest answer gets wrong: the answer
// may be one to another question.
func TestNaiveRule(t *testing.T) {
	is := is.New(t)
	var tracker freshness.Tracker
	answeredAt := clock.Millis(0)
	naive := func(now clock.Millis) bool { return now-answeredAt <= 1000 }
	tracker.RecordHeld(revision(1))
	tracker.RecordObservation(0, revision(1))
	wrong := 0
	for now := clock.Millis(0); now <= 5000; now += 500 {
		answeredAt = now // The instance writes its own rows meanwhile.
		newRouteExists := now >= 1000
		if naive(now) && newRouteExists {
			wrong++
		}
		is.True(!tracker.IsCurrent(now, 1000) || now <= 1000)
	}
	is.Equal(wrong, 9)
}
