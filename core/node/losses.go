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
	// suspectDuration is the time in milliseconds for which a failure domain is avoided
	// after a promise to a holder in it expired.
	suspectDuration clock.Millis = 3000
	// reassignConflictLimit is the number of conflicts after which a replacement only
	// marks the member dead and leaves its units to the planner. When many members are
	// lost at once, the witnesses that replace them compete for the same group rows.
	reassignConflictLimit = 2
	// staleCheckInterval is the time in milliseconds between two searches for stale
	// members, which may have no live witnesses to replace them.
	staleCheckInterval clock.Millis = 1000
	// noWitnessTimeout is the time in milliseconds after which a member without
	// witnesses is marked dead.
	noWitnessTimeout = lease.BootstrapWindow
)

// deadPromiseLifetime returns how long the promises of a member may last in milliseconds,
// counted from when the node first saw it dead. The bootstrap window is measured on the
// witness's clock, which may be slower than this one.
func deadPromiseLifetime() clock.Millis {
	return lease.BootstrapWindow + lease.BootstrapWindow*lease.DriftPercent/100 + lease.WitnessPromiseLength()
}

// lossState tracks members that are lost or suspected to be.
type lossState struct {
	// deadSince holds the time at which a member was first seen dead, and goneSince the
	// time at which its process was first known to have ended.
	deadSince map[identity.Incarnation]clock.Millis
	goneSince map[identity.Incarnation]clock.Millis
	// lastExpiry holds the time of the last expired promise by failure domain.
	lastExpiry map[string]clock.Millis
	// conflicts holds the number of replacements of a member that ended in a conflict.
	conflicts map[identity.Incarnation]int
	// noWitnessSince holds the time since which a member was seen without a witness.
	noWitnessSince map[identity.Incarnation]clock.Millis
	// staleCheckNeeded is true if the next check must search for stale members even if
	// none is known to be without a witness.
	staleCheckNeeded bool
	nextStaleCheck   clock.Millis
}

func newLossState() lossState {
	return lossState{
		deadSince:      make(map[identity.Incarnation]clock.Millis),
		goneSince:      make(map[identity.Incarnation]clock.Millis),
		lastExpiry:     make(map[string]clock.Millis),
		conflicts:      make(map[identity.Incarnation]int),
		noWitnessSince: make(map[identity.Incarnation]clock.Millis),
	}
}

// recordDead records that a member's row is marked dead.
func (s *lossState) recordDead(incarnation identity.Incarnation, now clock.Millis) {
	if _, ok := s.deadSince[incarnation]; !ok {
		s.deadSince[incarnation] = now
	}
	delete(s.conflicts, incarnation)
	delete(s.noWitnessSince, incarnation)
}

// recordGone records that the process of an incarnation has ended.
func (s *lossState) recordGone(incarnation identity.Incarnation, now clock.Millis) {
	if _, ok := s.goneSince[incarnation]; !ok {
		s.goneSince[incarnation] = now
	}
}

// isGone reports whether the process of an incarnation is known to have ended.
func (s *lossState) isGone(incarnation identity.Incarnation) bool {
	_, ok := s.goneSince[incarnation]
	return ok
}

// promisesExpired reports whether all promises of a witness have certainly expired.
func (s *lossState) promisesExpired(incarnation identity.Incarnation, now clock.Millis) bool {
	if since, ok := s.deadSince[incarnation]; ok && now-since >= deadPromiseLifetime() {
		return true
	}
	since, ok := s.goneSince[incarnation]
	return ok && now-since >= lease.WitnessPromiseLength()
}

// isSuspect reports whether a promise to a holder in a failure domain expired within
// suspectDuration.
func (s *lossState) isSuspect(failureDomain string, now clock.Millis) bool {
	at, ok := s.lastExpiry[failureDomain]
	return ok && now-at < suspectDuration
}

// newMonitor returns a monitor that watches the holders that name the node's current
// incarnation as a witness.
func (n *Node) newMonitor() failover.Monitor {
	var monitor failover.Monitor
	for _, m := range n.view.Alive() {
		if index, ok := witnessIndex(m, n.incarnation); ok {
			monitor.Watch(n.now, m, index)
		}
	}
	return monitor
}

// stepReplacements queries the other witnesses of holders whose promises have expired
// and replaces the holders that a quorum reports lapsed.
func (n *Node) stepReplacements() {
	if !n.isRegistered() || n.ownState.leaving || !n.connectivity.canReportLapses(n.now) {
		return
	}
	for _, m := range n.monitor.ExpiredHolders(n.now, n.witness) {
		n.losses.lastExpiry[m.Instance().Location().FailureDomain()] = n.now
	}
	promisesExpired := func(i identity.Incarnation) bool { return n.losses.promisesExpired(i, n.now) }
	queries, ready := n.monitor.CheckLapses(n.now, n.incarnation, n.witness, promisesExpired)
	for _, q := range queries {
		n.send(q.Witness().PeerAddress(), q.Witness().Incarnation(), peer.NewLapseQuery(q.Holder(), q.Generation()))
	}
	if len(ready) == 0 || !n.sharedRowsSlot.isFree() {
		return
	}
	n.replaceHolders(ready)
}

// replaceHolders marks all ready holders dead in one transaction and assigns their units
// to live members. The change of each holder's row is conditional on the version whose
// witness generation was queried.
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

