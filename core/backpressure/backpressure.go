// Package backpressure decides whether a dispatcher refuses a request itself, because the
// owner of its key, or the upstreams that may run it, have refused such requests lately.
// Load pattern: many dispatchers send to one overloaded owner, or to a service that is
// overloaded everywhere.
package backpressure

import (
	"math"

	"briarwell.dev/core/clock"
)

const (
	// memory is the time constant in milliseconds with which the counts of requests decay. A
	// caller's timeout is about as long, so the counts are of the load that callers see.
	memory = 1000.0
	// maxAge is the time in milliseconds after its last refusal from which a target may accept
	// again. The queue of an upstream drains in 100 ms, a quarter of the usual target latency;
	// the rest is for the way of the refusal. With 200 ms, 4% of the slots were idle after
	// bursts of 500 ms.
	maxAge clock.Millis = 120
	// sentPerAccepted is the ratio of sent to accepted requests above which requests are
	// refused. The excess keeps the queue of the upstream filled while the load of single
	// dispatchers varies.
	sentPerAccepted = 1.5
	// toleratedRefusals is the number of refusals in memory that have no effect, so that a
	// single refusal of a lightly loaded service doesn't lead to others.
	toleratedRefusals = 1.0
	// maxRanks bounds the ranks that are told apart; less urgent ones count as the last.
	maxRanks = 8
	// maxTargets bounds the targets that are remembered. It is above the upstreams of one
	// service in the largest deployment (115).
	maxTargets = 512
)

// Target is what refuses requests.
type Target struct {
	Service string
	// Instance is the owner of the key, "" for a service without keys.
	Instance string
	// Large is true for requests with a large body or response, which are also refused
	// for lack of bandwidth.
	Large bool
}

// counts are numbers of requests of one rank, decayed.
type counts struct {
	requests, accepted float64
	// refusedAt is the time of the target's last refusal, valid if requests > 0.
	refusedAt clock.Millis
}

type targetState struct {
	ranks     [maxRanks]counts
	updatedAt clock.Millis
	// retryAt is the time at which the target could serve the retry of the request that it
	// refused last.
	retryAt clock.Millis
}

// State holds what a dispatcher knows from replies. The zero value knows nothing. It is not
// safe for concurrent use.
type State struct {
	targets map[Target]*targetState
}

// Refuse reports whether to refuse a request of the rank that arrives at now, and the time
// after which the target may serve it, 0 or less if it may do so now. Requests that are not
// refused show whether the target still refuses such requests. random is in [0, 1).
func (s *State) Refuse(now clock.Millis, target Target, rank int, random float64) (clock.Millis, bool) {
	t, ok := s.targets[target]
	if !ok {
		return 0, false
	}
	t.decay(now)
	if random >= t.refusalShare(now, rank) {
		return 0, false
	}
	// A request counts also if it is refused here, so that the share follows the load.
	t.ranks[rankIndex(rank)].requests++
	return t.retryAt - now, true
}

// refusalShare returns the share of the requests of the rank that are refused: the highest
// of those of this and all more urgent ranks, as a target that refuses a more urgent request
// refuses a less urgent one too.
func (t *targetState) refusalShare(now clock.Millis, rank int) float64 {
	share := 0.0
	for _, c := range t.ranks[:rankIndex(rank)+1] {
		if now-c.refusedAt > maxAge {
			continue
		}
		share = max(share, (c.requests-sentPerAccepted*c.accepted-toleratedRefusals)/(c.requests+1))
	}
	return share
}

// RecordAccepted records that the target has run a request. A target with a free slot and no
// waiting request refuses nothing, so what was known about it is forgotten.
func (s *State) RecordAccepted(now clock.Millis, target Target, rank int, hasFreeSlot bool) {
	t, ok := s.targets[target]
	if !ok {
		return
	}
	if hasFreeSlot {
		delete(s.targets, target)
		return
	}
	t.decay(now)
	c := &t.ranks[rankIndex(rank)]
	c.requests++
	c.accepted++
}

// RecordRefused records that the target refused a request because of its load, and gave the
// retry time in milliseconds.
func (s *State) RecordRefused(now clock.Millis, target Target, rank int, retryAfter clock.Millis) {
	t, ok := s.targets[target]
	if !ok {
		if len(s.targets) >= maxTargets {
			s.forgetOld(now)
		}
		if s.targets == nil {
			s.targets = make(map[Target]*targetState)
		}
		t = &targetState{updatedAt: now}
		s.targets[target] = t
	}
	t.decay(now)
	c := &t.ranks[rankIndex(rank)]
	c.requests++
	c.refusedAt = now
	t.retryAt = now + retryAfter
}

// forgetOld forgets the targets without recent requests, or all if there are too many.
func (s *State) forgetOld(now clock.Millis) {
	for target, t := range s.targets {
		if float64(now-t.updatedAt) > memory {
			delete(s.targets, target)
		}
	}
	if len(s.targets) >= maxTargets {
		clear(s.targets)
	}
}

func (t *targetState) decay(now clock.Millis) {
	if now <= t.updatedAt {
		return
	}
	factor := math.Exp(-float64(now-t.updatedAt) / memory)
	for i := range t.ranks {
		t.ranks[i].requests *= factor
		t.ranks[i].accepted *= factor
	}
	t.updatedAt = now
}

func rankIndex(rank int) int { return min(max(rank, 0), maxRanks-1) }
