package replica_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/era"
	"briarwell.dev/core/replica"
)

// revision returns the revision with a number of a store that reports no era.
func revision(number uint64) era.Revision { return era.NewRevision(0, number) }

// TestReplicasConverge guards against an old version that replaces a newer one, and
// against replicas that differ without detecting it.
func TestReplicasConverge(t *testing.T) {
	is := is.New(t)
	var a, b replica.Rows
	is.Equal(len(a.Apply([]era.Row{era.NewRow("x", revision(2), []byte("new"))})), 1)
	is.Equal(len(a.Apply([]era.Row{era.NewRow("x", revision(1), []byte("old"))})), 0)
	is.Equal(string(a.Get("x").Value()), "new")
	is.True(a.Checksum() != b.Checksum())
	is.True(b.IsBehind(a.Stamps()))
	b.Apply(a.NewerThan(b.Stamps()))
	is.Equal(a.Checksum(), b.Checksum())
	is.True(!b.IsBehind(a.Stamps()))
	is.Equal(len(a.NewerThan(b.Stamps())), 0)
}

// TestDeletedRows guards against a deleted row that stays, and against a deletion that is
// concluded for a row that was written after the rows were read or replaces a later write.
func TestDeletedRows(t *testing.T) {
	is := is.New(t)
	var r replica.Rows
	for key, version := range map[string]uint64{"p/gone": 5, "p/there": 6, "p/newer": 21, "other": 4} {
		r.Apply([]era.Row{era.NewRow(key, revision(version), []byte("x"))})
	}
	r.Apply([]era.Row{era.NewRow("p/tombstone", revision(7), nil)})
	deleted := r.DeletedRows("p/", []era.Row{era.NewRow("p/there", revision(6), []byte("x"))}, revision(20))
	is.Equal(deleted, []era.Row{era.NewRow("p/gone", revision(6), nil)})
	is.Equal(len(r.Apply(deleted)), 1)
	is.Equal(len(r.Apply([]era.Row{era.NewRow("p/gone", revision(5), []byte("x"))})), 0)
	is.Equal(len(r.Apply([]era.Row{era.NewRow("p/gone", revision(8), []byte("x"))})), 1) // a later write
	is.Equal(len(r.WithPrefix("p/")), 4)
}

// TestRestoredStore guards against content that is forgotten because the store came back from an older
// copy, and against a row that counts as present although the store has lost it.
func TestRestoredStore(t *testing.T) {
	is := is.New(t)
	at := era.NewRevision
	var a, b replica.Rows
	a.Apply([]era.Row{era.NewRow("p/kept", at(1, 7), []byte("new")), era.NewRow("p/lost", at(1, 8), []byte("created")), era.NewRow("q/lost", at(1, 9), []byte("x"))})
	restored := []era.Row{era.NewRowAt("p/kept", era.NewStamp(at(2, 5), at(1, 5)), []byte("old"))}
	is.Equal(len(a.Apply(append(a.LostRows("p/", restored, at(2, 5)), restored...))), 2)
	is.Equal(string(a.Get("p/kept").Value()), "new")
	is.Equal(a.Get("p/kept").Version(), at(2, 5))
	is.Equal(string(a.Get("p/lost").Value()), "created")
	is.Equal(a.Get("p/lost").Version(), at(2, 0))
	is.Equal(len(a.Unstored()), 2)
	is.Equal(len(a.LostRows("p/", restored, at(2, 5))), 0)

	b.Apply(restored) // a daemon without memory
	is.Equal(len(b.Lacking(a.Unstored())), 2)
	b.Apply(a.NewerThan(b.Stamps()))
	is.Equal(a.Checksum(), b.Checksum())

	rewritten := era.NewRow("p/kept", at(2, 6), []byte("new")) // the content of a is written again
	a.Apply([]era.Row{rewritten})
	is.Equal(len(a.Unstored()), 1)
}
