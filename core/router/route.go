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

// Local means that this daemon's own upstream serves the request.
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

// Epoch returns the epoch of the shard, 0 if unkeyed.
func (l Local) Epoch() identity.Epoch { return l.epoch }

// PeerAddress returns where the daemon of the owner serves other daemons.
func (f Forward) PeerAddress() string { return f.target.PeerAddress }

// Target returns the daemon.
func (f Forward) Target() Member { return f.target }

// Epoch returns the epoch of the shard, 0 if unkeyed.
func (f Forward) Epoch() identity.Epoch { return f.epoch }

// Outcome returns why the request is refused.
func (r Refuse) Outcome() outcome.Outcome { return r.outcome }

// RouteQuery is what a routing decision depends on.
type RouteQuery struct {
	Service identity.Service
	Keyed   bool
	Shard   shard.ID
	Key     string
	// Avoid lists the members that failed earlier attempts of the request.
	Avoid []identity.Incarnation
	// LocalInFlight returns the requests that this daemon has in flight at a member; nil
	// means none. It covers the time since the member's last measurement.
	LocalInFlight func(member *Member) int
}

// Decide returns where a request goes. It refuses without a valid lease.
func Decide(now clock.Millis, view View, route RouteQuery, random Random) Decision {
	if !hasValidLease(now, view) {
		return Refuse{outcome: outcome.NewNotRun(outcome.ReasonNoLease)}
	}
	if !route.Keyed {
		return decideUnkeyed(view, route, random)
	}
	ownership, ok := view.Owner(route.Service, route.Shard, route.Key)
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

func decideUnkeyed(view View, route RouteQuery, random Random) Decision {
	members := view.Members(route.Service)
	picked, ok := pickMember(members, view.Self().Location, route, random)
	if !ok && len(route.Avoid) > 0 {
		route.Avoid = nil
		picked, ok = pickMember(members, view.Self().Location, route, random)
	}
	if !ok {
		return Refuse{outcome: outcome.NewNotRun(outcome.ReasonNoOwner)}
	}
	return localOrForward(view, members[picked], 0)
}

// locationDistance orders members by place: the same failure domain, the same region,
// elsewhere.
type locationDistance int

const (
	sameFailureDomain locationDistance = iota
	sameRegion
	otherRegion
)

func distanceOf(own, other identity.Location) locationDistance {
	switch {
	case own.FailureDomain() == other.FailureDomain() && own.Region() == other.Region():
		return sameFailureDomain
	case own.Region() == other.Region():
		return sameRegion
	default:
		return otherRegion
	}
}

// pickMember returns the index of the member for an unkeyed request: the better of
// two random ones at the smallest distance. If that one has no free slot, the
// next distance is tried, and the least loaded of all picks is returned.
func pickMember(members []Member, own identity.Location, route RouteQuery, random Random) (int, bool) {
	best, bestLoad := -1, 0.0
	for at := sameFailureDomain; at <= otherRegion; at++ {
		index, load, ok := pickAtDistance(members, own, at, route, random)
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

func pickAtDistance(members []Member, own identity.Location, at locationDistance, route RouteQuery, random Random) (int, float64, bool) {
	eligible := func(member *Member) bool {
		return distanceOf(own, member.Location) == at && !slices.Contains(route.Avoid, member.Incarnation)
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
			load := loadPerSlot(&members[i], route.LocalInFlight)
			if best < 0 || load < bestLoad {
				best, bestLoad = i, load
			}
		}
		position++
	}
	return best, bestLoad, true
}

// loadPerSlot returns the orders in flight for each slot. The requests that this
// daemon has at the member are a lower bound of what the member measures.
func loadPerSlot(member *Member, busy func(*Member) int) float64 {
	inFlight := member.InFlight
	if busy != nil {
		inFlight = max(inFlight, busy(member))
	}
	return float64(inFlight) / float64(max(member.Slots, 1))
}
