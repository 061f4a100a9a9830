package node

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/table"
)

// Owner describes the owner of a unit as the node knows it.
type Owner struct {
	incarnation identity.Incarnation
	instance    membership.Instance
	epoch       identity.Epoch
	local       bool
	serving     bool
	serveFrom   clock.Millis
}

// Incarnation returns the owner's incarnation.
func (o Owner) Incarnation() identity.Incarnation { return o.incarnation }

// Instance returns the owner's name, addresses and location.
func (o Owner) Instance() membership.Instance { return o.instance }

// Epoch returns the epoch of the ownership.
func (o Owner) Epoch() identity.Epoch { return o.epoch }

// Local tells whether the owner is this node.
func (o Owner) Local() bool { return o.local }

// Admits tells whether this node may admit an order for the unit at now, given
// that its lease is valid: it owns the unit, no handover has begun and the
// serve-from point has come.
func (o Owner) Admits(now clock.Millis) bool { return o.serving && now >= o.serveFrom }

// Snapshot is an immutable view of a Node for the request path. It may be read
// by other goroutines.
type Snapshot struct {
	leaseEnd clock.Millis
	self     membership.Member
	revision table.Revision
	tables   *tables
}

// LeaseEnd returns the end of the lease; the lease is not valid at the end.
func (s *Snapshot) LeaseEnd() clock.Millis { return s.leaseEnd }

// LeaseValid tells whether the lease is valid at now.
func (s *Snapshot) LeaseValid(now clock.Millis) bool { return now < s.leaseEnd }

// Self returns the node's own row; its state is "" before registration.
func (s *Snapshot) Self() membership.Member { return s.self }

// Incarnation returns the node's incarnation.
func (s *Snapshot) Incarnation() identity.Incarnation { return s.self.Incarnation() }

// Revision returns the table revision up to which the node's copy is complete.
func (s *Snapshot) Revision() table.Revision { return s.revision }

// Owner returns the owner of key, whose shard is id, or false if there is none.
// With key "" it is the owner of the shard.
func (s *Snapshot) Owner(service identity.Service, id shard.ID, key string) (Owner, bool) {
	return s.tables.owner(service, id, key)
}

// Members returns the members of a service that are not dead, by ascending
// incarnation; callers must not change them.
func (s *Snapshot) Members(service identity.Service) []membership.Member {
	return s.tables.members(service)
}

// AllMembers returns all members that are not dead, by ascending incarnation;
// callers must not change them.
func (s *Snapshot) AllMembers() []membership.Member { return s.tables.allMembers() }

// Config returns the row with a key below "config/", or false.
func (s *Snapshot) Config(key string) (table.Row, bool) { return s.tables.config(key) }

// ConfigRows returns all rows below "config/" by ascending key; callers must not
// change them.
func (s *Snapshot) ConfigRows() []table.Row { return s.tables.configRows() }
