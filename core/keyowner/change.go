package keyowner

import (
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/era"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/membership"
)

// Reasons of changes. All but the last may be proposed to another daemon.
const (
	// ReasonJoin is the reason of a change that adds this upstream to the assignment.
	ReasonJoin = "join"
	// ReasonMove is the reason of a change that names next owners for keys.
	ReasonMove = "move"
	// ReasonHandover is the reason of a change that gives released keys to their next
	// owners.
	ReasonHandover = "handover"
	// ReasonLeave is the reason of a change that marks this holder as leaving or chooses next
	// owners for its keys.
	ReasonLeave = "leave"
	// ReasonLeft is the reason of a change that removes this holder, which is leaving and owns
	// no keys.
	ReasonLeft = "left"
	// ReasonUpstreamEnded is the reason of a change that removes this holder, whose upstream has
	// ended or is silent.
	ReasonUpstreamEnded = "upstreamEnded"
)

// Change is a new assignment to write to the table in place of a known revision.
type Change struct {
	assignment keyspace.Assignment
	base       era.Revision
	reason     string
	evidence   Evidence
}

// Assignment returns the assignment to write.
func (c Change) Assignment() keyspace.Assignment { return c.assignment }

// Base returns the revision of the assignment to replace, 0 if the table has none.
func (c Change) Base() era.Revision { return c.base }

// Reason returns the name of the change in logs, "" for the zero Change.
func (c Change) Reason() string { return c.reason }

// DropLapsed returns the change that removes the holder of a member whose lease has
// certainly lapsed. It returns false if the holder's incarnation or witness generation is
// another one: the lapse was confirmed by the witnesses of the member's generation only. It also
// returns false for an assignment that is not settled at now; the era of base was seen at eraSeenAt.
func DropLapsed(now, eraSeenAt clock.Millis, a keyspace.Assignment, base era.Revision, member membership.Member) (Change, bool) {
	a = a.ForEra(base.Era())
	if now-eraSeenAt >= settleDelay {
		a = a.Settle()
	}
	h, ok := a.Holder(member.Instance().Name())
	if !ok || !a.Settled() || h.Member().Incarnation() != member.Incarnation() || h.Member().WitnessGeneration() != member.WitnessGeneration() {
		return Change{}, false
	}
	return Change{assignment: a.RemoveHolder(h.InstanceName()), base: base, reason: "lost", evidence: Evidence{kind: EvidenceLapsed}}, true
}

// moveRequestTimeout is the time in milliseconds for which requested moves are retried
// after conflicts with other changes. After that, the loads on which they are based are
// too old.
const moveRequestTimeout clock.Millis = 1500

// RequestMoves requests moves of keys of this upstream at now. They replace the moves that
// were requested before.
func (c *Controller) RequestMoves(now clock.Millis, moves []Move) {
	c.moves, c.movesUntil = moves, now+moveRequestTimeout
}

// NextChange returns the change of the assignment that is due at now, if any. The caller
// must pass the result to HandleCommit or HandleAssignment before the next call.
func (c *Controller) NextChange(now clock.Millis) (Change, bool) {
	c.now = now
	if !c.assignmentKnown || !c.MayChange(now) {
		return Change{}, false
	}
	c.updateRecovery()
	// Each step returns the changed assignment and the reason, or "" for no change.
	for _, step := range []func() (keyspace.Assignment, string){c.join, c.leaveOrDrop, c.resumeAfterDrop, c.reclaim, c.handOver, c.replaceWitnesses, c.applyMoves, c.assignUnowned, c.balanceRangeCounts, c.restore} {
		if a, reason := step(); reason != "" {
			return Change{assignment: a, base: c.stamp.Version(), reason: reason, evidence: c.evidenceFor(reason)}, true
		}
	}
	return Change{}, false
}

