package heartbeat_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/heartbeat"
	"briarwell.dev/core/keyspace"
)

// TestDepartureBeforeFirstReport guards against a departure that is forgotten since it comes
// before the first report of its process: a late report would bring the process back.
func TestDepartureBeforeFirstReport(t *testing.T) {
	process := keyspace.NewProcess("x", 10)
	for name, departure := range map[string]heartbeat.Departure{
		"process": heartbeat.NewDeparture(process), "ID": heartbeat.NewDepartureOfID("x", 15),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := heartbeat.NewTracker("s", "a")
			is.True(!tracker.RecordDeparture(1000, departure))
			is.True(tracker.DepartureAnnounced())
			is.Equal(tracker.Observe(3000, newReport("x", 10, 4, false)), heartbeat.Started)
			since, leaving := tracker.LeavingSince()
			is.True(leaving)
			is.Equal(since, clock.Millis(1000))
			is.Equal(tracker.Departure(), heartbeat.NewDeparture(process))
			is.Equal(tracker.Observe(4000, newReport("x", 20, 1, false)), heartbeat.Started) // the next life of the ID
			is.True(!tracker.Leaving())
		})
	}
	is := is.New(t)
	tracker := heartbeat.NewTracker("s", "a")
	tracker.RecordDeparture(1000, heartbeat.NewDepartureOfID("x", 15))
	tracker.Observe(3000, newReport("x", 20, 1, false)) // started after the announcement
	is.True(!tracker.Leaving())
}

// TestDepartureOfEarlierProcess guards against a delayed departure of an earlier process that
// takes a running one out of use, or replaces the departure of a newer one.
func TestDepartureOfEarlierProcess(t *testing.T) {
	is := is.New(t)
	tracker := heartbeat.NewTracker("s", "a")
	tracker.Observe(0, newReport("x", 20, 1, false))
	is.True(!tracker.RecordDeparture(1, heartbeat.NewDeparture(keyspace.NewProcess("x", 10))))
	is.True(!tracker.Leaving())
	is.True(tracker.RecordDeparture(2, heartbeat.NewDeparture(keyspace.NewProcess("x", 20))))
	left := tracker.Departure()
	is.True(!tracker.RecordDeparture(3, heartbeat.NewDeparture(keyspace.NewProcess("w", 10))))
	is.Equal(tracker.Departure(), left)
	next := heartbeat.NewDeparture(keyspace.NewProcess("y", 30))
	is.True(!tracker.RecordDeparture(4, next)) // has not reported yet
	is.Equal(tracker.Departure(), next)
}

// TestDepartureOfNextProcess guards against a departure that is forgotten since it comes before
// the first report of its process, while an earlier process is known.
func TestDepartureOfNextProcess(t *testing.T) {
	is := is.New(t)
	tracker := heartbeat.NewTracker("s", "a")
	tracker.Observe(0, newReport("x", 10, 1, true))
	is.True(!tracker.RecordDeparture(1, heartbeat.NewDepartureOfID("y", 30)))
	is.Equal(tracker.Observe(2, newReport("y", 20, 1, false)), heartbeat.Started)
	is.True(tracker.Leaving())

	tracker = heartbeat.NewTracker("s", "a")
	tracker.Observe(0, newReport("x", 10, 1, false))
	is.True(!tracker.RecordDeparture(1, heartbeat.NewDeparture(keyspace.NewProcess("x", 20))))
	is.True(tracker.Leaving()) // Requests for the process before would reach the one that leaves.
	is.Equal(tracker.Observe(2, newReport("x", 20, 1, false)), heartbeat.Started)
	is.True(tracker.Leaving())
}

// TestDepartureAnnouncedAgain guards against a drain time that begins anew since the upstream
// repeats its announcement, also to a restarted daemon.
func TestDepartureAnnouncedAgain(t *testing.T) {
	is := is.New(t)
	process := keyspace.NewProcess("x", 10)
	exact, byID := heartbeat.NewDeparture(process), heartbeat.NewDepartureOfID("x", 15)
	for _, announcements := range [][2]heartbeat.Departure{{exact, exact}, {exact, byID}, {byID, exact}, {byID, heartbeat.NewDepartureOfID("x", 18)}} {
		tracker := heartbeat.NewTracker("s", "a")
		tracker.RecordDeparture(1000, announcements[0])
		tracker.RecordDeparture(2000, announcements[1])
		tracker.Observe(3000, newReport("x", 10, 4, false))
		since, leaving := tracker.LeavingSince()
		is.True(leaving)
		is.Equal(since, clock.Millis(1000))
	}
	for _, again := range []heartbeat.Departure{exact, byID} {
		before := heartbeat.NewTracker("s", "a") // The row is known before the announcement,
		before.RestoreDeparture(0, exact)
		before.RecordDeparture(1000, again)
		before.Observe(2000, newReport("x", 10, 4, false))
		after := heartbeat.NewTracker("s", "a") // after it,
		after.RecordDeparture(1000, again)
		after.RestoreDeparture(1500, exact)
		after.Observe(2000, newReport("x", 10, 4, false))
		last := heartbeat.NewTracker("s", "a") // or after the first report too.
		last.RecordDeparture(1000, again)
		last.Observe(2000, newReport("x", 10, 4, false))
		last.RestoreDeparture(3000, exact)
		for _, tracker := range []*heartbeat.Tracker{before, after, last} {
			since, leaving := tracker.LeavingSince()
			is.True(leaving)
			is.True(since < 0)
		}
	}
}

// TestRestoreDeparture guards against a departure that was announced to an earlier daemon and
// is forgotten, or that replaces a newer one.
func TestRestoreDeparture(t *testing.T) {
	is := is.New(t)
	old, recent := heartbeat.NewDeparture(keyspace.NewProcess("x", 10)), heartbeat.NewDeparture(keyspace.NewProcess("x", 20))
	tracker := heartbeat.NewTracker("s", "a")
	tracker.Observe(0, newReport("x", 20, 1, false))
	tracker.RestoreDeparture(1, heartbeat.Departure{})
	is.True(!tracker.Leaving())
	tracker.RestoreDeparture(1, recent)
	since, leaving := tracker.LeavingSince()
	is.True(leaving && since < 0)
	is.True(!tracker.DepartureAnnounced())

	tracker = heartbeat.NewTracker("s", "a")
	tracker.RecordDeparture(1, recent)
	tracker.RestoreDeparture(2, old)
	is.Equal(tracker.Departure(), recent)
	tracker = heartbeat.NewTracker("s", "a")
	tracker.RecordDeparture(1, old)
	tracker.RestoreDeparture(2, recent) // the announcement was delayed
	is.Equal(tracker.Departure(), recent)
	is.Equal(tracker.Observe(3, newReport("x", 20, 1, false)), heartbeat.Started)
	is.True(tracker.Leaving())
}

// TestSuccessorThatLeaves guards against a process that counts as running when it replaces the
// known one, although it has announced its shutdown before.
func TestSuccessorThatLeaves(t *testing.T) {
	is := is.New(t)
	tracker := heartbeat.NewTracker("s", "a")
	tracker.Observe(0, newReport("x", 20, 1, false))
	verdict := heartbeat.Late
	for i := range int64(3) {
		verdict = tracker.Observe(clock.Millis(1000+i*870), newReport("y", 10, i+1, true))
	}
	is.Equal(verdict, heartbeat.Started)
	since, leaving := tracker.LeavingSince()
	is.True(leaving)
	is.Equal(since, clock.Millis(1000))
}
