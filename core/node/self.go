package node

import (
	"strconv"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/table"
)

const (
	// refreshInterval is the shortest time in milliseconds between two
	// transactions that only prove that the own row is alive.
	refreshInterval clock.Millis = 1000
	// leaveGracePeriod is the time in milliseconds that a leaving member gives its
	// holders to choose another witness, and the time that it waits for a member
	// that can take its units.
	leaveGracePeriod clock.Millis = 3000
)

// ownRowState is what the node wants of its own row.
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
	avoidUntil        map[identity.Incarnation]clock.Millis

	lastRenewRequest clock.Millis
	hasRenewRequest  bool
	nextRefresh      clock.Millis
	leaving          bool
}

// reset forgets what concerns the incarnation and keeps what concerns the
// instance.
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

// replaceIncarnation gives up an incarnation that the table marks as dead. Its shards
// were or will be given to others; the node joins again without any.
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

func (n *Node) finishLeave() {
	n.stopServingAll()
	n.witness.Close()
	n.ownState.hasLeft = true
	n.lastPublished.dirty = true
	n.logEvent("left")
	n.emit(DrainCompleted{})
}

// stepOwnRow sends the next transaction on the node's own row, if one is due.
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

// register writes the first row of the incarnation. It is conditional on the
// configuration head of the copy, so that no daemon starts with a version older
// than one that was accepted.
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

// commitOwnRow writes the node's own row if it is unchanged, or absent at the
// registration. If that succeeds, the incarnation was not dead before it was
// sent, so that its promises may extend from then.
func (n *Node) commitOwnRow(row membership.Member, reason string, more ...table.Condition) {
	sent, incarnation := n.now, n.incarnation
	key := membership.Key(incarnation)
	conditions := append([]table.Condition{n.copy.condition(key)}, more...)
	if row.WitnessGeneration() != n.ownRow.WitnessGeneration() && n.isRegistered() {
		n.holder.MarkInDoubt()
	}
	n.logEvent("ownRow", "reason", reason, "state", string(row.State()), "generation", strconv.FormatUint(row.WitnessGeneration(), 10))
	n.commit(&n.ownRowSlot, conditions, []table.Mutation{table.NewPut(key, membership.Encode(row))}, func(committed bool) {
		if incarnation != n.incarnation {
			return
		}
		if committed {
			n.witness.ExtendGrantWindow(sent)
			return
		}
		n.holder.AbandonProposal()
		n.ownState.proposal = nil
	})
}

// desiredRow returns the row that the node should have and why, or "" if it has
// it.
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

// refreshDue tells whether holders need this witness but it may not promise,
// since it had no lease for too long.
func (n *Node) refreshDue() bool {
	asked := n.ownState.hasRenewRequest && n.now-n.ownState.lastRenewRequest < refreshInterval
	return asked && !n.witness.CanGrant(n.now) && n.now >= n.ownState.nextRefresh
}

// mayLeave tells whether a draining member has handed over all that it can.
func (n *Node) mayLeave() bool {
	if !n.ownState.draining || n.ownRow.State() != membership.StateDraining || n.sharedRowsSlot.inProgress {
		return false
	}
	waited := n.now - n.ownState.drainSince
	if !n.units.isEmpty() && (waited < leaveGracePeriod || !n.units.allDrained() || n.hasSuccessor()) {
		return false
	}
	return waited >= leaveGracePeriod || len(n.monitor.WatchedHolders()) == 0
}

// commitLeave marks the node's own row dead. The node stops to promise first.
func (n *Node) commitLeave() {
	n.witness.Close()
	n.ownState.leaving = true
	n.commitOwnRow(n.ownRow.WithState(membership.StateDead), "leave")
}

// emitLeaseChange tells the driver of a changed end of the lease.
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
