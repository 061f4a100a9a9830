package node

import (
	"cmp"
	"maps"
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/table"
)

// Owner describes the owner of a unit according to the node's copy of the table.
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

// IsLocal reports whether the owner is this node.
func (o Owner) IsLocal() bool { return o.local }

// Admits reports whether this node may admit a request for the unit at now, provided that
// its lease is valid. The node must own the unit, its handover must not have started, and
// the earliest time to serve it must have passed.
func (o Owner) Admits(now clock.Millis) bool { return o.serving && now >= o.serveFrom }

// Snapshot is an immutable view of a Node for the request path. It is safe for concurrent
// use.
type Snapshot struct {
	leaseEnd clock.Millis
	self     membership.Member
	revision table.Revision
	view     *tableView
}

// LeaseEnd returns the end of the lease. The lease is no longer valid at that time.
func (s *Snapshot) LeaseEnd() clock.Millis { return s.leaseEnd }

// LeaseValid reports whether the lease is valid at now.
func (s *Snapshot) LeaseValid(now clock.Millis) bool { return now < s.leaseEnd }

// Self returns the node's own member row. Its state is "" before the registration.
func (s *Snapshot) Self() membership.Member { return s.self }

// Incarnation returns the node's incarnation.
func (s *Snapshot) Incarnation() identity.Incarnation { return s.self.Incarnation() }

// Revision returns the table revision up to which the node's copy is complete.
func (s *Snapshot) Revision() table.Revision { return s.revision }

// Owner returns the owner of a key in the shard id, or false if there is none. With key ""
// it returns the owner of the shard.
func (s *Snapshot) Owner(service identity.Service, id shard.ID, key string) (Owner, bool) {
	return s.view.owner(service, id, key)
}

// ServedUnit is a unit that the node owns and serves.
type ServedUnit struct {
	service   identity.Service
	unit      ownership.Unit
	epoch     identity.Epoch
	serveFrom clock.Millis
}

// Service returns the service of the unit.
func (u ServedUnit) Service() identity.Service { return u.service }

// Unit returns the shard or hot key.
func (u ServedUnit) Unit() ownership.Unit { return u.unit }

// Epoch returns the epoch under which the node owns the unit.
func (u ServedUnit) Epoch() identity.Epoch { return u.epoch }

// ServeFrom returns the earliest time at which the node may admit requests.
func (u ServedUnit) ServeFrom() clock.Millis { return u.serveFrom }

// ServedUnits returns the units that the node serves, sorted by service, shard and hot
// key. It omits units whose handover has started. It takes time proportional to the
// number of the units.
func (s *Snapshot) ServedUnits() []ServedUnit {
	units := make([]ServedUnit, 0, len(s.view.localUnits))
	for key, local := range s.view.localUnits {
		if local.phase == phaseServing {
			units = append(units, ServedUnit{service: key.service, unit: key.unit, epoch: local.epoch, serveFrom: local.serveFrom})
		}
	}
	slices.SortFunc(units, func(a, b ServedUnit) int {
		return compareUnitKeys(unitKey{service: a.service, unit: a.unit}, unitKey{service: b.service, unit: b.unit})
	})
	return units
}

// Members returns the members of a service in any state but dead, by ascending
// incarnation. Callers must not modify the slice.
func (s *Snapshot) Members(service identity.Service) []membership.Member {
	return s.view.members(service)
}

// AllMembers returns the members that are not dead, by ascending incarnation. Callers
// must not modify the slice.
func (s *Snapshot) AllMembers() []membership.Member { return s.view.allMembers() }

// ConfigRow returns the configuration row with a key under "config/", or false if there is
// none.
func (s *Snapshot) ConfigRow(key string) (table.Row, bool) { return s.view.configRow(key) }

// ConfigRows returns all rows under "config/", by ascending key. Callers must not modify
// the rows.
func (s *Snapshot) ConfigRows() []table.Row { return s.view.configRows() }

// publishState holds what changed since the last snapshot, and the lease that was last
// reported to the driver.
type publishState struct {
	// dirty is true if the table copy or the node's own row changed since the last
	// snapshot, and localUnitsDirty if the node's units did.
	dirty           bool
	localUnitsDirty bool
	leaseEnd        clock.Millis
	leaseValid      bool
}

// tableView is the part of a Snapshot that changes only with the table copy or the units
// of the node. Snapshots share it.
type tableView struct {
	self       identity.Incarnation
	view       membership.View
	owners     ownership.Table
	config     map[string]table.Row
	localUnits map[unitKey]localUnit
}

// publish creates a new snapshot if any of its contents changed.
func (n *Node) publish() {
	old := n.snapshot
	if old == nil {
		old = &Snapshot{view: &tableView{}}
	}
	next := Snapshot{
		leaseEnd: n.holder.End(),
		self:     n.ownRow,
		revision: n.copy.revision,
		view:     old.view,
	}
	if n.ownRow.State() == "" {
		next.self = membership.NewUnregisteredMember(n.incarnation, n.settings.instance)
	}
	if n.ownState.hasLeft {
		next.leaseEnd = 0
	}
	changed := n.lastPublished.dirty || n.lastPublished.localUnitsDirty
	if n.snapshot != nil && !changed && next.leaseEnd == old.leaseEnd && next.revision == old.revision {
		return
	}
	if changed {
		next.view = n.newTableView(old.view)
	}
	n.lastPublished.dirty, n.lastPublished.localUnitsDirty = false, false
	n.snapshot = &next
}

func (n *Node) newTableView(old *tableView) *tableView {
	next := &tableView{self: n.incarnation, view: n.view, owners: n.owners, config: n.config, localUnits: old.localUnits}
	if n.lastPublished.localUnitsDirty || old.self != n.incarnation {
		next.localUnits = maps.Clone(n.units.local)
	}
	return next
}

// owner returns the owner of a key in the shard id. A local key whose split from its shard
// has started is not served.
func (t *tableView) owner(service identity.Service, id shard.ID, key string) (Owner, bool) {
	unit, entry := t.owners.EntryForKey(service, id, key)
	m, ok := t.view.Member(entry.Owner())
	if !ok || !m.Alive() {
		return Owner{}, false
	}
	owner := Owner{incarnation: entry.Owner(), instance: m.Instance(), epoch: entry.Epoch()}
	if entry.Owner() != t.self {
		return owner, true
	}
	owner.local = true
	local, ok := t.localUnits[unitKey{service: service, unit: unit}]
	owner.serveFrom = local.serveFrom
	owner.serving = ok && local.epoch == entry.Epoch() && local.phase == phaseServing
	if key != "" && unit.HotKey() == "" {
		if _, splitting := t.localUnits[unitKey{service: service, unit: ownership.NewUnit(id, key)}]; splitting {
			owner.serving = false
		}
	}
	return owner, true
}

func (t *tableView) members(service identity.Service) []membership.Member {
	return t.view.AliveIn(service)
}

func (t *tableView) allMembers() []membership.Member { return t.view.Alive() }

func (t *tableView) configRow(key string) (table.Row, bool) {
	row, ok := t.config[key]
	return row, ok
}

func (t *tableView) configRows() []table.Row {
	rows := slices.Collect(maps.Values(t.config))
	slices.SortFunc(rows, func(a, b table.Row) int { return cmp.Compare(a.Key(), b.Key()) })
	return rows
}
