package ownership

import (
	"cmp"
	"maps"
	"slices"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/shard"
	"briarwell.dev/core/table"
)

// Table holds the groups of all services. It is immutable. The zero value is
// empty.
type Table struct {
	services map[identity.Service][]versionedGroup
}

type versionedGroup struct {
	version table.Revision
	group   Group
}

// WithGroup returns a copy of the table in which the group with the given number
// has the given row version and contents.
func (t Table) WithGroup(service identity.Service, number int, version table.Revision, group Group) Table {
	services := maps.Clone(t.services)
	if services == nil {
		services = make(map[identity.Service][]versionedGroup)
	}
	old := services[service]
	groups := make([]versionedGroup, max(len(old), number+1))
	copy(groups, old)
	groups[number] = versionedGroup{version: version, group: group}
	services[service] = groups
	return Table{services: services}
}

// Group returns a group of a service and the version of its row, which is 0 if the
// row does not exist.
func (t Table) Group(service identity.Service, number int) (Group, table.Revision) {
	groups := t.services[service]
	if number >= len(groups) {
		return Group{}, 0
	}
	return groups[number].group, groups[number].version
}

// GroupCount returns the number of groups of a service that may have a row: one more
// than the highest group number in the table.
func (t Table) GroupCount(service identity.Service) int { return len(t.services[service]) }

// Entry returns the entry of a unit.
func (t Table) Entry(service identity.Service, unit Unit) Entry {
	group, _ := t.Group(service, int(unit.shard/GroupSize))
	return group.Entry(unit)
}

// EntryForKey returns the unit that a key belongs to, and the entry of that unit: the
// key itself if it is a hot key with an entry of its own, or else its shard id. For
// key "" the unit is the shard.
func (t Table) EntryForKey(service identity.Service, id shard.ID, key string) (Unit, Entry) {
	group, _ := t.Group(service, int(id/GroupSize))
	if key != "" && group.hotKeys != nil {
		if e, ok := group.hotKeys[key]; ok {
			return NewUnit(id, key), e.entry
		}
	}
	unit := NewUnit(id, "")
	return unit, group.Entry(unit)
}

// Services returns the services that have rows, in ascending order of their names.
func (t Table) Services() []identity.Service {
	services := slices.Collect(maps.Keys(t.services))
	slices.SortFunc(services, func(a, b identity.Service) int { return cmp.Compare(a.String(), b.String()) })
	return services
}

// Units returns the units of a service that have an entry, in the order of groups.
func (t Table) Units(service identity.Service) []UnitEntry {
	units := make([]UnitEntry, 0, len(t.services[service])*GroupSize)
	for number, g := range t.services[service] {
		units = append(units, g.group.Units(number)...)
	}
	return units
}

// OwnedBy returns the units of a service that the given member owns.
func (t Table) OwnedBy(service identity.Service, owner identity.Incarnation) []UnitEntry {
	var owned []UnitEntry
	for _, u := range t.Units(service) {
		if u.entry.owner == owner {
			owned = append(owned, u)
		}
	}
	return owned
}

// UnitCounts returns the number of units of a service for each owner. The units
// without an owner are counted under 0.
func (t Table) UnitCounts(service identity.Service) map[identity.Incarnation]int {
	counts := make(map[identity.Incarnation]int)
	for _, u := range t.Units(service) {
		counts[u.entry.owner]++
	}
	return counts
}

// Change collects new entries and builds the conditions and mutations of the
// transaction that writes them. The write of each changed group is conditional on
// the version of its row in the table.
type Change struct {
	table  Table
	groups map[groupID]versionedGroup
}

type groupID struct {
	service identity.Service
	number  int
}

// NewChange returns a change of t without any new entries.
func NewChange(t Table) *Change {
	return &Change{table: t, groups: make(map[groupID]versionedGroup)}
}

// Set sets the entry of a unit.
func (c *Change) Set(service identity.Service, unit Unit, entry Entry) {
	id := groupID{service: service, number: int(unit.shard / GroupSize)}
	current, ok := c.groups[id]
	if !ok {
		current.group, current.version = c.table.Group(service, id.number)
	}
	current.group = current.group.WithEntry(unit, entry)
	c.groups[id] = current
}

// GroupCount returns the number of changed groups.
func (c *Change) GroupCount() int { return len(c.groups) }

// Build returns the conditions and mutations of the transaction, both by ascending
// key.
func (c *Change) Build() ([]table.Condition, []table.Mutation) {
	conditions := make([]table.Condition, 0, len(c.groups))
	mutations := make([]table.Mutation, 0, len(c.groups))
	for id, g := range c.groups {
		key := Key(id.service, id.number)
		conditions = append(conditions, table.NewCondition(key, g.version))
		mutations = append(mutations, table.NewPut(key, Encode(g.group)))
	}
	slices.SortFunc(conditions, func(a, b table.Condition) int { return cmp.Compare(a.Key(), b.Key()) })
	slices.SortFunc(mutations, func(a, b table.Mutation) int { return cmp.Compare(a.Key(), b.Key()) })
	return conditions, mutations
}
