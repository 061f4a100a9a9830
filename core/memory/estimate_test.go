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
	estimate.Record("upload", 10<<10)
	expected := estimate.Expected("upload", 0)
	is.True(expected > 110<<10 && expected < 120<<10)

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
