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

// IsLocal tells whether the owner is this node.
func (o Owner) IsLocal() bool { return o.local }

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
	view     *tableView
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
	return s.view.owner(service, id, key)
}

// ServedUnit is a unit that the node owns and serves.
type ServedUnit struct {
	service   identity.Service
	unit      ownership.Unit
	epoch     identity.Epoch
	serveFrom clock.Millis
}

// Service returns the service.
func (u ServedUnit) Service() identity.Service { return u.service }

// Unit returns the shard or hot key.
func (u ServedUnit) Unit() ownership.Unit { return u.unit }

// Epoch returns the epoch under which the node owns the unit.
func (u ServedUnit) Epoch() identity.Epoch { return u.epoch }

// ServeFrom returns the earliest point at which the node may admit orders.
func (u ServedUnit) ServeFrom() clock.Millis { return u.serveFrom }

// ServedUnits returns the units that the node serves, without those whose handover has
// begun, in order of service, shard and hot key. It costs time proportional to
// their number.
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

// Members returns the members of a service that are not dead, in any other state,
// by ascending incarnation; callers must not change them.
func (s *Snapshot) Members(service identity.Service) []membership.Member {
	return s.view.members(service)
}

// AllMembers returns all members that are not dead, by ascending incarnation;
// callers must not change them.
func (s *Snapshot) AllMembers() []membership.Member { return s.view.allMembers() }

// ConfigRow returns the row with a key below "config/", or false.
func (s *Snapshot) ConfigRow(key string) (table.Row, bool) { return s.view.configRow(key) }

// ConfigRows returns all rows below "config/" by ascending key; callers must not
// change them.
func (s *Snapshot) ConfigRows() []table.Row { return s.view.configRows() }

// publishState is what the last snapshot was made from.
type publishState struct {
	// dirty is set when the table copy or the own row changed, localDirty when
	// the units of this node changed.
	dirty           bool
	localUnitsDirty bool
	leaseEnd        clock.Millis
	leaseValid      bool
}

// tableView is the part of a Snapshot that changes only with the table copy.
type tableView struct {
	self       identity.Incarnation
	view       membership.View
	owners     ownership.Table
	config     map[string]table.Row
	localUnits map[unitKey]localUnit
}

// publish makes a new snapshot if anything in it changed.
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
