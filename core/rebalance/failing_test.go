package rebalance_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/rebalance"
)

// failingShare returns the share of all requests that fail at their owners.
func (s *simulation) failingShare() float64 {
	holders, _ := s.loads()
	failed, all := 0.0, 0.0
	for _, h := range holders {
		rate := h.Demand * h.Capacity
		failed += rate * h.FailureShare
		all += rate
	}
	return failed / all
}

// TestPartiallyFailingHolder applies an even load at 0.4 of the capacity to six holders of
// which one fails 45% of its requests, at once and with a good health check. Its keys have to
// be served elsewhere, as no other holder can run their requests.
func TestPartiallyFailingHolder(t *testing.T) {
	is := is.New(t)
	s := newSimulation([]float64{50, 50, 50, 50, 50, 50}, func(int) float64 { return 120.0 / 65536 })
	s.failures = map[int]float64{2: 0.45}
	initial := s.failingShare()
	for range 4 {
		s.step()
	}
	t.Logf("requests that fail: %.3f, %.3f after 4 steps, highest demand %.2f", initial, s.failingShare(), s.maxDemand())
	is.True(initial > 0.06)
	is.True(s.failingShare() < 0.02)
	is.True(s.maxDemand() < 0.75)
	// An overloaded holder gives none of its keys to the failing one, idle as that is now.
	holders, _ := s.loads()
	for _, m := range s.plan(0, withDemand(holders, 0, 1.2)) {
		is.True(m.NextOwner() != name(2))
	}
}

// TestOverloadedServiceKeepsKeysOfFailingHolder guards against moves that replace a failure of
// some requests by a refusal of as many others.
func TestOverloadedServiceKeepsKeysOfFailingHolder(t *testing.T) {
	is := is.New(t)
	s := newSimulation([]float64{50, 50, 50, 50}, func(int) float64 { return 220.0 / 65536 })
	s.failures = map[int]float64{1: 0.3}
	is.Equal(s.step(), 0)
}

// TestSharedFailures guards against moves when all holders fail alike, as they do while a
// service that they call is not available.
func TestSharedFailures(t *testing.T) {
	is := is.New(t)
	s := newSimulation([]float64{50, 50, 50, 50}, func(int) float64 { return 100.0 / 65536 })
	s.failures = map[int]float64{0: 0.45, 1: 0.4, 2: 0.5, 3: 0.42}
	is.Equal(s.step(), 0)
}

// TestHolderTakesKeysAfterFailures guards against a holder that is left out for good after
// it has failed for a while.
func TestHolderTakesKeysAfterFailures(t *testing.T) {
	is := is.New(t)
	s := newSimulation([]float64{50, 50, 50, 50, 50, 50}, func(int) float64 { return 120.0 / 65536 })
	s.failures = map[int]float64{2: 0.45}
	for range 4 {
		s.step()
	}
	s.failures = nil
	s.rate = func(int) float64 { return 330.0 / 65536 }
	before, _ := s.loads()
	for range 6 {
		s.step()
	}
	after, _ := s.loads()
	is.Equal(before[2].Demand, 0.0)
	is.True(after[2].Demand > 0.7)
}

// TestPlanOfManyHolders guards against work for each pair of holders: busy holders plan twice a
// second, on machines with a small share of a processor.
func TestPlanOfManyHolders(t *testing.T) {
	is := is.New(t)
	self := rebalance.Holder{Name: "self", Demand: 0.9, Capacity: 50}
	others := make([]rebalance.Holder, 114)
	for i := range others {
		others[i] = rebalance.Holder{Name: name(i), Demand: 0.9, Capacity: 50}
	}
	allocations := testing.AllocsPerRun(10, func() { rebalance.Plan(self, others, nil, nil) })
	is.True(allocations <= 2)
}
