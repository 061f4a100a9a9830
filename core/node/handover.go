package node

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/upstream"
)

type unitPhase int

const (
	// phaseServing: orders are admitted from serveFrom.
	phaseServing unitPhase = iota
	// phaseDraining: no order is admitted; the driver has orders in flight.
	phaseDraining
	// phaseDrained: ready for the transaction.
	phaseDrained
	// phaseCommitting: the transaction was sent.
	phaseCommitting
)

type unitKey struct {
	service identity.Service
	unit    ownership.Unit
}

func compareUnitKeys(a, b unitKey) int {
	return cmp.Or(cmp.Compare(a.service.String(), b.service.String()), compareUnits(a.unit, b.unit))
}

// localUnit is a unit that the node owns.
type localUnit struct {
	epoch     identity.Epoch
	serveFrom clock.Millis
	phase     unitPhase
	target    identity.Incarnation
	// splitPending is set for a hot key that has no entry of its own yet.
	splitPending bool
}

type unitsState struct {
	local map[unitKey]localUnit
	// pending are the units that are not serving, in the order of their stops.
	pending []unitKey
	// requestedMoves is the planner's newest request that waits for a scan of the
	// table, and requestedAt when it came.
	requestedMoves *peer.Handover
	requestedAt    clock.Millis
}

func newUnitsState() unitsState {
	return unitsState{local: make(map[unitKey]localUnit)}
}

// isEmpty tells whether the node owns no units.
func (s *unitsState) isEmpty() bool { return len(s.local) == 0 }

// allDrained tells whether no unit has orders in flight.
func (s *unitsState) allDrained() bool {
	for _, l := range s.local {
		if l.phase != phaseDrained {
			return false
		}
	}
	return true
}

func (s *unitsState) sortedKeys() []unitKey {
	return slices.SortedFunc(maps.Keys(s.local), compareUnitKeys)
}

// applyGroup compares the node's units with a group that was read.
func (n *Node) applyGroup(g groupID) {
	rules, ok := n.catalog.Service(g.service.String())
	if !ok || !rules.IsKeyed() {
		return
	}
	group, _ := n.owners.Group(g.service, g.number)
	for _, owned := range group.Units(g.number) {
		key := unitKey{service: g.service, unit: owned.Unit()}
		local, has := n.units.local[key]
		mine := owned.Entry().Owner() == n.incarnation
		switch {
		case mine && (!has || local.splitPending || local.epoch != owned.Entry().Epoch()):
			n.startServing(key, owned.Entry())
		case !mine && has:
			n.stopServing(key)
		}
	}
	n.lastPublished.localUnitsDirty = true
}

// startServing begins to serve a unit. A replaced owner whose upstream checks nothing may
// have orders in its buffers for the settle time, on a clock that may be slower
// than this one.
func (n *Node) startServing(key unitKey, entry ownership.Entry) {
	n.stopServing(key)
	serveFrom := n.now
	rules, _ := n.catalog.Service(key.service.String())
	if entry.Lapsed() && rules.Fencing() == upstream.FencingNone {
		serveFrom += rules.SettleTime() + rules.SettleTime()*lease.DriftPercent/100 + 1
	}
	n.units.local[key] = localUnit{epoch: entry.Epoch(), serveFrom: serveFrom}
	n.lastPublished.localUnitsDirty = true
	n.emit(ServeShard{service: key.service, unit: key.unit, epoch: entry.Epoch(), serveFrom: serveFrom})
}

// stopServing ends the service of a unit that the node does not own any more.
func (n *Node) stopServing(key unitKey) {
	local, ok := n.units.local[key]
	if !ok {
		return
	}
	if local.phase == phaseServing {
		n.emit(StopShard{service: key.service, unit: key.unit, epoch: local.epoch})
	}
	n.removeUnit(key)
}

func (n *Node) removeUnit(key unitKey) {
	delete(n.units.local, key)
	n.units.pending = slices.DeleteFunc(n.units.pending, func(k unitKey) bool { return k == key })
	n.lastPublished.localUnitsDirty = true
}

func (n *Node) stopServingAll() {
	for _, key := range n.units.sortedKeys() {
		n.stopServing(key)
	}
}

// startHandover stops the admission of orders for a unit. The transaction
// follows when the driver reports ShardDrained. Target 0 means any.
func (n *Node) startHandover(key unitKey, target identity.Incarnation) {
	local, ok := n.units.local[key]
	if !ok && key.unit.HotKey() != "" && n.owners.Entry(key.service, key.unit) == (ownership.Entry{}) {
		shardKey := unitKey{service: key.service, unit: ownership.NewUnit(key.unit.Shard(), "")}
		local, ok = n.units.local[shardKey]
		local.splitPending = true
	}
	if !ok || local.phase != phaseServing {
		return
	}
	local.phase, local.target = phaseDraining, target
	n.units.local[key] = local
	n.units.pending = append(n.units.pending, key)
	n.lastPublished.localUnitsDirty = true
	n.emit(StopShard{service: key.service, unit: key.unit, epoch: local.epoch, drainExpected: true})
}

func (n *Node) handleShardDrained(e ShardDrained) {
	key := unitKey{service: e.service, unit: e.unit}
	local, ok := n.units.local[key]
	if ok && local.epoch == e.epoch && local.phase == phaseDraining {
		local.phase = phaseDrained
		n.units.local[key] = local
	}
}

