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
