package heartbeat_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/heartbeat"
	"briarwell.dev/core/keyspace"
)

func newReport(id string, startUnixMillis, sequence int64, leaving bool) heartbeat.Report {
	return heartbeat.Report{Process: keyspace.NewProcess(id, startUnixMillis), Sequence: sequence, Service: "s", Address: "a", Slots: 6, Leaving: leaving}
}

// TestTrackerObserve guards against accepting reports of an earlier process, late reports
// and reports of another upstream.
func TestTrackerObserve(t *testing.T) {
	is := is.New(t)
	tracker := heartbeat.NewTracker("s", "a")
	is.Equal(tracker.Observe(1, newReport("x", 10, 1, false)), heartbeat.Started)
	is.Equal(tracker.Observe(2, newReport("x", 10, 3, false)), heartbeat.Accepted)
	is.Equal(tracker.Observe(3, newReport("x", 10, 2, true)), heartbeat.Late)
	is.True(!tracker.Leaving())
	is.Equal(tracker.Observe(4, newReport("x", 20, 1, false)), heartbeat.Started) // restarted under the same ID
	is.Equal(tracker.Observe(5, newReport("x", 10, 9, true)), heartbeat.Late)
	is.Equal(tracker.Observe(6, newReport("y", 15, 1, false)), heartbeat.Late)
	foreign := newReport("z", 30, 1, false)
	foreign.Service = "t"
	is.Equal(tracker.Observe(7, foreign), heartbeat.Foreign)
	is.Equal(tracker.Observe(8, heartbeat.Report{Service: "s", Address: "a"}), heartbeat.Foreign)
	known, ok := tracker.Last()
	is.True(ok)
	is.Equal(known.Process, keyspace.NewProcess("x", 20))
	is.Equal(int64(tracker.LastReceived()), int64(4))
}

// TestTrackerLeaving guards against a leaving state that a later report clears, or that
// is taken from the message of another process.
func TestTrackerLeaving(t *testing.T) {
	is := is.New(t)
	tracker := heartbeat.NewTracker("s", "a")
	tracker.Observe(1, newReport("x", 10, 1, true))
	tracker.Observe(2, newReport("x", 10, 2, false))
	is.True(tracker.Leaving())
	is.True(!tracker.RecordDeparture(2, heartbeat.NewDepartureOfID("y", 15)))
	is.True(tracker.RecordDeparture(2, heartbeat.NewDepartureOfID("x", 30)))
	since, leaving := tracker.LeavingSince()
	is.True(leaving)
	is.Equal(since, clock.Millis(1))
	tracker.MarkEnded()
	is.True(tracker.Ended())
	is.Equal(tracker.Observe(3, newReport("y", 20, 1, false)), heartbeat.Started)
	is.True(!tracker.Leaving() && !tracker.Ended())
}

// TestProcessStartedAfterClockStep guards against an upstream that is never used again since
// it was restarted after the time of day had been set back: its start time is then lower than
// that of the process before it, which no longer reports. After a loss, requests must be
// served again within 3 s.
func TestProcessStartedAfterClockStep(t *testing.T) {
	is := is.New(t)
	tracker := heartbeat.NewTracker("s", "a")
	earlier := heartbeat.Report{Process: keyspace.NewProcess("u1", 20_000), Sequence: 1, Service: "s", Address: "a", Slots: 2}
	is.Equal(tracker.Observe(0, earlier), heartbeat.Started)
	for i := range clock.Millis(4) {
		later := earlier
		later.Process, later.Sequence = keyspace.NewProcess("u2", 13_000), int64(i)+1
		if tracker.Observe(1000+870*i, later) == heartbeat.Started {
			return
		}
	}
	t.Error("the restarted upstream is not used 3 s after its first report")
}

// TestDelayedReportsOfEndedProcess guards against an ended process that counts as restarted
// since its reports were delayed: they arrive together, or beside those of the running process.
func TestDelayedReportsOfEndedProcess(t *testing.T) {
	is := is.New(t)
	tracker := heartbeat.NewTracker("s", "a")
	is.Equal(tracker.Observe(0, newReport("x", 20, 1, false)), heartbeat.Started)
	for i := range int64(10) { // together, after a freeze of this instance
		is.Equal(tracker.Observe(clock.Millis(9000+i*30), newReport("w", 10, i+1, false)), heartbeat.Late)
	}
	for i := range int64(8) { // one by one, beside the running process
		now := clock.Millis(10_000 + i*870)
		is.Equal(tracker.Observe(now, newReport("x", 20, i+2, false)), heartbeat.Accepted)
		is.Equal(tracker.Observe(now+400, newReport("w", 10, i+11, false)), heartbeat.Late)
	}
	for i := range int64(8) { // the same report again and again
		is.Equal(tracker.Observe(clock.Millis(20_000+i*870), newReport("w", 10, 30, false)), heartbeat.Late)
	}
}

// TestLeavingProcessIsNotReplacedUnderItsID guards against requests that reach a leaving
// upstream since a delayed report names an earlier process with the same ID.
func TestLeavingProcessIsNotReplacedUnderItsID(t *testing.T) {
	is := is.New(t)
	tracker := heartbeat.NewTracker("s", "a")
	is.Equal(tracker.Observe(0, newReport("x", 20, 1, true)), heartbeat.Started)
	for i := range int64(5) {
		is.Equal(tracker.Observe(clock.Millis(1000+i*870), newReport("x", 10, i+1, false)), heartbeat.Late)
	}
	tracker.MarkEnded()
	verdict := heartbeat.Late
	for i := range int64(3) {
		verdict = tracker.Observe(clock.Millis(9000+i*870), newReport("x", 10, i+9, false))
	}
	is.Equal(verdict, heartbeat.Started)
	is.True(!tracker.Leaving())
}
