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

// unreachableTime is a point that no clock reaches.
const unreachableTime = clock.Millis(math.MaxInt64)

// unitKey identifies a shard or hot key of a service.
type unitKey struct {
	service identity.Service
	unit    ownership.Unit
}

// ownedUnit is what the daemon remembers of a unit that it owns.
type ownedUnit struct {
	epoch     identity.Epoch
	since     clock.Millis
	serveFrom clock.Millis
	// granted tells that the upstream has taken the grant of the epoch.
	granted bool
	// stopped tells that the unit was handed over or lost, or is about to be.
	stopped bool
}

// view is an immutable router.View over a node snapshot.
type view struct {
	snapshot *node.Snapshot
	catalog  template.Catalog
	owned    map[unitKey]ownedUnit
	// configCurrent is false while a new incarnation has no configuration as new
	// as the one it registered with.
	configCurrent bool
}

// Self returns this daemon.
func (v *view) Self() router.Member { return routerMember(v.snapshot.Self()) }

// LeaseEnd returns the end of this daemon's lease, zero while its configuration
// lags behind its registration.
func (v *view) LeaseEnd() clock.Millis {
	if !v.configCurrent {
		return 0
	}
	return v.snapshot.LeaseEnd()
}

// Catalog returns the configuration in force.
func (v *view) Catalog() template.Catalog { return v.catalog }

// Owner returns the owner of a key, or false if it has none.
func (v *view) Owner(service identity.Service, id shard.ID, key string) (router.Ownership, bool) {
	owner, ok := v.snapshot.Owner(service, id, key)
	if !ok {
		return router.Ownership{}, false
	}
	found := router.Ownership{
		Owner:        instanceMember(owner.Incarnation(), owner.Instance()),
		Epoch:        owner.Epoch(),
		IsFirstOwner: owner.Epoch() == 1,
	}
	if !owner.IsLocal() {
		return found, true
	}
	found.ServeFrom = unreachableTime
	if held, hot, ok := v.findOwned(service, id, key); ok && held.epoch == owner.Epoch() {
		found.IsHotKey = hot
		found.HeldSince = held.since
		if held.granted {
			found.ServeFrom = held.serveFrom
		}
	}
	return found, true
}

// findOwned finds the unit under which this daemon owns the key.
func (v *view) findOwned(service identity.Service, id shard.ID, key string) (ownedUnit, bool, bool) {
	if key != "" {
		if held, ok := v.owned[unitKey{service: service, unit: ownership.NewUnit(id, key)}]; ok {
			return held, true, true
		}
	}
	held, ok := v.owned[unitKey{service: service, unit: ownership.NewUnit(id, "")}]
	return held, false, ok
}

// Members returns the members of a service that take new work.
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
