// Package rebalance decides which keys a holder moves to other holders. It serves three
// cases: upstreams of different speed that own the same number of keys, a few adjacent keys
// that suddenly get much of the traffic, and an upstream that fails part of its requests
// while its health check is good.
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
	// maxFilledDemand is the demand up to which holders get the keys of a failing one. It is
	// so far below minDemand that they need not give them back once it has recovered.
	maxFilledDemand = 0.55
	// minFailingPieceShare is minPieceShare for a holder whose upstream fails: all its keys
	// are to move, not only the busy ones.
	minFailingPieceShare = 0.002
	// minExcessFailures is the least difference to the mean share of failures from which a
	// holder counts as failing. It is several times the deviation of a measured share.
	minExcessFailures = 0.2
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
	// FailureShare is the share of its requests that the holder's upstream fails.
	FailureShare float64
}

// MayMove reports whether a holder with the given demand and share of failures may have to
// move keys.
func MayMove(demand, failureShare float64) bool {
	return demand >= minDemand || failureShare >= minExcessFailures
}

// Plan returns the moves of the holder self: all keys with requests if its upstream fails
// more of them than others do, otherwise those that lower its demand to the mean. Each
// holder plans on its own by the same rule: it distributes its excess by the headroom of the
// others, so that the plans together fill the headroom only once.
func Plan(self Holder, others []Holder, owned []keyspace.Range, rates []SpanRate) []keyowner.Move {
	failures := failuresOf(self, others)
	usable := make([]Holder, 0, len(others))
	for _, h := range others {
		if !failures.isFailing(h) {
			usable = append(usable, h)
		}
	}
	mean := meanDemand(self, usable)
	if failures.isFailing(self) {
		// A request that fails anyway gains from a slot that is free, not from one that
		// another request would get.
		return distribute(self.Demand*self.Capacity, recipientsOf(usable, maxFilledDemand), minFailingPieceShare, owned, rates)
	}
	if self.Demand < minDemand || self.Demand < mean+minExcess {
		return nil
	}
	return distribute((self.Demand-mean)*self.Capacity, recipientsOf(usable, mean), minPieceShare, owned, rates)
}

// failures is the sum of the failure shares of a number of holders.
type failures struct {
	sum     float64
	holders int
}

func failuresOf(self Holder, others []Holder) failures {
	f := failures{sum: self.FailureShare, holders: 1 + len(others)}
	for _, h := range others {
		f.sum += h.FailureShare
	}
	return f
}

// isFailing reports whether a holder fails more requests than the mean of the others. Failures
// that all have in common, such as those of a service that they call, don't count.
func (f failures) isFailing(h Holder) bool {
	others := float64(f.holders - 1)
	return others > 0 && h.FailureShare >= (f.sum-h.FailureShare)/others+minExcessFailures
}

// distribute returns moves of at most excess requests per second to the recipients, without
// pieces of less than minShare of the excess.
func distribute(excess float64, recipients []*recipient, minShare float64, owned []keyspace.Range, rates []SpanRate) []keyowner.Move {
	var moves []keyowner.Move
	for _, piece := range splitLoad(owned, rates, excess) {
		if len(moves) == maxMoves || len(recipients) == 0 || excess <= 0 {
			break
		}
		if piece.rate > excess*(1+1.0/minPieces) || piece.rate < excess*minShare {
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
	// headroom is the requests per second up to the limit of its demand.
	headroom float64
	ranges   int
}

// recipientsOf returns the holders whose demand is below the limit.
func recipientsOf(others []Holder, limit float64) []*recipient {
	var recipients []*recipient
	for _, h := range others {
		if headroom := (limit - h.Demand) * h.Capacity; headroom > 0 {
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
