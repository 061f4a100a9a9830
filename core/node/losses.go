package node

import (
	"strconv"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/lease/failover"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/table"
)

const (
	// suspectDuration is the time in milliseconds for which a failure domain is
	// avoided after an expiry was seen there.
	suspectDuration clock.Millis = 3000
	// reassignConflictLimit is the number of conflicts after which a replacement only
	// marks the member dead and leaves its units to the planner: when many members
	// are lost at once, their replacers compete for the same group rows.
	reassignConflictLimit = 2
	// orphanCheckInterval is the time in milliseconds between two searches for rows
	// that no witness will ever replace.
	orphanCheckInterval clock.Millis = 1000
	// orphanTimeout is the time in milliseconds after which a member without
	// witnesses is marked dead.
	orphanTimeout = lease.BootstrapWindow
)

// deadPromiseLifetime returns how long after a member was first seen dead its
// promises may last. The bootstrap window runs on the witness's clock, which may
// be slower than this one.
func deadPromiseLifetime() clock.Millis {
	return lease.BootstrapWindow + lease.BootstrapWindow*lease.DriftPercent/100 + lease.WitnessPromiseLength()
}

// lossState is what the node knows of lost members.
type lossState struct {
	deadSince       map[identity.Incarnation]clock.Millis
	goneSince       map[identity.Incarnation]clock.Millis
	lastExpiry      map[string]clock.Millis
	conflicts       map[identity.Incarnation]int
	orphanSince     map[identity.Incarnation]clock.Millis
	orphansDirty    bool
	nextOrphanCheck clock.Millis
}

func newLossState() lossState {
	return lossState{
		deadSince:   make(map[identity.Incarnation]clock.Millis),
		goneSince:   make(map[identity.Incarnation]clock.Millis),
		lastExpiry:  make(map[string]clock.Millis),
		conflicts:   make(map[identity.Incarnation]int),
		orphanSince: make(map[identity.Incarnation]clock.Millis),
	}
}

func (s *lossState) recordDead(incarnation identity.Incarnation, now clock.Millis) {
	if _, ok := s.deadSince[incarnation]; !ok {
		s.deadSince[incarnation] = now
	}
	delete(s.conflicts, incarnation)
	delete(s.orphanSince, incarnation)
}

func (s *lossState) recordGone(incarnation identity.Incarnation, now clock.Millis) {
	if _, ok := s.goneSince[incarnation]; !ok {
		s.goneSince[incarnation] = now
	}
}

// isGone tells whether the process of an incarnation is known to be gone.
func (s *lossState) isGone(incarnation identity.Incarnation) bool {
	_, ok := s.goneSince[incarnation]
	return ok
}

// promisesExpired tells whether all promises of a witness have certainly expired.
func (s *lossState) promisesExpired(incarnation identity.Incarnation, now clock.Millis) bool {
	if since, ok := s.deadSince[incarnation]; ok && now-since >= deadPromiseLifetime() {
		return true
	}
	since, ok := s.goneSince[incarnation]
	return ok && now-since >= lease.WitnessPromiseLength()
}

func (s *lossState) isSuspect(failureDomain string, now clock.Millis) bool {
	at, ok := s.lastExpiry[failureDomain]
	return ok && now-at < suspectDuration
}

// newMonitor returns a replacer that follows the holders that name the node's
// present incarnation.
func (n *Node) newMonitor() failover.Monitor {
	var r failover.Monitor
	for _, m := range n.view.Alive() {
		if index, ok := witnessIndex(m, n.incarnation); ok {
			r.Watch(n.now, m, index)
		}
	}
	return r
}

// stepReplacements replaces holders whose promises have expired.
func (n *Node) stepReplacements() {
	if !n.isRegistered() || n.ownState.leaving || !n.connectivity.canReportLapses(n.now) {
		return
	}
	for _, m := range n.monitor.ExpiredHolders(n.now, n.witness) {
		n.losses.lastExpiry[m.Instance().Location().FailureDomain()] = n.now
	}
	gone := func(i identity.Incarnation) bool { return n.losses.promisesExpired(i, n.now) }
	queries, ready := n.monitor.CheckLapses(n.now, n.incarnation, n.witness, gone)
	for _, q := range queries {
		n.send(q.Witness().PeerAddress(), q.Witness().Incarnation(), peer.NewLapseQuery(q.Holder(), q.Generation()))
	}
	if len(ready) == 0 || !n.sharedRowsSlot.isFree() {
		return
	}
	n.replaceHolders(ready)
}

// replaceHolders marks all ready holders dead in one transaction and gives their units
// to live members. Each is conditional on the version of the row whose witness
// generation was queried.
func (n *Node) replaceHolders(ready []membership.Member) {
	var lost []membership.Member
	for _, m := range ready {
		if n.witness.FenceIfExpired(n.now, m.Incarnation(), m.WitnessGeneration()) {
			lost = append(lost, m)
		}
	}
	if len(lost) == 0 {
		return
	}
	n.markDead(lost, "replacement")
}