// HandleCommit records that the table accepted a change from this daemon, and the stamp of the row.
func (c *Controller) HandleCommit(now clock.Millis, stamp era.Stamp, change Change) {
	c.HandleAssignment(now, stamp, change.assignment)
	if change.reason == ReasonMove {
		c.moves = nil
	}
	if h, ok := c.ownHolder(); ok && h.Member().WitnessGeneration() != c.witnessGeneration {
		c.installWitnesses(h.Member())
	}
}

func (c *Controller) installWitnesses(member membership.Member) {
	c.witnessGeneration = member.WitnessGeneration()
	c.lease.InstallWitnesses(member.WitnessGeneration(), member.Witnesses())
	c.proposedWitnesses, c.proposalInDoubt = nil, false
}

// resolveWitnessProposal installs or abandons the proposed witnesses once the table shows
// the outcome of the write that names them.
func (c *Controller) resolveWitnessProposal() {
	h, ok := c.ownHolder()
	switch {
	case !ok:
	case h.Member().WitnessGeneration() > c.witnessGeneration:
		c.installWitnesses(h.Member())
	case c.recovery.contentEra != c.stamp.Version().Era():
		// The store may have come back with the revision that the proposal replaces.
	case c.proposedWitnesses != nil && c.proposalInDoubt:
		// Another change was written first, so the write of the proposal can't
		// take effect.
		c.lease.AbandonProposal()
		c.proposedWitnesses, c.proposalInDoubt = nil, false
	}
}

// upstreamAlive reports whether the upstream may hold keys.
func (c *Controller) upstreamAlive() bool {
	_, reported := c.tracker.Last()
	return reported && !c.tracker.Ended() && !c.upstreamSilent()
}

// upstreamSilent reports whether silenceTimeout has passed since both the end of the
// upstream's holds and the length of a witness's promise after its last report.
func (c *Controller) upstreamSilent() bool {
	return c.now >= max(c.holdEnd, c.tracker.LastReceived()+LeaseTiming().WitnessPromiseLength())+silenceTimeout
}

// join adds the upstream to the assignment.
func (c *Controller) join() (keyspace.Assignment, string) {
	if _, ok := c.ownHolder(); ok || !c.upstreamAlive() {
		c.joinDueSince = 0
		return c.assignment, ""
	}
	h, known := c.assignment.Holder(c.settings.Instance.Name())
	if c.isLeaving() && !known {
		return c.assignment, ""
	}
	if c.joinDueSince == 0 {
		c.joinDueSince = c.now
	}
	if c.cold && !known && c.othersOwnKeys() {
		return c.assignment, ""
	}
	witnesses := c.chooseWitnesses(c.endedWitnesses)
	if len(witnesses) == 0 || len(witnesses) < lease.WitnessCount && c.now-c.joinDueSince < joinWitnessWait {
		return c.assignment, ""
	}
	last, _ := c.tracker.Last()
	if known && h.Process() != last.Process && !c.assignment.Settled() {
		// The keys that pass to the new process may have another owner.
		return c.assignment, ""
	}
	if known && h.Process() != last.Process {
		// An earlier daemon may have granted keys to the process before.
		c.formerHoldEnd = max(c.formerHoldEnd, c.holdEnd)
	}
	if !c.proposalInDoubt { // The write that names the proposed witnesses may take effect before the join.
		c.lease.AbandonProposal()
		c.proposedWitnesses = nil
	}
	member := membership.RestoreMember(c.settings.Incarnation, c.settings.Instance, c.nextGeneration(), witnesses)
	c.released = nil
	return c.assignment.AddHolder(keyspace.NewHolder(member, last.Process, last.Slots)), ReasonJoin
}

// othersOwnKeys reports whether keys belong to other holders that stay.
func (c *Controller) othersOwnKeys() bool {
	return slices.ContainsFunc(c.assignment.Holders(), func(h keyspace.Holder) bool {
		return h.InstanceName() != c.settings.Instance.Name() && !h.Leaving() && len(c.assignment.OwnedBy(h.InstanceName())) > 0
	})
}

// nextGeneration returns the generation of a new witness set. No two sets have the same
// generation: the promises for one must not count for the other.
func (c *Controller) nextGeneration() uint64 {
	c.lastGeneration++
	return c.lastGeneration
}

