package fleet_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/fleet"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/table"
)

// TestChangeLog guards against a chain of deltas with a gap, and a log without a bound.
func TestChangeLog(t *testing.T) {
	is := is.New(t)
	var log fleet.ChangeLog
	_, ok := log.Since(0)
	is.True(!ok)
	for revision := table.Revision(10); revision < 210; revision += 2 {
		log.Append(fleet.NewDelta(revision-2, revision, make([]byte, 100)))
	}
	deltas, ok := log.Since(200)
	is.True(ok)
	is.Equal(len(deltas), 4)
	is.Equal(deltas[0].Base(), table.Revision(200))
	is.Equal(deltas[3].Revision(), table.Revision(208))
	_, ok = log.Since(10) // too old
	is.True(!ok)
	_, ok = log.Since(208) // up to date
	is.True(!ok)
	log.Append(fleet.NewDelta(300, 302, nil)) // a revision was missed
	_, ok = log.Since(200)
	is.True(!ok)
	last, ok := log.Last()
	is.True(ok)
	is.Equal(last.Revision(), table.Revision(302))
	log.Append(fleet.NewDelta(302, 304, make([]byte, 1<<20)))
	_, ok = log.Last()
	is.True(!ok) // larger than the log may be
}

// TestWithDelta guards against a delta that is applied to another revision than its base.
func TestWithDelta(t *testing.T) {
	is := is.New(t)
	a := keyspace.Assignment{}
	next := a.AddHolder(keyspace.NewHolder(membership.RestoreMember(7, member("i1", "s", true).Instance, 1, nil), keyspace.NewProcess("u", 1), 3)).AssignUnowned()
	key := fleet.AssignmentKey("s")
	view, err := fleet.View{}.WithDelta(key, 0, 4, keyspace.Diff(a, next))
	is.NoErr(err)
	is.Equal(view.Assignment("s").Revision, table.Revision(4))
	is.Equal(len(view.Assignment("s").Assignment.OwnedBy("i1")), 64)
	_, err = view.WithDelta(key, 3, 5, keyspace.Diff(next, a))
	var mismatch *fleet.BaseError
	is.True(errors.As(err, &mismatch))
	is.Equal(mismatch.Known(), table.Revision(4))
	_, err = view.WithDelta(key, 4, 5, []byte("no delta"))
	var rejected *fleet.RowError
	is.True(errors.As(err, &rejected))
	_, err = view.WithDelta("member/i1", 0, 5, nil)
	is.True(errors.As(err, &rejected))
}