// markDead sends the transaction that marks members dead whose leases have
// certainly ended.
func (n *Node) markDead(lost []membership.Member, name string) {
	change := ownership.NewChange(n.owners)
	conditions := make([]table.Condition, 0, len(lost))
	mutations := make([]table.Mutation, 0, len(lost))
	var takers []identity.Incarnation
	for _, m := range lost {
		key := membership.Key(m.Incarnation())
		conditions = append(conditions, n.copy.condition(key))
		mutations = append(mutations, table.NewPut(key, membership.Encode(m.WithState(membership.StateDead))))
		given := 0
		if n.losses.conflicts[m.Incarnation()] < reassignConflictLimit {
			before := len(takers)
			takers = n.reassignUnits(change, m, lost, takers)
			given = len(takers) - before
		}
		n.logEvent(name, "holder", m.Incarnation().String(), "instance", m.Instance().Name(), "units", strconv.Itoa(given))
	}
	groupConditions, groupMutations := change.Build()
	conditions = append(conditions, groupConditions...)
	mutations = append(mutations, groupMutations...)
	n.commit(&n.sharedRowsSlot, conditions, mutations, func(committed bool) {
		if committed {
			n.sync.newOwners = append(n.sync.newOwners, takers...)
			n.logEvent(name+"Done", "members", strconv.Itoa(len(lost)), "units", strconv.Itoa(len(takers)))
			return
		}
		for _, m := range lost {
			n.losses.conflicts[m.Incarnation()]++
		}
	})
}

// reassignUnits gives the units of a lost member to live members of its service and
// appends their incarnations to takers.
func (n *Node) reassignUnits(change *ownership.Change, m membership.Member, lost []membership.Member, takers []identity.Incarnation) []identity.Incarnation {
	chooser := make(map[identity.Service]*failover.SuccessorPicker)
	for _, service := range n.owners.Services() {
		for _, owned := range n.owners.OwnedBy(service, m.Incarnation()) {
			if chooser[service] == nil {
				chooser[service] = n.newSuccessorPicker(service, lost)
			}
			taker, ok := chooser[service].Pick(m.Instance().Location())
			if !ok {
				break
			}
			change.Set(service, owned.Unit(), owned.Entry().Next(taker.Incarnation(), true))
			takers = append(takers, taker.Incarnation())
		}
	}
	return takers
}

// newSuccessorPicker returns the members that may take units of a service: active, not lost,
// and not known to have an expired promise.
func (n *Node) newSuccessorPicker(service identity.Service, lost []membership.Member) *failover.SuccessorPicker {
	excluded := make(map[identity.Incarnation]bool)
	for _, m := range lost {
		excluded[m.Incarnation()] = true
	}
	for _, m := range n.monitor.ExpiredHolders(n.now, n.witness) {
		excluded[m.Incarnation()] = true
	}
	var candidates []membership.Member
	for _, m := range n.view.ActiveIn(service) {
		if !excluded[m.Incarnation()] && !n.losses.isGone(m.Incarnation()) {
			candidates = append(candidates, m)
		}
	}
	suspect := func(failureDomain string) bool { return n.losses.isSuspect(failureDomain, n.now) }
	return failover.NewSuccessorPicker(candidates, n.owners.UnitCounts(service), suspect)
}

// stepOrphans marks members dead whose leases have certainly ended without a
// lapse quorum: earlier processes at this address, and members that never had a
// witness.
func (n *Node) stepOrphans() {
	if n.now < n.losses.nextOrphanCheck || !n.isRegistered() || !n.sharedRowsSlot.isFree() {
		return
	}
	if !n.losses.orphansDirty && len(n.losses.orphanSince) == 0 {
		return
	}
	n.losses.nextOrphanCheck = n.now + orphanCheckInterval
	n.losses.orphansDirty = n.now < n.startedAt+lease.WitnessPromiseLength()+orphanCheckInterval
	var lost []membership.Member
	for _, m := range n.view.Alive() {
		if m.Incarnation() != n.incarnation && (n.isPredecessor(m) || n.isOrphan(m)) {
			lost = append(lost, m)
		}
	}
	if len(lost) > 0 {
		// Their rows are looked at again, since the transaction may conflict.
		n.losses.orphansDirty = true
		n.markDead(lost, "orphan")
	}
}

// isPredecessor tells whether m is the row of an earlier process at this address.
// That process has ended before this one started, and the deadlines of its
// orders have passed WitnessLength after that.
func (n *Node) isPredecessor(m membership.Member) bool {
	return m.Instance().PeerAddress() == n.settings.instance.PeerAddress() && n.now >= n.startedAt+lease.WitnessPromiseLength()
}

// isOrphan tells whether m has had no witness for long. It can't have a lease with
// that row. Only the active member with the smallest incarnation looks.
func (n *Node) isOrphan(m membership.Member) bool {
	if len(m.Witnesses()) > 0 {
		delete(n.losses.orphanSince, m.Incarnation())
		return false
	}
	since, ok := n.losses.orphanSince[m.Incarnation()]
	if !ok {
		n.losses.orphanSince[m.Incarnation()] = n.now
		return false
	}
	return n.leaseValid() && n.isFirstActive() && n.now-since >= orphanTimeout
}

func (n *Node) isFirstActive() bool {
	for _, m := range n.view.Alive() {
		if m.State() == membership.StateActive {
			return m.Incarnation() == n.incarnation
		}
	}
	return false
}