// chooseWitnesses chooses witnesses among the members, without the excluded and the
// avoided ones.
func (c *Controller) chooseWitnesses(excluded []identity.Incarnation) []membership.Witness {
	candidates := slices.DeleteFunc(slices.Clone(c.members), func(m membership.Member) bool {
		return slices.Contains(excluded, m.Incarnation()) || c.now < c.avoidedUntil[m.Incarnation()]
	})
	self := membership.RestoreMember(c.settings.Incarnation, c.settings.Instance, 0, nil)
	return membership.ChooseWitnesses(self, candidates, lease.WitnessCount)
}

// isLeaving reports whether the upstream is to give up its keys: it shuts down, or may not own
// any.
func (c *Controller) isLeaving() bool { return c.tracker.Leaving() || c.unplaceable }

// leaveOrDrop marks the holder of an upstream that is to give up its keys as leaving, and
// removes the holder of an upstream that has ended or is leaving with no keys. A holder that
// may own keys again before it was removed stays.
func (c *Controller) leaveOrDrop() (keyspace.Assignment, string) {
	h, known := c.assignment.Holder(c.settings.Instance.Name())
	_, reported := c.tracker.Last()
	_, own := c.ownHolder()
	switch {
	case !known:
		return c.assignment, ""
	case !c.assignment.Settled():
		return c.leaveUnsettled(h, own)
	case reported && c.tracker.Ended() && (c.tracker.EndCertain() || c.now >= c.holdEnd) || c.upstreamSilent():
		c.suspendGrants()
		return c.assignment.RemoveHolder(h.InstanceName()), ReasonUpstreamEnded
	case c.isLeaving() && (!h.Leaving() || c.currentDistribution().lacksNextOwners):
		return c.assignment.MarkLeaving(h.InstanceName()), ReasonLeave
	case own && h.Leaving() && !c.isLeaving():
		return c.assignment.CancelLeaving(h.InstanceName()), "stay"
	case h.Leaving() && len(c.assignment.OwnedBy(h.InstanceName())) == 0:
		c.suspendGrants()
		return c.assignment.RemoveHolder(h.InstanceName()), ReasonLeft
	default:
		return c.assignment, ""
	}
}

// leaveUnsettled is leaveOrDrop while no keys may be assigned that their owner has not released.
func (c *Controller) leaveUnsettled(h keyspace.Holder, own bool) (keyspace.Assignment, string) {
	if own && c.isLeaving() && !h.Leaving() {
		return c.assignment.MarkLeaving(h.InstanceName()), ReasonLeave
	}
	return c.assignment, ""
}

// suspendGrants stops all grants to the upstream. The write that removes the holder gives
// its keys to others, and may take effect at any time until the table has a newer revision
// of the assignment.
func (c *Controller) suspendGrants() { c.dropPending, c.dropBase = true, c.stamp.Version() }

// resumeAfterDrop writes the assignment unchanged if the upstream is back while the write
// that removes its holder has an unknown outcome. The next revision shows whether that
// write took effect.
func (c *Controller) resumeAfterDrop() (keyspace.Assignment, string) {
	if _, ok := c.ownHolder(); !ok || !c.dropPending {
		return c.assignment, ""
	}
	return c.assignment, "resume"
}

// handOver gives the released keys of moves to their next owners.
func (c *Controller) handOver() (keyspace.Assignment, string) {
	if _, ok := c.ownHolder(); !ok || len(c.released) == 0 {
		return c.assignment, ""
	}
	name := c.settings.Instance.Name()
	moving := slices.ContainsFunc(c.assignment.OwnedBy(name), func(r keyspace.Range) bool { return r.NextOwner() != "" && c.isReleased(r.Span) })
	if !moving {
		return c.assignment, ""
	}
	c.pendingHandover, c.pendingHandoverBase = slices.Clone(c.released), c.stamp.Version()
	return c.assignment.CompleteMoves(name, c.released), ReasonHandover
}

