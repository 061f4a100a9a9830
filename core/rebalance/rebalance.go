// Package rebalance decides which keys a holder gives to others. Load pattern:
// upstreams of different speed that own equally many keys, and a few adjacent
// keys that suddenly get much of the traffic.
package rebalance

import (
	"cmp"
	"slices"

	"briarwell.dev/core/keyowner"
	"briarwell.dev/core/keyspace"
)

const (
	// minDemand is the demand from which a holder gives keys away: below it,
	// requests seldom wait.
	minDemand = 0.7
	// minExcess is by how much a holder's demand must exceed the mean.
	minExcess = 0.2
	// maxMoves bounds the moves of one plan: each leaves its keys unserved for a
	// moment.
	maxMoves = 16
	// minPieces is into how many parts at least the given load is cut, so that it can
	// be spread over several holders.
	minPieces = 4
	// minPieceShare is the share of the excess below which a piece is not worth a
	// move.
	minPieceShare = 0.02
)

// Holder is a holder of keys and its load.
type Holder struct {
	Name string
	// Demand is the share of the holder's slots that all requests for its keys
	// take.
	Demand float64
	// Capacity is how many requests the holder can run in a second.
	Capacity float64
	// Ranges is the number of its ranges.
	Ranges int
}

// Plan returns the moves of the keys that the holder self should give to others,
// so that its demand comes down to the mean. All overloaded holders plan for
// themselves with the same rule: each spreads its excess by the room of the
// others, so that together they fill it once.
func Plan(self Holder, others []Holder, owned []keyspace.Range, busy []SpanRate) []keyowner.Move {
	mean := meanDemand(self, others)
	if self.Demand < minDemand || self.Demand < mean+minExcess {
		return nil
	}
	targets := recipientsOf(others, mean)
	excess := (self.Demand - mean) * self.Capacity
	var moves []keyowner.Move
	for _, piece := range splitLoad(owned, busy, excess) {
		if len(moves) == maxMoves || len(targets) == 0 || excess <= 0 {
			break
		}
		if piece.rate > excess*(1+1.0/minPieces) || piece.rate < excess*minPieceShare {
			continue
		}
		t := slices.MaxFunc(targets, func(a, b *recipient) int { return cmp.Compare(a.headroom, b.headroom) })
		if t.headroom < piece.rate/2 || t.ranges >= keyspace.MaxRangesPerHolder-1 {
			continue
		}
		t.headroom -= piece.rate
		t.ranges++
		excess -= piece.rate
		moves = append(moves, keyowner.NewMove(piece.Span, t.name))
	}
	return moves
}

// meanDemand returns the demand of all holders together.
func meanDemand(self Holder, others []Holder) float64 {
	rate, capacity := self.Demand*self.Capacity, self.Capacity
	for _, h := range others {
		rate += h.Demand * h.Capacity
		capacity += h.Capacity
	}
	if capacity == 0 {
		return 0
	}
	return rate / capacity
}

type recipient struct {
	name     string
	headroom float64
	ranges   int
}

func recipientsOf(others []Holder, mean float64) []*recipient {
	var targets []*recipient
	for _, h := range others {
		if room := (mean - h.Demand) * h.Capacity; room > 0 {
			targets = append(targets, &recipient{name: h.Name, headroom: room, ranges: h.Ranges})
		}
	}
	return targets
}

// splitLoad returns the busy parts of the owned ranges, busiest first, none of them
// with more than a part of the excess if it can be cut.
func splitLoad(owned []keyspace.Range, busy []SpanRate, excess float64) []SpanRate {
	var parts []SpanRate
	i := 0
	for _, r := range owned {
		if r.NextOwner() != "" {
			continue
		}
		for i < len(busy) && busy[i].Last() < r.First() {
			i++
		}
		open, rate := r.First(), 0.0
		for j := i; j < len(busy) && busy[j].First() <= r.Last(); j++ {
			if rate > 0 && rate+busy[j].rate > excess/minPieces && busy[j].First() > open {
				parts = append(parts, SpanRate{Span: keyspace.NewSpan(open, busy[j].First()-1), rate: rate})
				open, rate = busy[j].First(), 0
			}
			rate += busy[j].rate
		}
		if rate > 0 {
			parts = append(parts, SpanRate{Span: keyspace.NewSpan(open, r.Last()), rate: rate})
		}
	}
	slices.SortFunc(parts, func(a, b SpanRate) int { return cmp.Compare(b.rate, a.rate) })
	return parts
}
