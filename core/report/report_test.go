package report_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/report"
)

func of(id string, born, sequence int64, leaving bool) report.Report {
	return report.Report{Life: keyspace.NewProcess(id, born), Sequence: sequence, Service: "s", Address: "a", Slots: 6, Leaving: leaving}
}

// TestTake guards against reports of a former life, late reports and reports of
// another upstream.
func TestTake(t *testing.T) {
	is := is.New(t)
	tracker := report.NewTracker("s", "a")
	is.Equal(tracker.Take(1, of("x", 10, 1, false)), report.Started)
	is.Equal(tracker.Take(2, of("x", 10, 3, false)), report.Accepted)
	is.Equal(tracker.Take(3, of("x", 10, 2, true)), report.Late)
	is.True(!tracker.Leaving())
	is.Equal(tracker.Take(4, of("x", 20, 1, false)), report.Started) // the same ID again
	is.Equal(tracker.Take(5, of("x", 10, 9, true)), report.Late)
	is.Equal(tracker.Take(6, of("y", 15, 1, false)), report.Late)
	foreign := of("z", 30, 1, false)
	foreign.Service = "t"
	is.Equal(tracker.Take(7, foreign), report.Foreign)
	is.Equal(tracker.Take(8, report.Report{Service: "s", Address: "a"}), report.Foreign)
	known, ok := tracker.Known()
	is.True(ok)
	is.Equal(known.Life, keyspace.NewProcess("x", 20))
	is.Equal(int64(tracker.Heard()), int64(4))
}

// TestLeave guards against a leave that is taken back, or that ends another life.
func TestLeave(t *testing.T) {
	is := is.New(t)
	tracker := report.NewTracker("s", "a")
	is.True(!tracker.Depart("x"))
	tracker.Take(1, of("x", 10, 1, true))
	tracker.Take(2, of("x", 10, 2, false))
	is.True(tracker.Leaving())
	is.True(!tracker.Depart("y"))
	is.True(tracker.Depart("x"))
	tracker.End()
	is.True(tracker.Ended())
	is.Equal(tracker.Take(3, of("y", 20, 1, false)), report.Started)
	is.True(!tracker.Leaving() && !tracker.Ended())
}
