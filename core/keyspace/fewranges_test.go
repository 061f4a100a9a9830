package keyspace_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/keyspace"
)

// TestBalanceFewRanges guards against holders that get no keys after they have joined a holder that
// owns all keys in one merged range, as after the return of all other failure domains to use.
func TestBalanceFewRanges(t *testing.T) {
	for _, holders := range []int{2, 4, 18, 42, 115, 300} {
		t.Run(fmt.Sprint(holders), func(t *testing.T) {
			is := is.New(t)
			a := newAssignment(1)
			owner := a.Holders()[0].InstanceName()
			a = a.CompleteMoves(owner, nil) // merges the ranges
			is.Equal(len(a.Ranges()), 1)
			for n := 1; n < holders; n++ {
				a = a.AddHolder(holder(n, 1))
			}
			moved := true
			for round := 0; moved && round < 10; round++ {
				a, moved = a.BalanceRangeCounts()
				a = completeMoves(a)
				is.True(len(keyspace.MergeAdjacent(a.OwnedBy(owner))) <= keyspace.MaxRangesPerHolder)
			}
			is.True(!moved) // It settles.
			for _, h := range a.Holders() {
				is.True(len(a.OwnedBy(h.InstanceName())) > 0)
			}
		})
	}
}

// completeMoves hands over all ranges that move.
func completeMoves(a keyspace.Assignment) keyspace.Assignment {
	for _, h := range a.Holders() {
		var released []keyspace.ReleasedSpan
		for _, r := range a.OwnedBy(h.InstanceName()) {
			if r.NextOwner() != "" {
				released = append(released, keyspace.NewReleasedSpan(r.Span, ""))
			}
		}
		a = a.CompleteMoves(h.InstanceName(), released)
	}
	return a
}
