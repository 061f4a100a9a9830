package replica_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/replica"
	"briarwell.dev/core/table"
)

// TestMerge guards against rows that go back, and against copies that differ and
// do not see it.
func TestMerge(t *testing.T) {
	is := is.New(t)
	var a, b replica.Rows
	is.Equal(len(a.Apply([]table.Row{table.NewRow("x", 2, []byte("new"))})), 1)
	is.Equal(len(a.Apply([]table.Row{table.NewRow("x", 1, []byte("old"))})), 0)
	is.Equal(string(a.Get("x").Value()), "new")
	is.True(a.Sum() != b.Sum())
	is.True(b.Older(a.Digest()))
	b.Apply(a.Newer(b.Digest()))
	is.Equal(a.Sum(), b.Sum())
	is.True(!b.Older(a.Digest()))
	is.Equal(len(a.Newer(b.Digest())), 0)
}
