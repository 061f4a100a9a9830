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

type phase int

const (
	// phaseServing: orders are admitted from serveFrom.
	phaseServing phase = iota
	// phaseDraining: no order is admitted; the driver has orders in flight.
	phaseDraining
	// phaseDrained: ready for the transaction.
	phaseDrained
	// phaseCommitting: the transaction was sent.
	phaseCommitting
)

type localKey struct {
	service identity.Service
	unit    ownership.Unit
}

func compareLocal(a, b localKey) int {
	return cmp.Or(cmp.Compare(a.service.String(), b.service.String()), compareUnits(a.unit, b.unit))
}

// localUnit is a unit that the node owns.
type localUnit struct {
	epoch     identity.Epoch
	serveFrom clock.Millis
	phase     phase
	target    identity.Incarnation
	// split is set for a hot key that has no entry of its own yet.
	split bool
}

type handoverState struct {
	local map[localKey]localUnit
	// pending are the units that are not serving, in the order of their stops.
	pending []localKey
	// requested is the planner's newest request that waits for a scan of the
	// table, and requestedAt when it came.
	requested   *peer.Handover
	requestedAt clock.Millis
}

func newHandoverState() handoverState {
	return handoverState{local: make(map[localKey]localUnit)}
}

// idle tells whether the node owns no units.
func (s *handoverState) idle() bool { return len(s.local) == 0 }

// allDrained tells whether no unit has orders in flight.
func (s *handoverState) allDrained() bool {
	for _, l := range s.local {
		if l.phase != phaseDrained {
			return false
		}
	}
	return true
}

func (s *handoverState) sorted() []localKey {
	return slices.SortedFunc(maps.Keys(s.local), compareLocal)
}

// groupChanged compares the node's units with a group that was read.
func (n *Node) groupChanged(g groupChange) {
	rules, ok := n.catalog.Service(g.service.String())
	if !ok || !rules.IsKeyed() {
		return
	}
	group, _ := n.owners.Group(g.service, g.number)
	for _, owned := range group.Units(g.number) {
		key := localKey{service: g.service, unit: owned.Unit()}
		local, has := n.handovers.local[key]
		mine := owned.Entry().Owner() == n.incarnation
		switch {
		case mine && (!has || local.split || local.epoch != owned.Entry().Epoch()):
			n.gain(key, owned.Entry())
		case !mine && has:
			n.lose(key)
		}
	}
	n.published.localDirty = true
}

// gain begins to serve a unit. A replaced owner whose upstream checks nothing may
// have orders in its buffers for the settle time, on a clock that may be slower
// than this one.
func (n *Node) gain(key localKey, entry ownership.Entry) {
	n.lose(key)
	serveFrom := n.now
	rules, _ := n.catalog.Service(key.service.String())
	if entry.Lapsed() && rules.Fencing() == upstream.FencingNone {
		serveFrom += rules.Settle() + rules.Settle()*lease.DriftPercent/100 + 1
	}
	n.handovers.local[key] = localUnit{epoch: entry.Epoch(), serveFrom: serveFrom}
	n.published.localDirty = true
	n.emit(ServeShard{service: key.service, unit: key.unit, epoch: entry.Epoch(), serveFrom: serveFrom})
}

// lose ends the service of a unit that the node does not own any more.
func (n *Node) lose(key localKey) {
	local, ok := n.handovers.local[key]
	if !ok {
		return
	}
	if local.phase == phaseServing {
		n.emit(StopShard{service: key.service, unit: key.unit, epoch: local.epoch})
	}
	n.forget(key)
}

func (n *Node) forget(key localKey) {
	delete(n.handovers.local, key)
	n.handovers.pending = slices.DeleteFunc(n.handovers.pending, func(k localKey) bool { return k == key })
	n.published.localDirty = true
}

func (n *Node) dropAll() {
	for _, key := range n.handovers.sorted() {
		n.lose(key)
	}
}

// startHandover stops the admission of orders for a unit. The transaction
// follows when the driver reports ShardDrained. Target 0 means any.
func (n *Node) startHandover(key localKey, target identity.Incarnation) {
	local, ok := n.handovers.local[key]
	if !ok && key.unit.HotKey() != "" && n.owners.Entry(key.service, key.unit) == (ownership.Entry{}) {
		shardKey := localKey{service: key.service, unit: ownership.NewUnit(key.unit.Shard(), "")}
		local, ok = n.handovers.local[shardKey]
		local.split = true
	}
	if !ok || local.phase != phaseServing {
		return
	}
	local.phase, local.target = phaseDraining, target
	n.handovers.local[key] = local
	n.handovers.pending = append(n.handovers.pending, key)
	n.published.localDirty = true
	n.emit(StopShard{service: key.service, unit: key.unit, epoch: local.epoch, drain: true})
}

func (n *Node) shardDrained(e ShardDrained) {
	key := localKey{service: e.service, unit: e.unit}
	local, ok := n.handovers.local[key]
	if ok && local.epoch == e.epoch && local.phase == phaseDraining {
		local.phase = phaseDrained
		n.handovers.local[key] = local
	}
}

