package faults_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"briarwell.dev/demo/faults"
)

// TestPlanRepeatsForSeed guards against plans that differ for the same seed, kinds of
// faults that never occur, and freezes outside 0.5 s to 10 s.
func TestPlanRepeatsForSeed(t *testing.T) {
	is := is.New(t)
	regions := []string{"lagos", "kano", "enugu"}
	instances := []string{"a", "b", "c"}
	first, second := faults.NewPlan(7, instances, regions), faults.NewPlan(7, instances, regions)
	kinds := make(map[string]bool)
	pairCount := 0
	for range 100 {
		step := first.Next()
		is.Equal(step.String(), second.Next().String())
		pairCount += len(step.Faults()) - 1
		for _, timed := range step.Faults() {
			switch f := timed.Fault().(type) {
			case faults.Kill:
				kinds["kill "+string(f.Selection())] = true
			case faults.Freeze:
				kinds["freeze "+string(f.Selection())] = true
				is.True(timed.Duration() >= 500*time.Millisecond && timed.Duration() <= 10*time.Second)
			case faults.Leave:
				kinds["leave"] = true
			case faults.TableFault:
				kinds[f.String()] = true
			case faults.LinkFault:
				kinds["cut "+string(f.Kind())] = true
			}
		}
	}
	is.Equal(pairCount, 25)
	is.Equal(len(kinds), 13)
}
