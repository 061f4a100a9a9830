package node

import (
	"maps"
	"math"
	"strings"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/table"
	"briarwell.dev/core/template"
)

// ConfigPrefix is the key prefix of configuration rows.
const ConfigPrefix = "config/"

// configHeadKey is the key of the row that holds the number of the newest configuration
// version.
const configHeadKey = ConfigPrefix + "head"

// groupID identifies a group row of a service.
type groupID struct {
	service identity.Service
	number  int
}

// applyRows stores the rows that are newer than those in the copy and updates the state
// that is derived from them.
func (n *Node) applyRows(rows []table.Row) {
	var members []membership.Member
	var groups []groupID
	var config []table.Row
	for _, row := range rows {
		if !n.copy.put(row) {
			continue
		}
		n.sync.announceDue = true
		n.lastPublished.dirty = true
		switch {
		case membership.IsKey(row.Key()):
			members = n.appendMember(members, row)
		case ownership.IsKey(row.Key()):
			groups = n.applyGroupRow(groups, row)
		case strings.HasPrefix(row.Key(), ConfigPrefix):
			config = append(config, row)
		}
	}
	n.applyConfig(config)
	n.applyMembers(members)
	for _, g := range groups {
		n.applyGroup(g)
	}
}

// appendMember appends the member that a row holds to members. It logs an invalid row.
func (n *Node) appendMember(members []membership.Member, row table.Row) []membership.Member {
	m, err := membership.Decode(row.Key(), row.Value())
	if err != nil {
		n.logEvent("rowInvalid", "error", err.Error())
		return members
	}
	return append(members, m)
}

// applyGroupRow stores the entries of a group row and appends its ID to groups. It logs
// an invalid row.
func (n *Node) applyGroupRow(groups []groupID, row table.Row) []groupID {
	service, number, err := ownership.ParseKey(row.Key())
	if err != nil {
		n.logEvent("rowInvalid", "error", err.Error())
		return groups
	}
	group, err := ownership.Decode(row.Key(), row.Value())
	if err != nil {
		n.logEvent("rowInvalid", "error", err.Error())
		return groups
	}
	n.owners = n.owners.WithGroup(service, number, row.Version(), group)
	n.planner.dirty = true
	return append(groups, groupID{service: service, number: number})
}

func (n *Node) applyConfig(rows []table.Row) {
	if len(rows) == 0 {
		return
	}
	config := maps.Clone(n.config)
	if config == nil {
		config = make(map[string]table.Row)
	}
	for _, row := range rows {
		config[row.Key()] = row
	}
	n.config = config
}

func (n *Node) applyMembers(members []membership.Member) {
	if len(members) == 0 {
		return
	}
	n.view = n.view.WithMembers(members...)
	n.poll.pollers = nil
	n.planner.dirty = true
	n.ownState.witnessesDirty = true
	n.losses.staleCheckNeeded = true
	for _, m := range members {
		n.applyMember(m)
	}
}

func (n *Node) applyMember(m membership.Member) {
	if m.Incarnation() == n.incarnation {
		n.applyOwnRow(m)
		return
	}
	if !m.Alive() {
		n.losses.recordDead(m.Incarnation(), n.now)
		n.monitor.Unwatch(m.Incarnation())
		n.witness.ForgetBelow(m.Incarnation(), math.MaxUint64)
		return
	}
	n.witness.ForgetBelow(m.Incarnation(), m.WitnessGeneration())
	if index, ok := witnessIndex(m, n.incarnation); ok {
		n.monitor.Watch(n.now, m, index)
	} else {
		n.monitor.Unwatch(m.Incarnation())
	}
}

// applyOwnRow handles a change of the node's own row. Only the node writes that row,
// except that another member may mark it dead.
func (n *Node) applyOwnRow(m membership.Member) {
	previous := n.ownRow
	n.ownRow = m
	switch {
	case !m.Alive() && n.ownState.draining:
		n.finishLeave()
	case !m.Alive():
		n.replaceIncarnation()
	case m.WitnessGeneration() != previous.WitnessGeneration():
		n.holder.InstallWitnesses(m.WitnessGeneration(), m.Witnesses())
	}
}

// applyCatalog stores new service rules and compares the node's units with all groups,
// since a service may have become keyed.
func (n *Node) applyCatalog(catalog template.Catalog) {
	n.catalog = catalog
	n.planner.dirty = true
	for _, service := range n.owners.Services() {
		for number := range n.owners.GroupCount(service) {
			n.applyGroup(groupID{service: service, number: number})
		}
	}
}