// handoverRequested takes the planner's request. The table may have become
// unreachable since the planner looked, and a unit whose move began stays
// unserved until it is back: the move waits for a scan that begins now.
func (n *Node) handoverRequested(m peer.Handover) {
	n.handovers.requested, n.handovers.requestedAt = &m, n.now
	n.poll.wanted = true
}

// beginRequested begins the requested moves after a scan that began at the given
// time. The planner may be stale or wrong: only units that the node serves and
// targets that may own them count. Moves that may not begin now are dropped,
// since the planner repeats them.
func (n *Node) beginRequested(scanBegan clock.Millis) {
	m := n.handovers.requested
	if m == nil || scanBegan < n.handovers.requestedAt {
		return
	}
	n.handovers.requested = nil
	for _, t := range m.Targets()[:n.moveLimit(len(m.Targets()))] {
		member, ok := n.view.Member(t.Target())
		if ok && memberActive(member, m.Service()) && t.Target() != n.incarnation {
			n.startHandover(localKey{service: m.Service(), unit: ownership.NewUnit(t.Shard(), t.HotKey())}, t.Target())
		}
	}
}

// evacuating tells whether the node should own no units.
func (n *Node) evacuating() bool {
	return n.self.draining || n.self.announced && !n.self.upstreamUp
}

// hasTarget tells whether any member can take the node's units.
func (n *Node) hasTarget() bool {
	for _, m := range n.view.ActiveIn(n.self.announcement.Service()) {
		if m.Incarnation() != n.incarnation {
			return true
		}
	}
	return false
}

// stepEvacuate starts the handover of all units of a node that leaves or whose
// upstream is down. Without a member to take them it goes on serving, unless it
// leaves and has waited long enough.
func (n *Node) stepEvacuate() {
	if !n.evacuating() || len(n.handovers.local) == len(n.handovers.pending) {
		return
	}
	lastResort := n.self.draining && n.now-n.self.drainSince >= leaveGrace
	if !n.hasTarget() && !lastResort {
		return
	}
	for _, key := range n.handovers.sorted() {
		n.startHandover(key, 0)
	}
}

// stepHandover sends the transaction for all drained units.
func (n *Node) stepHandover() {
	if len(n.handovers.pending) == 0 || !n.sharedLane.free() {
		return
	}
	change := ownership.NewChange(n.owners)
	var keys []localKey
	var takers []identity.Incarnation
	for _, key := range slices.Clone(n.handovers.pending) {
		if n.handovers.local[key].phase != phaseDrained {
			continue
		}
		if taker, ok := n.handOver(change, key); ok {
			keys, takers = append(keys, key), append(takers, taker)
		}
	}
	if len(keys) == 0 {
		return
	}
	n.note("handover", "units", strconv.Itoa(len(keys)))
	conditions, mutations := change.Build()
	n.commit(&n.sharedLane, conditions, mutations, func(committed bool) {
		n.handoverDone(keys, takers, committed)
	})
}

// handOver adds the handover of one unit to a change, or resumes its service if
// nobody can take it.
func (n *Node) handOver(change *ownership.Change, key localKey) (identity.Incarnation, bool) {
	local := n.handovers.local[key]
	entry := n.owners.Entry(key.service, key.unit)
	if local.split && entry == (ownership.Entry{}) {
		entry = n.owners.Entry(key.service, ownership.NewUnit(key.unit.Shard(), ""))
	}
	if entry.Owner() != n.incarnation {
		n.forget(key)
		return 0, false
	}
	target, ok := n.handoverTarget(key, local)
	if !ok {
		if !n.evacuating() {
			n.resume(key, local)
		}
		return 0, false
	}
	// A unit that still settles after a replacement goes on settling at its next
	// owner.
	change.Set(key.service, key.unit, entry.Next(target, local.serveFrom > n.now))
	local.phase = phaseCommitting
	n.handovers.local[key] = local
	return target, true
}

func (n *Node) handoverTarget(key localKey, local localUnit) (identity.Incarnation, bool) {
	if m, ok := n.view.Member(local.target); ok && memberActive(m, key.service) {
		return local.target, true
	}
	if !n.evacuating() {
		return 0, false
	}
	takers := n.takers(key.service, nil)
	takers.Exclude(n.incarnation)
	taker, ok := takers.Pick(n.settings.instance.Location())
	return taker.Incarnation(), ok
}

func (n *Node) resume(key localKey, local localUnit) {
	n.forget(key)
	if local.split {
		n.emit(ResumeKey(key))
		return
	}
	local.phase, local.target = phaseServing, 0
	n.handovers.local[key] = local
	n.emit(ServeShard{service: key.service, unit: key.unit, epoch: local.epoch, serveFrom: local.serveFrom})
}

// handoverDone takes the outcome. After a conflict the units stay stopped and are
// tried again with the rows that the next scan brings; units that were handed
// over left the node's list when the transaction's rows were taken.
func (n *Node) handoverDone(keys []localKey, takers []identity.Incarnation, committed bool) {
	if committed {
		n.sync.extra = append(n.sync.extra, takers...)
		n.note("handoverDone", "units", strconv.Itoa(len(keys)))
		return
	}
	for _, key := range keys {
		if local, ok := n.handovers.local[key]; ok && local.phase == phaseCommitting {
			local.phase = phaseDrained
			n.handovers.local[key] = local
		}
	}
}
