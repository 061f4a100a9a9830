package node

import (
	"strconv"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/table"
)

const (
	// refreshInterval is the minimum time in milliseconds between two transactions
	// that only prove that the node's own row is not marked dead.
	refreshInterval clock.Millis = 1000
	// leaveGracePeriod is the time in milliseconds that a leaving member gives its
	// holders to choose another witness, and the time for which it waits for a member
	// that can take its units.
	leaveGracePeriod clock.Millis = 3000
)

// ownRowState holds what determines the node's own row: the upstream's announcement, the
// progress of a leave, and the choice of witnesses.
type ownRowState struct {
	announcement membership.Announcement
	announced    bool
	upstreamUp   bool
	draining     bool
	drainSince   clock.Millis
	hasLeft      bool

	proposal          []membership.Witness
	proposedAt        clock.Millis
	proposalReason    string
	witnessesDirty    bool
	nextWitnessChoice clock.Millis
	nextSpreadChange  clock.Millis
	nextWitnessReview clock.Millis
	// avoidUntil holds the time until which a silent witness is not chosen.
	avoidUntil map[identity.Incarnation]clock.Millis

	lastRenewRequest clock.Millis
	hasRenewRequest  bool
	nextRefresh      clock.Millis
	// leaving is true once the transaction that marks the own row dead was sent.
	leaving bool
}

// reset clears the state of the incarnation and keeps the state of the instance.
func (s *ownRowState) reset() {
	*s = ownRowState{
		announcement: s.announcement,
		announced:    s.announced,
		upstreamUp:   s.upstreamUp,
		draining:     s.draining,
		drainSince:   s.drainSince,
		avoidUntil:   make(map[identity.Incarnation]clock.Millis),
	}
}

// replaceIncarnation replaces an incarnation that is marked dead in the table. Its units
// are assigned to other members, and the node joins again without any.
func (n *Node) replaceIncarnation() {
	old := n.incarnation
	n.stopServingAll()
	n.startIncarnation()
	n.monitor = n.newMonitor()
	n.logEvent("selfReplacement", "old", old.String())
}

func (n *Node) handleDrainRequested() {
	if n.ownState.draining {
		return
	}
	n.ownState.draining, n.ownState.drainSince = true, n.now
	n.logEvent("drain")
}

// finishLeave stops the node after its own row was marked dead, or when no row is needed.
func (n *Node) finishLeave() {
	n.stopServingAll()
	n.witness.Close()
	n.ownState.hasLeft = true
	n.lastPublished.dirty = true
	n.logEvent("left")
	n.emit(DrainCompleted{})
}

// stepOwnRow sends the next transaction that changes the node's own row, if one is due.
func (n *Node) stepOwnRow() {
	if !n.ownRowSlot.isFree() {
		return
	}
	if !n.isRegistered() {
		n.register()
		return
	}
	if n.mayLeave() {
		n.commitLeave()
		return
	}
	next, reason := n.desiredRow()
	if reason == "" {
		return
	}
	n.commitOwnRow(next, reason)
}

// register writes the first row of the incarnation. The transaction is conditional on the
// configuration head in the copy, so that no daemon starts with a version older than one
// that was accepted.
func (n *Node) register() {
	if n.ownState.draining {
		n.finishLeave()
		return
	}
	if !n.poll.hasScanned {
		return
	}
	row := membership.NewMember(n.incarnation, n.settings.instance).WithAnnouncement(n.desiredAnnouncement())
	row = row.WithWitnesses(n.chooseWitnesses(row))
	n.commitOwnRow(row, "register", n.copy.condition(configHeadKey))
}

