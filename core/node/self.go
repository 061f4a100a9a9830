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
	// leaveGrace is the time in milliseconds that a leaving member gives its
	// holders to choose another witness, and the time that it waits for a member
	// that can take its units.
	leaveGrace clock.Millis = 3000
)

// selfState is what the node wants of its own row.
type selfState struct {
	announcement membership.Announcement
	announced    bool
	upstreamUp   bool
	draining     bool
	drainSince   clock.Millis
	left         bool

	proposal       []membership.Witness
	proposedAt     clock.Millis
	proposalReason string
	witnessesDirty bool
	nextChoice     clock.Millis
	nextSpread     clock.Millis
	nextReview     clock.Millis
	avoid          map[identity.Incarnation]clock.Millis

	askedAt     clock.Millis
	wasAsked    bool
	nextRefresh clock.Millis
	closing     bool
}

// reset forgets what concerns the incarnation and keeps what concerns the
// instance.
func (s *selfState) reset() {
	*s = selfState{
		announcement: s.announcement,
		announced:    s.announced,
		upstreamUp:   s.upstreamUp,
		draining:     s.draining,
		drainSince:   s.drainSince,
		avoid:        make(map[identity.Incarnation]clock.Millis),
	}
}

// reincarnate gives up an incarnation that the table marks as dead. Its shards
// were or will be given to others; the node joins again without any.
func (n *Node) reincarnate() {
	old := n.incarnation
	n.dropAll()
	n.begin()
	n.replacer = n.watchAll()
	n.note("selfReplacement", "old", old.String())
}

func (n *Node) drainRequested() {
	if n.self.draining {
		return
	}
	n.self.draining, n.self.drainSince = true, n.now
	n.note("drain")
}

func (n *Node) leave() {
	n.dropAll()
	n.witness.Close()
	n.self.left = true
	n.published.dirty = true
	n.note("left")
	n.emit(Left{})
}

// stepSelf sends the next transaction on the node's own row, if one is due.
func (n *Node) stepSelf() {
	if !n.selfLane.free() {
		return
	}
	if !n.registered() {
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
	n.commitOwn(next, reason)
}

// register writes the first row of the incarnation. It is conditional on the
// configuration head of the copy, so that no daemon starts with a version older
// than one that was accepted.
func (n *Node) register() {
	if n.self.draining {
		n.leave()
		return
	}
	if !n.poll.scanned {
		return
	}
	row := membership.NewMember(n.incarnation, n.settings.instance).WithAnnouncement(n.desiredAnnouncement())
	row = row.WithWitnesses(n.chooseWitnesses(row))
	n.commitOwn(row, "register", n.copy.condition(configHeadKey))
}

// commitOwn writes the node's own row if it is unchanged, or absent at the
// registration. If that succeeds, the incarnation was not dead before it was
// sent, so that its promises may extend from then.
func (n *Node) commitOwn(row membership.Member, reason string, more ...table.Condition) {
	sent, incarnation := n.now, n.incarnation
	key := membership.Key(incarnation)
	conditions := append([]table.Condition{n.copy.condition(key)}, more...)
	if row.WitnessGeneration() != n.row.WitnessGeneration() && n.registered() {
		n.holder.MarkInDoubt()
	}
	n.note("ownRow", "reason", reason, "state", string(row.State()), "generation", strconv.FormatUint(row.WitnessGeneration(), 10))
	n.commit(&n.selfLane, conditions, []table.Mutation{table.NewPut(key, membership.Encode(row))}, func(committed bool) {
		if incarnation != n.incarnation {
			return
		}
		if committed {
			n.witness.ExtendGrantWindow(sent)
			return
		}
		n.holder.AbandonProposal()
		n.self.proposal = nil
	})
}

// desiredRow returns the row that the node should have and why, or "" if it has
// it.
func (n *Node) desiredRow() (membership.Member, string) {
	next, reason := n.row, ""
	if announcement := n.desiredAnnouncement(); announcement != next.Announcement() {
		next, reason = next.WithAnnouncement(announcement), "announcement"
	}
	switch {
	case n.self.draining && next.State() != membership.StateDraining:
		next, reason = next.WithState(membership.StateDraining), "drain"
	case next.State() == membership.StateJoining && n.leaseValid():
		next, reason = next.WithState(membership.StateActive), "active"
	}
	if n.proposalReady() {
		next, reason = next.WithWitnesses(n.self.proposal), n.self.proposalReason
	}
	if reason == "" && n.refreshDue() {
		n.self.nextRefresh = n.now + refreshInterval
		reason = "refresh"
	}
	return next, reason
}

func (n *Node) desiredAnnouncement() membership.Announcement {
	if !n.self.announced || !n.self.upstreamUp {
		return membership.Announcement{}
	}
	return n.self.announcement
}

// refreshDue tells whether holders need this witness but it may not promise,
// since it had no lease for too long.
func (n *Node) refreshDue() bool {
	asked := n.self.wasAsked && n.now-n.self.askedAt < refreshInterval
	return asked && !n.witness.CanGrant(n.now) && n.now >= n.self.nextRefresh
}

// mayLeave tells whether a draining member has handed over all that it can.
func (n *Node) mayLeave() bool {
	if !n.self.draining || n.row.State() != membership.StateDraining || n.sharedLane.busy {
		return false
	}
	waited := n.now - n.self.drainSince
	if !n.handovers.idle() && (waited < leaveGrace || !n.handovers.allDrained() || n.hasTarget()) {
		return false
	}
	return waited >= leaveGrace || len(n.replacer.WatchedHolders()) == 0
}

// commitLeave marks the node's own row dead. The node stops to promise first.
func (n *Node) commitLeave() {
	n.witness.Close()
	n.self.closing = true
	n.commitOwn(n.row.WithState(membership.StateDead), "leave")
}

// noteLease tells the driver of a changed end of the lease.
func (n *Node) noteLease() {
	if end := n.holder.End(); end != n.published.leaseEnd {
		n.published.leaseEnd = end
		n.emit(LeaseChanged{validUntil: end})
	}
	if valid := n.leaseValid(); valid != n.published.leaseValid {
		n.published.leaseValid = valid
		if valid {
			n.note("leaseGained", "generation", strconv.FormatUint(n.row.WitnessGeneration(), 10))
		} else {
			n.note("leaseLost", "generation", strconv.FormatUint(n.row.WitnessGeneration(), 10))
		}
	}
}
