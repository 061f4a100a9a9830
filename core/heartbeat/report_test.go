package heartbeat_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/heartbeat"
	"briarwell.dev/core/keyspace"
)

func of(id string, born, sequence int64, leaving bool) heartbeat.Report {
	return heartbeat.Report{Process: keyspace.NewProcess(id, born), Sequence: sequence, Service: "s", Address: "a", Slots: 6, Leaving: leaving}
}

// TestTake guards against reports of a former life, late reports and reports of
// another upstream.
func TestTake(t *testing.T) {
	is := is.New(t)
	tracker := heartbeat.NewTracker("s", "a")
	is.Equal(tracker.Observe(1, of("x", 10, 1, false)), heartbeat.Started)
	is.Equal(tracker.Observe(2, of("x", 10, 3, false)), heartbeat.Accepted)
	is.Equal(tracker.Observe(3, of("x", 10, 2, true)), heartbeat.Late)
	is.True(!tracker.Leaving())
	is.Equal(tracker.Observe(4, of("x", 20, 1, false)), heartbeat.Started) // the same ID again
	is.Equal(tracker.Observe(5, of("x", 10, 9, true)), heartbeat.Late)
	is.Equal(tracker.Observe(6, of("y", 15, 1, false)), heartbeat.Late)
	foreign := of("z", 30, 1, false)
	foreign.Service = "t"
	is.Equal(tracker.Observe(7, foreign), heartbeat.Foreign)
	is.Equal(tracker.Observe(8, heartbeat.Report{Service: "s", Address: "a"}), heartbeat.Foreign)
	known, ok := tracker.Last()
	is.True(ok)
	is.Equal(known.Process, keyspace.NewProcess("x", 20))
	is.Equal(int64(tracker.LastReceived()), int64(4))
}

// TestLeave guards against a leave that is taken back, or that ends another life.
func TestLeave(t *testing.T) {
	is := is.New(t)
	tracker := heartbeat.NewTracker("s", "a")
	is.True(!tracker.MarkLeaving("x"))
	tracker.Observe(1, of("x", 10, 1, true))
	tracker.Observe(2, of("x", 10, 2, false))
	is.True(tracker.Leaving())
	is.True(!tracker.MarkLeaving("y"))
	is.True(tracker.MarkLeaving("x"))
	tracker.MarkEnded()
	is.True(tracker.Ended())
	is.Equal(tracker.Observe(3, of("y", 20, 1, false)), heartbeat.Started)
	is.True(!tracker.Leaving() && !tracker.Ended())
}