// commitOwnRow writes the node's own row on the condition that the row is unchanged, or
// absent at the registration. If that succeeds, the incarnation was not marked dead when
// the transaction was sent, so the grant window of its promises extends from that time.
func (n *Node) commitOwnRow(row membership.Member, reason string, extraConditions ...table.Condition) {
	sentAt, incarnation := n.now, n.incarnation
	key := membership.Key(incarnation)
	conditions := append([]table.Condition{n.copy.condition(key)}, extraConditions...)
	if row.WitnessGeneration() != n.ownRow.WitnessGeneration() && n.isRegistered() {
		n.holder.MarkInDoubt()
	}
	n.logEvent("ownRow", "reason", reason, "state", string(row.State()), "generation", strconv.FormatUint(row.WitnessGeneration(), 10))
	n.commit(&n.ownRowSlot, conditions, []table.Mutation{table.NewPut(key, membership.Encode(row))}, func(committed bool) {
		if incarnation != n.incarnation {
			return
		}
		if committed {
			n.witness.ExtendGrantWindow(sentAt)
			return
		}
		n.holder.AbandonProposal()
		n.ownState.proposal = nil
	})
}

// desiredRow returns the row that the node should have and the reason for the change,
// which is "" if the row is up to date.
func (n *Node) desiredRow() (membership.Member, string) {
	next, reason := n.ownRow, ""
	if announcement := n.desiredAnnouncement(); announcement != next.Announcement() {
		next, reason = next.WithAnnouncement(announcement), "announcement"
	}
	switch {
	case n.ownState.draining && next.State() != membership.StateDraining:
		next, reason = next.WithState(membership.StateDraining), "drain"
	case next.State() == membership.StateJoining && n.leaseValid():
		next, reason = next.WithState(membership.StateActive), "active"
	}
	if n.proposalReady() {
		next, reason = next.WithWitnesses(n.ownState.proposal), n.ownState.proposalReason
	}
	if reason == "" && n.refreshDue() {
		n.ownState.nextRefresh = n.now + refreshInterval
		reason = "refresh"
	}
	return next, reason
}

func (n *Node) desiredAnnouncement() membership.Announcement {
	if !n.ownState.announced || !n.ownState.upstreamUp {
		return membership.Announcement{}
	}
	return n.ownState.announcement
}

// refreshDue reports whether holders need this witness but it may not make promises,
// since it has had no lease for too long.
func (n *Node) refreshDue() bool {
	needed := n.ownState.hasRenewRequest && n.now-n.ownState.lastRenewRequest < refreshInterval
	return needed && !n.witness.CanGrant(n.now) && n.now >= n.ownState.nextRefresh
}

// mayLeave reports whether a draining member has handed over all units that it can and
// its holders have had time to choose another witness.
func (n *Node) mayLeave() bool {
	if !n.ownState.draining || n.ownRow.State() != membership.StateDraining || n.sharedRowsSlot.inProgress {
		return false
	}
	elapsed := n.now - n.ownState.drainSince
	if !n.units.isEmpty() && (elapsed < leaveGracePeriod || !n.units.allDrained() || n.hasSuccessor()) {
		return false
	}
	return elapsed >= leaveGracePeriod || len(n.monitor.WatchedHolders()) == 0
}

// commitLeave marks the node's own row dead. The node stops making promises first.
func (n *Node) commitLeave() {
	n.witness.Close()
	n.ownState.leaving = true
	n.commitOwnRow(n.ownRow.WithState(membership.StateDead), "leave")
}

// emitLeaseChange reports a changed end of the lease to the driver and logs when the lease
// is gained or lost.
func (n *Node) emitLeaseChange() {
	if end := n.holder.End(); end != n.lastPublished.leaseEnd {
		n.lastPublished.leaseEnd = end
		n.emit(LeaseChanged{validUntil: end})
	}
	if valid := n.leaseValid(); valid != n.lastPublished.leaseValid {
		n.lastPublished.leaseValid = valid
		if valid {
			n.logEvent("leaseGained", "generation", strconv.FormatUint(n.ownRow.WitnessGeneration(), 10))
		} else {
			n.logEvent("leaseLost", "generation", strconv.FormatUint(n.ownRow.WitnessGeneration(), 10))
		}
	}
}
