package router

import (
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/outcome"
	"briarwell.dev/core/shard"
)

// Decision is Local, Forward or Refuse.
type Decision interface{ isDecision() }

// Local means that the upstream of this daemon serves the request.
type Local struct{ epoch identity.Epoch }

// Forward means that another daemon serves the request.
type Forward struct {
	target Member
	epoch  identity.Epoch
}

// Refuse means that no daemon can serve the request now.
type Refuse struct{ outcome outcome.Outcome }

func (Local) isDecision()   {}
func (Forward) isDecision() {}
func (Refuse) isDecision()  {}

// Epoch returns the epoch of the shard, 0 for an unkeyed service.
func (l Local) Epoch() identity.Epoch { return l.epoch }

// PeerAddress returns the address at which the target serves other daemons.
func (f Forward) PeerAddress() string { return f.target.PeerAddress }

// Target returns the daemon that serves the request.
func (f Forward) Target() Member { return f.target }

// Epoch returns the epoch of the shard, 0 for an unkeyed service.
func (f Forward) Epoch() identity.Epoch { return f.epoch }

// Outcome returns the outcome of the refused request.
func (r Refuse) Outcome() outcome.Outcome { return r.outcome }

// RouteQuery describes the request for a routing decision.
type RouteQuery struct {
	Service identity.Service
	Keyed   bool
	Shard   shard.ID
	Key     string
	// Avoid lists the members at which earlier attempts of the request failed. They are
	// chosen only if there is no other.
	Avoid []identity.Incarnation
	// LocalInFlight returns the number of requests that this daemon has in flight at a
	// member; nil means none. It covers the time since the member's last measurement.
	LocalInFlight func(member *Member) int
}

// Decide returns the routing decision for a request. Without a valid lease it is Refuse.
func Decide(now clock.Millis, view View, query RouteQuery, random Random) Decision {
	if !hasValidLease(now, view) {
		return Refuse{outcome: outcome.NewNotRun(outcome.ReasonNoLease)}
	}
	if !query.Keyed {
		return decideUnkeyed(view, query, random)
	}
	ownership, ok := view.Owner(query.Service, query.Shard, query.Key)
	if !ok {
		return Refuse{outcome: outcome.NewNotRun(outcome.ReasonNoOwner)}
	}
	return localOrForward(view, ownership.Owner, ownership.Epoch)
}

func hasValidLease(now clock.Millis, view View) bool {
	return now < view.LeaseEnd()
}

func localOrForward(view View, target Member, epoch identity.Epoch) Decision {
	if target.Incarnation == view.Self().Incarnation {
		return Local{epoch: epoch}
	}
	return Forward{target: target, epoch: epoch}
}

func decideUnkeyed(view View, query RouteQuery, random Random) Decision {
	members := view.Members(query.Service)
	picked, ok := pickMember(members, view.Self().Location, query, random)
	if !ok && len(query.Avoid) > 0 {
		query.Avoid = nil
		picked, ok = pickMember(members, view.Self().Location, query, random)
	}
	if !ok {
		return Refuse{outcome: outcome.NewNotRun(outcome.ReasonNoOwner)}
	}
	return localOrForward(view, members[picked], 0)
}

// locationDistance is the distance between two locations, from near to far.
type locationDistance int

const (
	sameFailureDomain locationDistance = iota
	sameRegion
	otherRegion
)

func distanceOf(from, to identity.Location) locationDistance {
	switch {
	case from.FailureDomain() == to.FailureDomain() && from.Region() == to.Region():
		return sameFailureDomain
	case from.Region() == to.Region():
		return sameRegion
	default:
		return otherRegion
	}
}

// pickMember returns the index of the member for an unkeyed request: the less loaded of two
// random members at the smallest distance. If that one has no free slot, the next distance
// is tried, and the least loaded of all picks is returned.
func pickMember(members []Member, from identity.Location, query RouteQuery, random Random) (int, bool) {
	best, bestLoad := -1, 0.0
	for distance := sameFailureDomain; distance <= otherRegion; distance++ {
		index, load, ok := pickAtDistance(members, from, distance, query, random)
		if !ok {
			continue
		}
		if best < 0 || load < bestLoad {
			best, bestLoad = index, load
		}
		if bestLoad < 1 {
			break
		}
	}
	return best, best >= 0
}

// pickAtDistance returns the index and the load of the less loaded of two random members at
// a distance, or false if there is no member.
func pickAtDistance(members []Member, from identity.Location, distance locationDistance, query RouteQuery, random Random) (int, float64, bool) {
	eligible := func(member *Member) bool {
		return distanceOf(from, member.Location) == distance && !slices.Contains(query.Avoid, member.Incarnation)
	}
	count := 0
	for i := range members {
		if eligible(&members[i]) {
			count++
		}
	}
	if count == 0 {
		return 0, 0, false
	}
	first := random.IntN(count)
	second := first
	if count > 1 {
		second = (first + 1 + random.IntN(count-1)) % count
	}
	best, bestLoad, position := -1, 0.0, 0
	for i := range members {
		if !eligible(&members[i]) {
			continue
		}
		if position == first || position == second {
			load := loadPerSlot(&members[i], query.LocalInFlight)
			if best < 0 || load < bestLoad {
				best, bestLoad = i, load
			}
		}
		position++
	}
	return best, bestLoad, true
}

// loadPerSlot returns the number of requests in flight per slot. The requests that this
// daemon has in flight at the member are a lower bound of what the member would measure now.
func loadPerSlot(member *Member, localInFlight func(*Member) int) float64 {
	inFlight := member.InFlight
	if localInFlight != nil {
		inFlight = max(inFlight, localInFlight(member))
	}
	return float64(inFlight) / float64(max(member.Slots, 1))
}
