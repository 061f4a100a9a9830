// Package rebalance decides which keys an overloaded holder moves to other holders. It
// serves two cases: upstreams of different speed that own the same number of keys, and
// a few adjacent keys that suddenly get much of the traffic.
package rebalance

import (
	"cmp"
	"slices"

	"briarwell.dev/core/keyowner"
	"briarwell.dev/core/keyspace"
)

const (
	// minDemand is the demand below which a holder moves no keys: requests seldom
	// wait then.
	minDemand = 0.7
	// minExcess is the least difference to the mean demand from which a holder moves
	// keys.
	minExcess = 0.2
	// maxMoves bounds the moves of one plan: the keys of each are not served for a
	// moment.
	maxMoves = 16
	// minPieces is the least number of pieces into which the excess load is split, so
	// that several holders can take it.
	minPieces = 4
	// minPieceShare is the share of the excess below which a piece is not moved: its
	// effect is too small for the cost of a move.
	minPieceShare = 0.02
)

// Holder is a holder of keys with its load.
type Holder struct {
	Name string
	// Demand is the share of the holder's slots that the requests for its keys need;
	// above 1 the holder is overloaded.
	Demand float64
	// Capacity is the requests per second that the holder can run.
	Capacity float64
	// Ranges is the number of key ranges of the holder.
	Ranges int
}

// IsBusy reports whether a holder with the given demand may have to move keys.
func IsBusy(demand float64) bool { return demand >= minDemand }

// Plan returns the moves by which the holder self lowers its demand to the mean. Each
// overloaded holder plans on its own by the same rule: it distributes its excess by the
// headroom of the others, so that the plans together fill the headroom only once.
func Plan(self Holder, others []Holder, owned []keyspace.Range, rates []SpanRate) []keyowner.Move {
	mean := meanDemand(self, others)
	if self.Demand < minDemand || self.Demand < mean+minExcess {
		return nil
	}
	recipients := recipientsOf(others, mean)
	excess := (self.Demand - mean) * self.Capacity
	var moves []keyowner.Move
	for _, piece := range splitLoad(owned, rates, excess) {
		if len(moves) == maxMoves || len(recipients) == 0 || excess <= 0 {
			break
		}
		if piece.rate > excess*(1+1.0/minPieces) || piece.rate < excess*minPieceShare {
			continue
		}
		to := slices.MaxFunc(recipients, func(a, b *recipient) int { return cmp.Compare(a.headroom, b.headroom) })
		if to.headroom < piece.rate/2 || to.ranges >= keyspace.MaxRangesPerHolder-1 {
			continue
		}
		to.headroom -= piece.rate
		to.ranges++
		excess -= piece.rate
		moves = append(moves, keyowner.NewMove(piece.Span, to.name))
	}
	return moves
}

// meanDemand returns the mean demand of all holders, weighted by capacity.
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

// recipient is a holder that can take keys.
type recipient struct {
	name string
	// headroom is the requests per second up to the mean demand.
	headroom float64
	ranges   int
}

// recipientsOf returns the holders whose demand is below the mean.
func recipientsOf(others []Holder, mean float64) []*recipient {
	var recipients []*recipient
	for _, h := range others {
		if headroom := (mean - h.Demand) * h.Capacity; headroom > 0 {
			recipients = append(recipients, &recipient{name: h.Name, headroom: headroom, ranges: h.Ranges})
		}
	}
	return recipients
}

// splitLoad splits the owned ranges that are not being moved into pieces, and returns
// those with requests, busiest first. A piece has at most 1/minPieces of the excess,
// unless a single span has more.
func splitLoad(owned []keyspace.Range, rates []SpanRate, excess float64) []SpanRate {
	var pieces []SpanRate
	i := 0
	for _, r := range owned {
		if r.NextOwner() != "" {
			continue
		}
		for i < len(rates) && rates[i].Last() < r.First() {
			i++
		}
		first, rate := r.First(), 0.0
		for j := i; j < len(rates) && rates[j].First() <= r.Last(); j++ {
			if rate > 0 && rate+rates[j].rate > excess/minPieces && rates[j].First() > first {
				pieces = append(pieces, SpanRate{Span: keyspace.NewSpan(first, rates[j].First()-1), rate: rate})
				first, rate = rates[j].First(), 0
			}
			rate += rates[j].rate
		}
		if rate > 0 {
			pieces = append(pieces, SpanRate{Span: keyspace.NewSpan(first, r.Last()), rate: rate})
		}
	}
	slices.SortFunc(pieces, func(a, b SpanRate) int { return cmp.Compare(b.rate, a.rate) })
	return pieces
}
