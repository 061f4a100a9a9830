package control

import (
	"math"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/node"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/router"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/template"
)

// farFuture is a time that no clock reaches.
const farFuture = clock.Millis(math.MaxInt64)

// unitKey identifies a shard or hot key of a service.
type unitKey struct {
	service identity.Service
	unit    ownership.Unit
}

// ownedUnit is the state of a unit that the daemon owns or has stopped.
type ownedUnit struct {
	epoch identity.Epoch
	// since is the time at which the daemon acquired the epoch.
	since clock.Millis
	// serveFrom is the earliest time at which requests may be sent under the epoch.
	serveFrom clock.Millis
	// granted is set when the upstream has accepted the grant of the epoch.
	granted bool
	// stopped is set if the unit was handed over or lost, or is about to be.
	stopped bool
}

// view is an immutable router.View of a node snapshot.
type view struct {
	snapshot *node.Snapshot
	catalog  template.Catalog
	owned    map[unitKey]ownedUnit
	// configCurrent is false while the configuration in force is older than the one
	// with which a new incarnation registered.
	configCurrent bool
}

// Self returns the member that is this daemon.
func (v *view) Self() router.Member { return routerMember(v.snapshot.Self()) }

// LeaseEnd returns the end of this daemon's lease, and zero while its configuration
// is older than the one with which it registered.
func (v *view) LeaseEnd() clock.Millis {
	if !v.configCurrent {
		return 0
	}
	return v.snapshot.LeaseEnd()
}

// Catalog returns the configuration in force.
func (v *view) Catalog() template.Catalog { return v.catalog }

// Owner returns the owner of a key, or false if it has none. If this daemon is the
// owner, ServeFrom is unreachableTime until the upstream has accepted the grant of the
// epoch.
func (v *view) Owner(service identity.Service, id shard.ID, key string) (router.Ownership, bool) {
	owner, ok := v.snapshot.Owner(service, id, key)
	if !ok {
		return router.Ownership{}, false
	}
	result := router.Ownership{
		Owner:        instanceMember(owner.Incarnation(), owner.Instance()),
		Epoch:        owner.Epoch(),
		IsFirstOwner: owner.Epoch() == 1,
	}
	if !owner.IsLocal() {
		return result, true
	}
	result.ServeFrom = farFuture
	if unit, isHotKey, ok := v.findOwned(service, id, key); ok && unit.epoch == owner.Epoch() {
		result.IsHotKey = isHotKey
		result.HeldSince = unit.since
		if unit.granted {
			result.ServeFrom = unit.serveFrom
		}
	}
	return result, true
}

// findOwned returns the unit under which this daemon owns the key, which is the key
// itself if it is a hot key and its shard otherwise. The second result reports whether
// it is the hot key, and the third whether a unit was found.
func (v *view) findOwned(service identity.Service, id shard.ID, key string) (ownedUnit, bool, bool) {
	if key != "" {
		if unit, ok := v.owned[unitKey{service: service, unit: ownership.NewUnit(id, key)}]; ok {
			return unit, true, true
		}
	}
	unit, ok := v.owned[unitKey{service: service, unit: ownership.NewUnit(id, "")}]
	return unit, false, ok
}

// Members returns the members of a service that accept new requests.
func (v *view) Members(service identity.Service) []router.Member {
	all := v.snapshot.Members(service)
	members := make([]router.Member, 0, len(all))
	for _, m := range all {
		if m.State() == membership.StateActive {
			members = append(members, routerMember(m))
		}
	}
	return members
}

func routerMember(m membership.Member) router.Member {
	member := instanceMember(m.Incarnation(), m.Instance())
	member.Slots = m.Announcement().Slots()
	return member
}

func instanceMember(incarnation identity.Incarnation, instance membership.Instance) router.Member {
	return router.Member{
		Incarnation: incarnation,
		Instance:    instance.Name(),
		PeerAddress: instance.PeerAddress(),
		HTTPAddress: instance.HTTPAddress(),
		Location:    instance.Location(),
	}
}