// markDead sends a transaction that marks members dead whose leases have certainly ended.
// The log events are called eventName, and eventName with the suffix "Done".
func (n *Node) markDead(lost []membership.Member, eventName string) {
	change := ownership.NewChange(n.owners)
	conditions := make([]table.Condition, 0, len(lost))
	mutations := make([]table.Mutation, 0, len(lost))
	var newOwners []identity.Incarnation
	for _, m := range lost {
		key := membership.Key(m.Incarnation())
		conditions = append(conditions, n.copy.condition(key))
		mutations = append(mutations, table.NewPut(key, membership.Encode(m.WithState(membership.StateDead))))
		reassigned := 0
		if n.losses.conflicts[m.Incarnation()] < reassignConflictLimit {
			before := len(newOwners)
			newOwners = n.reassignUnits(change, m, lost, newOwners)
			reassigned = len(newOwners) - before
		}
		n.logEvent(eventName, "holder", m.Incarnation().String(), "instance", m.Instance().Name(), "units", strconv.Itoa(reassigned))
	}
	groupConditions, groupMutations := change.Build()
	conditions = append(conditions, groupConditions...)
	mutations = append(mutations, groupMutations...)
	n.commit(&n.sharedRowsSlot, conditions, mutations, func(committed bool) {
		if committed {
			n.sync.newOwners = append(n.sync.newOwners, newOwners...)
			n.logEvent(eventName+"Done", "members", strconv.Itoa(len(lost)), "units", strconv.Itoa(len(newOwners)))
			return
		}
		for _, m := range lost {
			n.losses.conflicts[m.Incarnation()]++
		}
	})
}

// reassignUnits assigns the units of a lost member to live members of its service. It
// appends the incarnation of each unit's new owner to newOwners.
func (n *Node) reassignUnits(change *ownership.Change, m membership.Member, lost []membership.Member, newOwners []identity.Incarnation) []identity.Incarnation {
	pickers := make(map[identity.Service]*failover.SuccessorPicker)
	for _, service := range n.owners.Services() {
		for _, owned := range n.owners.OwnedBy(service, m.Incarnation()) {
			if pickers[service] == nil {
				pickers[service] = n.newSuccessorPicker(service, lost)
			}
			successor, ok := pickers[service].Pick(m.Instance().Location())
			if !ok {
				break
			}
			change.Set(service, owned.Unit(), owned.Entry().Next(successor.Incarnation(), true))
			newOwners = append(newOwners, successor.Incarnation())
		}
	}
	return newOwners
}

// newSuccessorPicker returns a picker of the members that may take units of a service:
// those that are active, not lost, not known to have ended and have no expired promise
// of this witness.
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
	isSuspect := func(failureDomain string) bool { return n.losses.isSuspect(failureDomain, n.now) }
	return failover.NewSuccessorPicker(candidates, n.owners.UnitCounts(service), isSuspect)
}

// stepStaleMembers marks members dead whose leases have certainly ended although no lapse
// quorum exists: earlier processes at this address, and members without witnesses.
func (n *Node) stepStaleMembers() {
	if n.now < n.losses.nextStaleCheck || !n.isRegistered() || !n.sharedRowsSlot.isFree() {
		return
	}
	if !n.losses.staleCheckNeeded && len(n.losses.noWitnessSince) == 0 {
		return
	}
	n.losses.nextStaleCheck = n.now + staleCheckInterval
	n.losses.staleCheckNeeded = n.now < n.startedAt+lease.WitnessPromiseLength()+staleCheckInterval
	var lost []membership.Member
	for _, m := range n.view.Alive() {
		if m.Incarnation() != n.incarnation && (n.isPredecessor(m) || n.lacksWitnesses(m)) {
			lost = append(lost, m)
		}
	}
	if len(lost) > 0 {
		// The rows are checked again, since the transaction may conflict.
		n.losses.staleCheckNeeded = true
		n.markDead(lost, "orphan")
	}
}

// isPredecessor reports whether m is an earlier process at this address whose lease has
// certainly ended. That process ended before this one started, and the deadlines of its
// requests have passed WitnessPromiseLength after that.
func (n *Node) isPredecessor(m membership.Member) bool {
	return m.Instance().PeerAddress() == n.settings.instance.PeerAddress() && n.now >= n.startedAt+lease.WitnessPromiseLength()
}

// lacksWitnesses reports whether m has had no witness for noWitnessTimeout, so that it
// cannot have a lease. It returns true only at the active member with the lowest
// incarnation, and only while that member has a lease.
func (n *Node) lacksWitnesses(m membership.Member) bool {
	if len(m.Witnesses()) > 0 {
		delete(n.losses.noWitnessSince, m.Incarnation())
		return false
	}
	since, ok := n.losses.noWitnessSince[m.Incarnation()]
	if !ok {
		n.losses.noWitnessSince[m.Incarnation()] = n.now
		return false
	}
	return n.leaseValid() && n.isFirstActive() && n.now-since >= noWitnessTimeout
}

// isFirstActive reports whether the node is the active member with the lowest
// incarnation.
func (n *Node) isFirstActive() bool {
	for _, m := range n.view.Alive() {
		if m.State() == membership.StateActive {
			return m.Incarnation() == n.incarnation
		}
	}
	return false
}
