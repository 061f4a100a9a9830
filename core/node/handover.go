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

// unitPhase is the phase of a local unit. The phases after phaseServing belong to a
// handover.
type unitPhase int

const (
	// phaseServing means that requests are admitted from serveFrom on.
	phaseServing unitPhase = iota
	// phaseDraining means that no request is admitted and the driver may have requests
	// in flight.
	phaseDraining
	// phaseDrained means that the unit is ready for the handover transaction.
	phaseDrained
	// phaseCommitting means that the handover transaction was sent.
	phaseCommitting
)

// unitKey identifies a unit across services.
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
	// splitPending is true for a hot key that does not have its own entry yet.
	splitPending bool
}

// unitsState holds the units that the node owns and their handovers.
type unitsState struct {
	local map[unitKey]localUnit
	// pending holds the units in a handover, in the order in which they were stopped.
	pending []unitKey
	// requestedMoves is the planner's newest request that waits for a scan of the
	// table, and requestedAt is the time at which it arrived.
	requestedMoves *peer.Handover
	requestedAt    clock.Millis
}

func newUnitsState() unitsState {
	return unitsState{local: make(map[unitKey]localUnit)}
}

// isEmpty reports whether the node owns no units.
func (s *unitsState) isEmpty() bool { return len(s.local) == 0 }

// allDrained reports whether all units are in phaseDrained.
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

// applyGroup starts and stops serving units so that they match the entries of a group.
func (n *Node) applyGroup(g groupID) {
	rules, ok := n.catalog.Service(g.service.String())
	if !ok || !rules.IsKeyed() {
		return
	}
	group, _ := n.owners.Group(g.service, g.number)
	for _, owned := range group.Units(g.number) {
		key := unitKey{service: g.service, unit: owned.Unit()}
		local, isServed := n.units.local[key]
		isOwner := owned.Entry().Owner() == n.incarnation
		switch {
		case isOwner && (!isServed || local.splitPending || local.epoch != owned.Entry().Epoch()):
			n.startServing(key, owned.Entry())
		case !isOwner && isServed:
			n.stopServing(key)
		}
	}
	n.lastPublished.localUnitsDirty = true
}

// startServing starts serving a unit. If the previous owner was replaced and its upstream
// does no fencing, requests may stay in its buffers for the settle time, measured on a
// clock that may be slower than this one. Requests are admitted after that time.
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

// stopServing stops serving a unit that the node no longer owns.
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

// startHandover stops the admission of requests for a unit. The transaction follows when
// the driver reports ShardDrained. Target 0 means any member. A hot key without its own
// entry is split off from its shard.
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

// handleHandover stores the planner's request until a scan that starts now completes.
// The table may have become unreachable since the planner read it, and a unit whose move
// has started stays unserved until the table is reachable again.
func (n *Node) handleHandover(m peer.Handover) {
	n.units.requestedMoves, n.units.requestedAt = &m, n.now
	n.poll.scanRequested = true
}

// startRequestedMoves starts the requested moves if the scan that completed was started
// after the request. The planner may be stale or wrong, so units that the node does not
// serve and targets that may not own them are skipped. Moves above the limit are
// dropped, since the planner repeats them.
func (n *Node) startRequestedMoves(scanStartedAt clock.Millis) {
	m := n.units.requestedMoves
	if m == nil || scanStartedAt < n.units.requestedAt {
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

// isEvacuating reports whether the node must hand over all its units.
func (n *Node) isEvacuating() bool {
	return n.ownState.draining || n.ownState.announced && !n.ownState.upstreamUp
}

// hasSuccessor reports whether another member can take the node's units.
func (n *Node) hasSuccessor() bool {
	for _, m := range n.view.ActiveIn(n.ownState.announcement.Service()) {
		if m.Incarnation() != n.incarnation {
			return true
		}
	}
	return false
}

// stepEvacuation starts the handover of all units if the node is leaving or its upstream
// is down. If no member can take them, the node keeps serving, unless it is leaving and
// leaveGracePeriod has passed.
func (n *Node) stepEvacuation() {
	if !n.isEvacuating() || len(n.units.local) == len(n.units.pending) {
		return
	}
	graceExpired := n.ownState.draining && n.now-n.ownState.drainSince >= leaveGracePeriod
	if !n.hasSuccessor() && !graceExpired {
		return
	}
	for _, key := range n.units.sortedKeys() {
		n.startHandover(key, 0)
	}
}

// stepHandovers sends one transaction that hands over all drained units.
func (n *Node) stepHandovers() {
	if len(n.units.pending) == 0 || !n.sharedRowsSlot.isFree() {
		return
	}
	change := ownership.NewChange(n.owners)
	var keys []unitKey
	var newOwners []identity.Incarnation
	for _, key := range slices.Clone(n.units.pending) {
		if n.units.local[key].phase != phaseDrained {
			continue
		}
		if newOwner, ok := n.addHandover(change, key); ok {
			keys, newOwners = append(keys, key), append(newOwners, newOwner)
		}
	}
	if len(keys) == 0 {
		return
	}
	n.logEvent("handover", "units", strconv.Itoa(len(keys)))
	conditions, mutations := change.Build()
	n.commit(&n.sharedRowsSlot, conditions, mutations, func(committed bool) {
		n.finishHandover(keys, newOwners, committed)
	})
}

// addHandover adds the handover of a unit to a change and returns the new owner. It
// returns false if the node no longer owns the unit, which it then removes, or if no
// member can take it. In the second case it resumes serving the unit, unless the node is
// evacuating.
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
	// If the settle time after a replacement is not over, the new owner must wait for
	// it too.
	change.Set(key.service, key.unit, entry.Next(target, local.serveFrom > n.now))
	local.phase = phaseCommitting
	n.units.local[key] = local
	return target, true
}

// handoverTarget returns the requested target of a handover if it may own the unit. If
// not, an evacuating node picks another member.
func (n *Node) handoverTarget(key unitKey, local localUnit) (identity.Incarnation, bool) {
	if m, ok := n.view.Member(local.target); ok && isActiveIn(m, key.service) {
		return local.target, true
	}
	if !n.isEvacuating() {
		return 0, false
	}
	successors := n.newSuccessorPicker(key.service, nil)
	successors.Exclude(n.incarnation)
	successor, ok := successors.Pick(n.settings.instance.Location())
	return successor.Incarnation(), ok
}

// resumeServing cancels the handover of a unit.
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

// finishHandover handles the outcome of a handover transaction. After a conflict, the
// units stay stopped and are retried with the rows of the next scan. Units that were
// handed over were removed when the transaction's rows were applied.
func (n *Node) finishHandover(keys []unitKey, newOwners []identity.Incarnation, committed bool) {
	if committed {
		n.sync.newOwners = append(n.sync.newOwners, newOwners...)
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
