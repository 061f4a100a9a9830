package fleet_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/fleet"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/membership"
)

// TestChangeLog guards against a chain of deltas with a gap, and a log without a bound.
func TestChangeLog(t *testing.T) {
	is := is.New(t)
	var log fleet.ChangeLog
	_, ok := log.Since(revision(0))
	is.True(!ok)
	for number := uint64(10); number < 210; number += 2 {
		log.Append(fleet.NewDelta(revision(number-2), stamp(number), make([]byte, 100)))
	}
	deltas, ok := log.Since(revision(200))
	is.True(ok)
	is.Equal(len(deltas), 4)
	is.Equal(deltas[0].Base(), revision(200))
	is.Equal(deltas[3].Stamp(), stamp(208))
	_, ok = log.Since(revision(10)) // too old
	is.True(!ok)
	_, ok = log.Since(revision(208)) // up to date
	is.True(!ok)
	log.Append(fleet.NewDelta(revision(300), stamp(302), nil)) // a revision was missed
	_, ok = log.Since(revision(200))
	is.True(!ok)
	last, ok := log.Last()
	is.True(ok)
	is.Equal(last.Stamp(), stamp(302))
	log.Append(fleet.NewDelta(revision(302), stamp(304), make([]byte, 1<<20)))
	_, ok = log.Last()
	is.True(!ok) // larger than the log may be
}

// TestWithDelta guards against a delta that is applied to another revision than its base.
func TestWithDelta(t *testing.T) {
	is := is.New(t)
	a := keyspace.Assignment{}
	next := a.AddHolder(keyspace.NewHolder(membership.RestoreMember(7, member("i1", "s", true).Instance, 1, nil), keyspace.NewProcess("u", 1), 3)).AssignUnowned()
	key := fleet.AssignmentKey("s")
	view, err := fleet.View{}.WithDelta(key, fleet.NewDelta(revision(0), stamp(4), keyspace.Diff(a, next)))
	is.NoErr(err)
	is.Equal(view.Assignment("s").Stamp, stamp(4))
	is.Equal(len(view.Assignment("s").Assignment.OwnedBy("i1")), 64)
	_, err = view.WithDelta(key, fleet.NewDelta(revision(3), stamp(5), keyspace.Diff(next, a)))
	var mismatch *fleet.BaseError
	is.True(errors.As(err, &mismatch))
	is.Equal(mismatch.Known(), revision(4))
	_, err = view.WithDelta(key, fleet.NewDelta(revision(4), stamp(5), []byte("no delta")))
	var rejected *fleet.RowError
	is.True(errors.As(err, &rejected))
	_, err = view.WithDelta("member/i1", fleet.NewDelta(revision(0), stamp(5), nil))
	is.True(errors.As(err, &rejected))
}
