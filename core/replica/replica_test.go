package replica_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/replica"
	"briarwell.dev/core/table"
)

// TestReplicasConverge guards against an old version that replaces a newer one, and
// against replicas that differ without detecting it.
func TestReplicasConverge(t *testing.T) {
	is := is.New(t)
	var a, b replica.Rows
	is.Equal(len(a.Apply([]table.Row{table.NewRow("x", 2, []byte("new"))})), 1)
	is.Equal(len(a.Apply([]table.Row{table.NewRow("x", 1, []byte("old"))})), 0)
	is.Equal(string(a.Get("x").Value()), "new")
	is.True(a.Checksum() != b.Checksum())
	is.True(b.IsBehind(a.Versions()))
	b.Apply(a.NewerThan(b.Versions()))
	is.Equal(a.Checksum(), b.Checksum())
	is.True(!b.IsBehind(a.Versions()))
	is.Equal(len(a.NewerThan(b.Versions())), 0)
}

// TestDeletedRows guards against a deleted row that stays, and against a deletion that is
// concluded for a row that was written after the rows were read or replaces a later write.
func TestDeletedRows(t *testing.T) {
	is := is.New(t)
	var r replica.Rows
	for key, version := range map[string]table.Revision{"p/gone": 5, "p/there": 6, "p/newer": 21, "other": 4} {
		r.Apply([]table.Row{table.NewRow(key, version, []byte("x"))})
	}
	r.Apply([]table.Row{table.NewRow("p/tombstone", 7, nil)})
	deleted := r.DeletedRows("p/", []table.Row{table.NewRow("p/there", 6, []byte("x"))}, 20)
	is.Equal(deleted, []table.Row{table.NewRow("p/gone", 6, nil)})
	is.Equal(len(r.Apply(deleted)), 1)
	is.Equal(len(r.Apply([]table.Row{table.NewRow("p/gone", 5, []byte("x"))})), 0)
	is.Equal(len(r.Apply([]table.Row{table.NewRow("p/gone", 8, []byte("x"))})), 1) // a later write
	is.Equal(len(r.WithPrefix("p/")), 4)
}
