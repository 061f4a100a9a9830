package rebalance_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyowner"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/rebalance"
)

// simulation applies a load to holders of different speed. Each second, every holder
// plans on its own from the same loads, and all moves take effect.
type simulation struct {
	assignment keyspace.Assignment
	capacities []float64
	// rate returns the requests per second for a key.
	rate func(key int) float64
	// failures holds the share of its requests that each holder fails.
	failures map[int]float64
}

func name(i int) string { return fmt.Sprintf("i%d", i) }

func newSimulation(capacities []float64, rate func(int) float64) *simulation {
	s := &simulation{capacities: capacities, rate: rate}
	for i := range capacities {
		member := membership.RestoreMember(identity.Incarnation(i+1), membership.NewInstance(name(i), "", "", identity.Location{}), 1, nil)
		s.assignment = s.assignment.AddHolder(keyspace.NewHolder(member, keyspace.NewProcess(name(i), 1), 12))
	}
	s.assignment = s.assignment.AssignUnowned()
	return s
}

// bucketKeys is the number of keys that rebalance.Meter counts together.
const bucketKeys = 16

// loads returns the holders with their loads, and the rates of the spans of each.
func (s *simulation) loads() ([]rebalance.Holder, [][]rebalance.SpanRate) {
	holders := make([]rebalance.Holder, len(s.capacities))
	rates := make([][]rebalance.SpanRate, len(s.capacities))
	for i, capacity := range s.capacities {
		holders[i] = rebalance.Holder{Name: name(i), Capacity: capacity, Ranges: len(s.assignment.OwnedBy(name(i))), FailureShare: s.failures[i]}
	}
	for first := 0; first < 65536; first += bucketKeys {
		rate := 0.0
		for k := first; k < first+bucketKeys; k++ {
			rate += s.rate(k)
		}
		r, _ := s.assignment.RangeOf(keyspace.Key(first))
		for i := range holders {
			if holders[i].Name == r.Owner() && rate > 0 {
				holders[i].Demand += rate / holders[i].Capacity
				rates[i] = append(rates[i], rebalance.NewSpanRate(keyspace.NewSpan(keyspace.Key(first), keyspace.Key(first+bucketKeys-1)), rate))
			}
		}
	}
	return holders, rates
}

// step runs one plan of each holder and returns the number of moves.
func (s *simulation) step() int {
	holders, _ := s.loads()
	plans := make([][]keyowner.Move, len(holders))
	moves := 0
	for i := range holders {
		plans[i] = s.plan(i, holders)
		moves += len(plans[i])
	}
	for i, plan := range plans {
		var released []keyspace.ReleasedSpan
		for _, m := range plan {
			s.assignment = s.assignment.StartMove(name(i), m.Span(), m.NextOwner())
			released = append(released, keyspace.NewReleasedSpan(m.Span(), ""))
		}
		s.assignment = s.assignment.CompleteMoves(name(i), released)
	}
	return moves
}

// plan returns the moves of a holder that knows the loads.
func (s *simulation) plan(i int, loads []rebalance.Holder) []keyowner.Move {
	_, rates := s.loads()
	others := slices.Delete(slices.Clone(loads), i, i+1)
	return rebalance.Plan(loads[i], others, s.assignment.OwnedBy(name(i)), rates[i])
}

// withDemand returns the holders with another demand of one of them.
func withDemand(holders []rebalance.Holder, i int, demand float64) []rebalance.Holder {
	changed := slices.Clone(holders)
	changed[i].Demand = demand
	return changed
}

// maxDemand returns the highest demand of a holder.
func (s *simulation) maxDemand() float64 {
	holders, _ := s.loads()
	highest := 0.0
	for _, h := range holders {
		highest = max(highest, h.Demand)
	}
	return highest
}

// TestUnequalSpeeds applies an even load to holders of relative speed 0.7 and 1.6. With
// equal numbers of keys, the slow ones get 1.4 times their capacity.
func TestUnequalSpeeds(t *testing.T) {
	is := is.New(t)
	capacities := []float64{30, 30, 70, 30, 30, 70}
	s := newSimulation(capacities, func(int) float64 { return 250.0 / 65536 })
	is.True(s.maxDemand() > 1.3)
	for range 4 {
		s.step()
	}
	is.True(s.maxDemand() < 1.12)
	is.Equal(s.step(), 0) // the assignment is stable
}

// TestHotKeys applies a load of which 40% is for 200 or 60 adjacent keys. Without moves,
// the holders that own them are overloaded.
func TestHotKeys(t *testing.T) {
	is := is.New(t)
	for _, width := range []int{200, 60} {
		capacities := []float64{50, 50, 50, 50, 50, 50}
		s := newSimulation(capacities, func(k int) float64 {
			rate := 0.6 * 240 / 65536
			if k >= 30000 && k < 30000+width {
				rate += 0.4 * 240 / float64(width)
			}
			return rate
		})
		initial, steps := s.maxDemand(), 0
		for s.maxDemand() > 1 && steps < 5 {
			s.step()
			steps++
		}
		t.Logf("%d keys: maximum demand %.2f, %.2f after %d steps", width, initial, s.maxDemand(), steps)
		is.True(initial > 1.2)
		is.True(s.maxDemand() <= 1)
		for _, h := range s.assignment.Holders() {
			is.True(len(s.assignment.OwnedBy(h.InstanceName())) <= keyspace.MaxRangesPerHolder)
		}
	}
}

// TestNoUselessMoves guards against moves that lower no overload.
func TestNoUselessMoves(t *testing.T) {
	is := is.New(t)
	underloaded := newSimulation([]float64{50, 50, 50}, func(int) float64 { return 60.0 / 65536 })
	is.Equal(underloaded.step(), 0)
	overloaded := newSimulation([]float64{50, 50, 50}, func(int) float64 { return 300.0 / 65536 })
	is.Equal(overloaded.step(), 0) // all holders are equally overloaded
}

// TestMeterRatesDecay guards against rates that remain after the requests have stopped.
func TestMeterRatesDecay(t *testing.T) {
	is := is.New(t)
	var meter rebalance.Meter
	now := clock.Millis(0)
	for range 400 {
		now += 10
		meter.Observe(now, 100)
	}
	is.True(meter.TotalRate(now) > 90 && meter.TotalRate(now) < 110)
	is.Equal(len(meter.Rates(now)), 1)
	for range 20 {
		now += 500
		meter.TotalRate(now)
	}
	is.Equal(len(meter.Rates(now)), 0)
}