// isHandoverPending reports whether a write that gives keys of an owned range to other
// holders may still take effect: the revision that it replaces is still the newest known one,
// or it was proposed to another daemon.
func (c *Controller) isHandoverPending(owned keyspace.Range) bool {
	span := owned.Span
	if slices.ContainsFunc(c.proposedHandovers, func(p proposedHandover) bool { return p.epoch == owned.Epoch() && overlaps(p.span, span) }) {
		return true
	}
	return c.mayTakeEffect(c.pendingHandoverBase) && slices.ContainsFunc(c.pendingHandover, func(r keyspace.ReleasedSpan) bool { return overlaps(r.Span, span) })
}

// pruneProposedHandovers removes the proposed handovers that no longer apply to the
// assignment.
func (c *Controller) pruneProposedHandovers() {
	if len(c.proposedHandovers) == 0 {
		return
	}
	h, ok := c.assignment.Holder(c.settings.Instance.Name())
	if !ok || h.Member().Incarnation() != c.settings.Incarnation {
		c.proposedHandovers = nil
		return
	}
	owned := c.assignment.OwnedBy(c.settings.Instance.Name())
	c.proposedHandovers = slices.DeleteFunc(c.proposedHandovers, func(p proposedHandover) bool {
		return p.moveGeneration != h.MoveGeneration() ||
			!slices.ContainsFunc(owned, func(r keyspace.Range) bool { return r.Epoch() == p.epoch && overlaps(r.Span, p.span) })
	})
}

// replaceWitnesses proposes new witnesses in place of those that have stopped answering,
// and writes them once a majority of them has promised.
func (c *Controller) replaceWitnesses() (keyspace.Assignment, string) {
	h, ok := c.ownHolder()
	if !ok {
		return c.assignment, ""
	}
	if c.proposedWitnesses != nil {
		return c.confirmWitnesses(h)
	}
	unavailable := append(c.lease.SilentWitnesses(c.now, witnessTimeout), c.endedWitnesses...)
	tooFew := len(h.Member().Witnesses()) < lease.WitnessCount
	// The store has lost the change that named the present witnesses.
	lost := h.Member().WitnessGeneration() != c.witnessGeneration
	if !c.lease.Fenced() && !c.anyWitnessIn(h, unavailable) && !tooFew && !lost {
		return c.assignment, ""
	}
	chosen := c.chooseWitnesses(unavailable)
	if len(chosen) == 0 || len(chosen) <= len(h.Member().Witnesses()) && !c.anyWitnessIn(h, unavailable) && !c.lease.Fenced() && !lost {
		return c.assignment, ""
	}
	c.proposedWitnesses, c.witnessesProposedAt = chosen, c.now
	c.lease.ProposeWitnesses(c.nextGeneration(), chosen)
	return c.assignment, ""
}

// anyWitnessIn reports whether any witness of the holder is among the given incarnations.
func (c *Controller) anyWitnessIn(h keyspace.Holder, incarnations []identity.Incarnation) bool {
	return slices.ContainsFunc(h.Member().Witnesses(), func(w membership.Witness) bool { return slices.Contains(incarnations, w.Incarnation()) })
}

// witnessQuorumUnlikely reports whether so many of the proposed witnesses have ended or did
// not answer that no majority of them is left to promise.
func (c *Controller) witnessQuorumUnlikely() bool {
	failed := 0
	for _, w := range c.proposedWitnesses {
		if slices.Contains(c.endedWitnesses, w.Incarnation()) || c.now < c.avoidedUntil[w.Incarnation()] {
			failed++
		}
	}
	return failed >= lease.LapseQuorum(len(c.proposedWitnesses))
}

