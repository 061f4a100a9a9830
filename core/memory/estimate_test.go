package memory_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/memory"
)

// TestExpectedBodies guards against requests whose responses have no memory: each takes the
// memory for its response before it runs, and uses no more than that afterwards.
func TestExpectedBodies(t *testing.T) {
	is := is.New(t)
	budget := memory.NewBudget(400 << 10) // 300 kB for large bodies
	var estimate memory.Estimate
	is.Equal(estimate.Expected("upload", 100<<10), int64(100<<10))
	is.Equal(estimate.Expected("small", 100), int64(0))
	estimate.Record("upload", 120<<10)
	expected := estimate.Expected("upload", 0)
	is.Equal(expected, int64(120<<10))

	first, second, third := budget.Open(), budget.Open(), budget.Open()
	is.NoErr(first.Expect(expected))
	is.NoErr(first.Expect(expected)) // once for this request
	is.NoErr(second.Expect(expected))
	var exhausted *memory.ExhaustedError
	is.True(errors.As(third.Expect(expected), &exhausted))
	is.NoErr(first.Reserve(100 << 10)) // its response
	first.ReleaseExpected()
	is.Equal(budget.Used(), int64(100<<10)+expected)
	second.Close()
	is.NoErr(third.Expect(expected))
	third.ReleaseExpected()
	first.Close()
	is.Equal(budget.Used(), int64(0))
	var unlimited *memory.Account
	is.NoErr(unlimited.Expect(1 << 40))
	unlimited.ReleaseExpected()
}

// TestRareLargeBody guards against a route whose requests are refused for long since one of its
// responses was very large.
func TestRareLargeBody(t *testing.T) {
	is := is.New(t)
	var estimate memory.Estimate
	for i := range 200 {
		estimate.Record("download", 80<<10+i%3*(20<<10)) // 80 to 120 kB
	}
	expected := estimate.Expected("download", 0)
	is.True(expected > 120<<10 && expected < 160<<10)
	estimate.Record("download", 20<<20)
	is.True(estimate.Expected("download", 0) < 5<<20) // a quarter of it
	for range 100 {
		estimate.Record("download", 100<<10)
	}
	is.True(estimate.Expected("download", 0) < 160<<10)
}
