// Package fairness keeps the kinds of requests that compete for an upstream from starving
// each other. Load pattern: ranks of different urgency at an overloaded upstream, some of them
// made by upstreams of other services while they run requests.
package fairness

import (
	"math"

	"briarwell.dev/core/clock"
)

const (
	// memory is the time constant in milliseconds with which the counts decay: about two
	// timeouts of callers, so that a kind is not starved for longer than one request takes.
	memory = 2000.0
	// guaranteedShare is the share of a rank's requests that is admitted, in relation to that
	// of all. The target is a quarter of all; callers repeat a refused request once, so that
	// about half of the attempts of a refused kind don't count there.
	guaranteedShare = 0.4
	// overloadShare is the share of admitted requests above which the upstream is not
	// overloaded, so that single refusals change no order.
	overloadShare = 0.95
	// maxRanks bounds the ranks that are told apart; less urgent ones count as the last.
	maxRanks = 8
	// MaxDemand bounds the number of requests for which one may stand, so that a wrong value
	// from another daemon has little effect.
	MaxDemand = 20.0
)

type rankCounts struct{ requests, admitted float64 }

// Shares counts the requests of each rank at an upstream and those that were admitted. The
// zero value has none. It is not safe for concurrent use.
type Shares struct {
	ranks     [maxRanks]rankCounts
	updatedAt clock.Millis
}

// Arrive counts a request, and reports whether it goes before all others because its rank
// gets less than its guaranteed share. demand is the number of requests for which it stands:
// those of its kind that were refused elsewhere on its behalf count as refused here.
func (s *Shares) Arrive(now clock.Millis, rank int, demand float64) bool {
	s.decay(now)
	c := &s.ranks[rankIndex(rank)]
	c.requests += min(max(demand, 1), MaxDemand)
	return s.Starved(now, rank)
}

// Starved reports what Arrive would, without counting a request.
func (s *Shares) Starved(now clock.Millis, rank int) bool {
	s.decay(now)
	var all rankCounts
	for _, other := range s.ranks {
		all.requests += other.requests
		all.admitted += other.admitted
	}
	if all.requests == 0 {
		return false
	}
	share, c := all.admitted/all.requests, s.ranks[rankIndex(rank)]
	return share < overloadShare && c.admitted < guaranteedShare*share*c.requests
}

// Admitted counts a request that got a slot.
func (s *Shares) Admitted(now clock.Millis, rank int) {
	s.decay(now)
	s.ranks[rankIndex(rank)].admitted++
}

func (s *Shares) decay(now clock.Millis) {
	factor := decayFactor(now - s.updatedAt)
	for i := range s.ranks {
		s.ranks[i].requests *= factor
		s.ranks[i].admitted *= factor
	}
	s.updatedAt = max(now, s.updatedAt)
}

func decayFactor(elapsed clock.Millis) float64 {
	return math.Exp(-float64(max(elapsed, 0)) / memory)
}

func rankIndex(rank int) int { return min(max(rank, 0), maxRanks-1) }
