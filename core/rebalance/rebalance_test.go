package rebalance_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyowner"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/rebalance"
)

// fleet replays a load on holders of different speed: each second, every holder
// plans for itself on the same figures, and all moves take effect.
type fleet struct {
	division   keyspace.Assignment
	capacities []float64
	rate       func(key int) float64
}

func name(i int) string { return fmt.Sprintf("i%d", i) }

func newFleet(capacities []float64, rate func(int) float64) *fleet {
	f := &fleet{capacities: capacities, rate: rate}
	for i := range capacities {
		lease := membership.RestoreMember(identity.Incarnation(i+1), membership.NewInstance(name(i), "", "", identity.Location{}), 1, nil)
		f.division = f.division.AddHolder(keyspace.NewHolder(lease, keyspace.NewProcess(name(i), 1), 12))
	}
	f.division = f.division.AssignUnowned()
	return f
}

const bucket = 16

// demands returns the holders' loads and the spans asked for of each.
func (f *fleet) demands() ([]rebalance.Holder, [][]rebalance.SpanRate) {
	holders := make([]rebalance.Holder, len(f.capacities))
	busy := make([][]rebalance.SpanRate, len(f.capacities))
	for i, capacity := range f.capacities {
		holders[i] = rebalance.Holder{Name: name(i), Capacity: capacity, Ranges: len(f.division.OwnedBy(name(i)))}
	}
	for first := 0; first < 65536; first += bucket {
		rate := 0.0
		for k := first; k < first+bucket; k++ {
			rate += f.rate(k)
		}
		r, _ := f.division.RangeOf(keyspace.Key(first))
		for i := range holders {
			if holders[i].Name == r.Owner() && rate > 0 {
				holders[i].Demand += rate / holders[i].Capacity
				busy[i] = append(busy[i], rebalance.NewSpanRate(keyspace.NewSpan(keyspace.Key(first), keyspace.Key(first+bucket-1)), rate))
			}
		}
	}
	return holders, busy
}

func (f *fleet) step() int {
	holders, busy := f.demands()
	plans := make([][]keyowner.Move, len(holders))
	moves := 0
	for i, h := range holders {
		others := append(append([]rebalance.Holder{}, holders[:i]...), holders[i+1:]...)
		plans[i] = rebalance.Plan(h, others, f.division.OwnedBy(h.Name), busy[i])
		moves += len(plans[i])
	}
	for i, plan := range plans {
		var released []keyspace.ReleasedSpan
		for _, m := range plan {
			f.division = f.division.StartMove(name(i), m.Span(), m.NextOwner())
			released = append(released, keyspace.NewReleasedSpan(m.Span(), ""))
		}
		f.division = f.division.CompleteMoves(name(i), released)
	}
	return moves
}

// worst returns the highest demand of a holder.
func (f *fleet) worst() float64 {
	holders, _ := f.demands()
	worst := 0.0
	for _, h := range holders {
		worst = max(worst, h.Demand)
	}
	return worst
}

// TestUnequalSpeeds replays even keys on holders of speed 0.7 and 1.6. Equal
// numbers of keys, the naive rule, leave the slow ones at 1.4 times their
// capacity.
func TestUnequalSpeeds(t *testing.T) {
	is := is.New(t)
	capacities := []float64{30, 30, 70, 30, 30, 70}
	f := newFleet(capacities, func(int) float64 { return 250.0 / 65536 })
	is.True(f.worst() > 1.3)
	for range 4 {
		f.step()
	}
	is.True(f.worst() < 1.12)
	is.Equal(f.step(), 0) // it comes to rest
}

// TestHotKeys replays 200 and 60 adjacent keys that get 40 in 100 requests. The
// naive rule leaves them with the holders that they were dealt to.
func TestHotKeys(t *testing.T) {
	is := is.New(t)
	for _, width := range []int{200, 60} {
		capacities := []float64{50, 50, 50, 50, 50, 50}
		f := newFleet(capacities, func(k int) float64 {
			rate := 0.6 * 240 / 65536
			if k >= 30000 && k < 30000+width {
				rate += 0.4 * 240 / float64(width)
			}
			return rate
		})
		naive, steps := f.worst(), 0
		for f.worst() > 1 && steps < 5 {
			f.step()
			steps++
		}
		t.Logf("%d keys: demand %.2f, %.2f after %d steps", width, naive, f.worst(), steps)
		is.True(naive > 1.2)
		is.True(f.worst() <= 1)
		for _, h := range f.division.Holders() {
			is.True(len(f.division.OwnedBy(h.InstanceName())) <= keyspace.MaxRangesPerHolder)
		}
	}
}

// TestNothingToDo guards against moves that help nobody.
func TestNothingToDo(t *testing.T) {
	is := is.New(t)
	calm := newFleet([]float64{50, 50, 50}, func(int) float64 { return 60.0 / 65536 })
	is.Equal(calm.step(), 0)
	full := newFleet([]float64{50, 50, 50}, func(int) float64 { return 300.0 / 65536 })
	is.Equal(full.step(), 0) // all are as overloaded
}

// TestMeter guards against rates that outlive their requests.
func TestMeter(t *testing.T) {
	is := is.New(t)
	var m rebalance.Meter
	now := clock.Millis(0)
	for range 400 {
		now += 10
		m.Observe(now, 100)
	}
	is.True(m.TotalRate(now) > 90 && m.TotalRate(now) < 110)
	is.Equal(len(m.Rates(now)), 1)
	for range 20 {
		now += 500
		m.TotalRate(now)
	}
	is.Equal(len(m.Rates(now)), 0)
}