// confirmWitnesses writes the proposed witnesses once a majority of them has promised for
// at least as long as the present lease, and abandons them if that takes too long.
func (c *Controller) confirmWitnesses(h keyspace.Holder) (keyspace.Assignment, string) {
	if c.lease.ProposedEnd() < max(c.lease.End(), c.now+minHoldTime) {
		if !c.proposalInDoubt && (c.now-c.witnessesProposedAt > witnessProposalTimeout || c.witnessQuorumUnlikely()) {
			c.lease.AbandonProposal()
			c.proposedWitnesses = nil
		}
		return c.assignment, ""
	}
	c.lease.MarkInDoubt()
	c.proposalInDoubt = true
	member := membership.RestoreMember(c.settings.Incarnation, c.settings.Instance, c.lease.ProposedGeneration(), c.proposedWitnesses)
	return c.assignment.AddHolder(keyspace.NewHolder(member, h.Process(), h.Slots())), "witnesses"
}

// applyMoves names the next owners of the keys of requested moves. The moves stay
// requested until the table has accepted them or they have expired.
func (c *Controller) applyMoves() (keyspace.Assignment, string) {
	if _, ok := c.ownHolder(); !ok || len(c.moves) == 0 || c.now >= c.movesUntil {
		c.moves = nil
		return c.assignment, ""
	}
	a := c.assignment
	for _, m := range c.moves {
		if h, ok := a.Holder(m.nextOwner); ok && !h.Leaving() {
			a = a.StartMove(c.settings.Instance.Name(), m.span, m.nextOwner)
		}
	}
	return a, ReasonMove
}

// assignUnowned assigns the keys without an owner. The first holder by rank does so at
// once, each further one rankDelay later if the ones before it have not.
func (c *Controller) assignUnowned() (keyspace.Assignment, string) {
	if _, ok := c.ownHolder(); !ok || !c.currentDistribution().assignable || !c.assignment.Settled() {
		c.unownedSince = 0
		return c.assignment, ""
	}
	if c.unownedSince == 0 {
		c.unownedSince = c.now
	}
	wait := rankDelay * clock.Millis(c.rank())
	settled := c.now-c.holdersChangedAt >= firstAssignDelay || c.now-c.firstHolderAt >= firstAssignMaxDelay
	if len(c.assignment.Ranges()) == 0 && !settled || c.now-c.unownedSince < wait {
		return c.assignment, ""
	}
	return c.assignment.AssignUnowned(), "deal"
}

// balanceRangeCounts evens out the range counts of the holders after one has joined. The
// first holder by rank does so at once, each further one rankDelay later if the ones
// before it have not.
func (c *Controller) balanceRangeCounts() (keyspace.Assignment, string) {
	if _, ok := c.ownHolder(); !ok || c.now-max(c.holdersChangedAt, c.balancedAt) < balanceInterval {
		return c.assignment, ""
	}
	current := c.currentDistribution()
	if !current.balanceKnown {
		current.balanced, current.unbalanced = c.assignment.BalanceRangeCounts()
		current.balanceKnown = true
	}
	if !current.unbalanced {
		c.unbalancedSince = 0
		return c.assignment, ""
	}
	if c.unbalancedSince == 0 {
		c.unbalancedSince = c.now
	}
	if c.now-c.unbalancedSince < rankDelay*clock.Millis(c.rank()) {
		return c.assignment, ""
	}
	c.balancedAt, c.unbalancedSince = c.now, 0
	return current.balanced, "even"
}

// currentDistribution returns the distribution of the keys of the known assignment.
func (c *Controller) currentDistribution() *distribution {
	if !c.distributionKnown {
		owned := c.assignment.OwnedBy(c.settings.Instance.Name())
		c.distribution = distribution{
			assignable: c.assignment.CanAssignUnowned(),
			moving:     slices.ContainsFunc(owned, func(r keyspace.Range) bool { return r.NextOwner() != "" }),

			lacksNextOwners: c.assignment.LacksNextOwners(c.settings.Instance.Name()),
		}
		c.distributionKnown = true
	}
	return &c.distribution
}

// rank returns the position of this instance among the holders that are not leaving.
func (c *Controller) rank() int {
	rank := 0
	for _, h := range c.assignment.Holders() {
		if h.InstanceName() == c.settings.Instance.Name() {
			break
		}
		if !h.Leaving() {
			rank++
		}
	}
	return rank
}