// handleHandover takes the planner's request. The table may have become
// unreachable since the planner looked, and a unit whose move began stays
// unserved until it is back: the move waits for a scan that begins now.
func (n *Node) handleHandover(m peer.Handover) {
	n.units.requestedMoves, n.units.requestedAt = &m, n.now
	n.poll.scanRequested = true
}

// startRequestedMoves begins the requested moves after a scan that began at the given
// time. The planner may be stale or wrong: only units that the node serves and
// targets that may own them count. Moves that may not begin now are dropped,
// since the planner repeats them.
func (n *Node) startRequestedMoves(scanBegan clock.Millis) {
	m := n.units.requestedMoves
	if m == nil || scanBegan < n.units.requestedAt {
		return
	}
	n.units.requestedMoves = nil
	for _, t := range m.Targets()[:n.moveLimit(len(m.Targets()))] {
		member, ok := n.view.Member(t.NextOwner())
		if ok && isActiveIn(member, m.Service()) && t.NextOwner() != n.incarnation {
			n.startHandover(unitKey{service: m.Service(), unit: ownership.NewUnit(t.Shard(), t.HotKey())}, t.NextOwner())
		}
	}
}

// isEvacuating tells whether the node should own no units.
func (n *Node) isEvacuating() bool {
	return n.ownState.draining || n.ownState.announced && !n.ownState.upstreamUp
}

// hasSuccessor tells whether any member can take the node's units.
func (n *Node) hasSuccessor() bool {
	for _, m := range n.view.ActiveIn(n.ownState.announcement.Service()) {
		if m.Incarnation() != n.incarnation {
			return true
		}
	}
	return false
}

// stepEvacuation starts the handover of all units of a node that leaves or whose
// upstream is down. Without a member to take them it goes on serving, unless it
// leaves and has waited long enough.
func (n *Node) stepEvacuation() {
	if !n.isEvacuating() || len(n.units.local) == len(n.units.pending) {
		return
	}
	lastResort := n.ownState.draining && n.now-n.ownState.drainSince >= leaveGracePeriod
	if !n.hasSuccessor() && !lastResort {
		return
	}
	for _, key := range n.units.sortedKeys() {
		n.startHandover(key, 0)
	}
}

// stepHandovers sends the transaction for all drained units.
func (n *Node) stepHandovers() {
	if len(n.units.pending) == 0 || !n.sharedRowsSlot.isFree() {
		return
	}
	change := ownership.NewChange(n.owners)
	var keys []unitKey
	var takers []identity.Incarnation
	for _, key := range slices.Clone(n.units.pending) {
		if n.units.local[key].phase != phaseDrained {
			continue
		}
		if taker, ok := n.addHandover(change, key); ok {
			keys, takers = append(keys, key), append(takers, taker)
		}
	}
	if len(keys) == 0 {
		return
	}
	n.logEvent("handover", "units", strconv.Itoa(len(keys)))
	conditions, mutations := change.Build()
	n.commit(&n.sharedRowsSlot, conditions, mutations, func(committed bool) {
		n.finishHandover(keys, takers, committed)
	})
}

// addHandover adds the handover of one unit to a change, or resumes its service if
// nobody can take it.
func (n *Node) addHandover(change *ownership.Change, key unitKey) (identity.Incarnation, bool) {
	local := n.units.local[key]
	entry := n.owners.Entry(key.service, key.unit)
	if local.splitPending && entry == (ownership.Entry{}) {
		entry = n.owners.Entry(key.service, ownership.NewUnit(key.unit.Shard(), ""))
	}
	if entry.Owner() != n.incarnation {
		n.removeUnit(key)
		return 0, false
	}
	target, ok := n.handoverTarget(key, local)
	if !ok {
		if !n.isEvacuating() {
			n.resumeServing(key, local)
		}
		return 0, false
	}
	// A unit that still settles after a replacement goes on settling at its next
	// owner.
	change.Set(key.service, key.unit, entry.Next(target, local.serveFrom > n.now))
	local.phase = phaseCommitting
	n.units.local[key] = local
	return target, true
}

func (n *Node) handoverTarget(key unitKey, local localUnit) (identity.Incarnation, bool) {
	if m, ok := n.view.Member(local.target); ok && isActiveIn(m, key.service) {
		return local.target, true
	}
	if !n.isEvacuating() {
		return 0, false
	}
	takers := n.newSuccessorPicker(key.service, nil)
	takers.Exclude(n.incarnation)
	taker, ok := takers.Pick(n.settings.instance.Location())
	return taker.Incarnation(), ok
}

func (n *Node) resumeServing(key unitKey, local localUnit) {
	n.removeUnit(key)
	if local.splitPending {
		n.emit(ResumeKey(key))
		return
	}
	local.phase, local.target = phaseServing, 0
	n.units.local[key] = local
	n.emit(ServeShard{service: key.service, unit: key.unit, epoch: local.epoch, serveFrom: local.serveFrom})
}

// finishHandover takes the outcome. After a conflict the units stay stopped and are
// tried again with the rows that the next scan brings; units that were handed
// over left the node's list when the transaction's rows were taken.
func (n *Node) finishHandover(keys []unitKey, takers []identity.Incarnation, committed bool) {
	if committed {
		n.sync.newOwners = append(n.sync.newOwners, takers...)
		n.logEvent("handoverDone", "units", strconv.Itoa(len(keys)))
		return
	}
	for _, key := range keys {
		if local, ok := n.units.local[key]; ok && local.phase == phaseCommitting {
			local.phase = phaseDrained
			n.units.local[key] = local
		}
	}
}
