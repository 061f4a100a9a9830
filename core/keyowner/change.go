package keyowner

import (
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/table"
)

// ReasonJoin names the change by which an upstream enters the division.
const ReasonJoin = "join"

// Change is a division that this daemon asks the table for.
type Change struct {
	assignment keyspace.Assignment
	base       table.Revision
	reason     string
}

// Assignment returns the wanted division.
func (c Change) Assignment() keyspace.Assignment { return c.assignment }

// Base returns the revision of the division that it replaces, 0 if there is none.
func (c Change) Base() table.Revision { return c.base }

// Reason names the change in logs.
func (c Change) Reason() string { return c.reason }

// DropLapsed returns the change that drops the holder with a lease that has certainly
// lapsed. It returns false if the division does not name that lease, with the
// witnesses that were asked.
func DropLapsed(d keyspace.Assignment, base table.Revision, lease membership.Member) (Change, bool) {
	h, ok := d.Holder(lease.Instance().Name())
	if !ok || h.Member().Incarnation() != lease.Incarnation() || h.Member().WitnessGeneration() != lease.WitnessGeneration() {
		return Change{}, false
	}
	return Change{assignment: d.RemoveHolder(h.InstanceName()), base: base, reason: "lost"}, true
}

// moveRequestTimeout is the time in milliseconds for which requested moves are tried again when
// another change came first. The loads that asked for them are older then.
const moveRequestTimeout clock.Millis = 1500

const reasonMove = "move"

// RequestMoves asks at now for moves of own keys, in place of those asked for before.
func (c *Controller) RequestMoves(now clock.Millis, moves []Move) {
	c.moves, c.movesUntil = moves, now+moveRequestTimeout
}

// NextChange returns the change of the division that is due at now, if any. Its result
// must be told with Committed or Divided before the next call.
func (c *Controller) NextChange(now clock.Millis) (Change, bool) {
	c.now = now
	if !c.assignmentKnown {
		return Change{}, false
	}
	for _, step := range []func() (keyspace.Assignment, string){c.join, c.leaveOrDrop, c.resumeAfterDrop, c.handOver, c.replaceWitnesses, c.applyMoves, c.assignUnowned, c.balanceRangeCounts} {
		if d, reason := step(); reason != "" {
			return Change{assignment: d, base: c.revision, reason: reason}, true
		}
	}
	return Change{}, false
}

// HandleCommit takes the division that the table accepted from this daemon.
func (c *Controller) HandleCommit(now clock.Millis, revision table.Revision, change Change) {
	c.HandleAssignment(now, revision, change.assignment)
	if change.reason == reasonMove {
		c.moves = nil
	}
	if h, ok := c.ownHolder(); ok && h.Member().WitnessGeneration() != c.witnessGeneration {
		c.installWitnesses(h.Member())
	}
}

func (c *Controller) installWitnesses(row membership.Member) {
	c.witnessGeneration = row.WitnessGeneration()
	c.lease.InstallWitnesses(row.WitnessGeneration(), row.Witnesses())
	c.proposedWitnesses, c.proposalInDoubt = nil, false
}

// resolveWitnessProposal ends a proposal of witnesses once the table shows its outcome.
func (c *Controller) resolveWitnessProposal() {
	h, ok := c.ownHolder()
	switch {
	case !ok:
	case h.Member().WitnessGeneration() > c.witnessGeneration:
		c.installWitnesses(h.Member())
	case c.proposedWitnesses != nil && c.proposalInDoubt:
		// Another change came first, so that the proposal's can't take effect.
		c.lease.AbandonProposal()
		c.proposedWitnesses, c.proposalInDoubt = nil, false
	}
}

// upstreamAlive tells whether the upstream may hold keys.
func (c *Controller) upstreamAlive() bool {
	_, seen := c.tracker.Last()
	return seen && !c.tracker.Ended() && !c.upstreamSilent()
}

// upstreamSilent tells whether the upstream has been silent until its hold ran out.
func (c *Controller) upstreamSilent() bool {
	return c.now >= max(c.holdEnd, c.tracker.LastReceived()+LeaseTiming().WitnessPromiseLength())+silenceTimeout
}

// join enters the upstream into the division.
func (c *Controller) join() (keyspace.Assignment, string) {
	if _, ok := c.ownHolder(); ok || !c.upstreamAlive() {
		c.joinDueSince = 0
		return c.assignment, ""
	}
	_, known := c.assignment.Holder(c.settings.Instance.Name())
	if c.tracker.Leaving() && !known {
		return c.assignment, ""
	}
	if c.joinDueSince == 0 {
		c.joinDueSince = c.now
	}
	witnesses := c.chooseWitnesses(c.endedWitnesses)
	if len(witnesses) == 0 || len(witnesses) < lease.WitnessCount && c.now-c.joinDueSince < joinWitnessWait {
		return c.assignment, ""
	}
	r, _ := c.tracker.Last()
	c.lease.AbandonProposal()
	c.proposedWitnesses, c.proposalInDoubt = nil, false
	row := membership.RestoreMember(c.settings.Incarnation, c.settings.Instance, c.nextGeneration(), witnesses)
	c.released = nil
	return c.assignment.AddHolder(keyspace.NewHolder(row, r.Process, r.Slots)), ReasonJoin
}

// nextGeneration numbers a witness set. A number is never used for two sets: the
// promises to one must not count for the other.
func (c *Controller) nextGeneration() uint64 {
	c.lastGeneration++
	return c.lastGeneration
}

// chooseWitnesses returns witnesses among the members but the excluded ones.
func (c *Controller) chooseWitnesses(excluded []identity.Incarnation) []membership.Witness {
	candidates := slices.DeleteFunc(slices.Clone(c.members), func(m membership.Member) bool {
		return slices.Contains(excluded, m.Incarnation()) || c.now < c.avoidedUntil[m.Incarnation()]
	})
	self := membership.RestoreMember(c.settings.Incarnation, c.settings.Instance, 0, nil)
	return membership.ChooseWitnesses(self, candidates, lease.WitnessCount)
}

// leaveOrDrop gives up the keys of an upstream that leaves or has ended.
func (c *Controller) leaveOrDrop() (keyspace.Assignment, string) {
	h, known := c.assignment.Holder(c.settings.Instance.Name())
	_, seen := c.tracker.Last()
	switch {
	case !known:
		return c.assignment, ""
	case seen && c.tracker.Ended() || c.upstreamSilent():
		c.suspendGrants()
		return c.assignment.RemoveHolder(h.InstanceName()), "upstreamEnded"
	case c.tracker.Leaving() && !h.Leaving():
		return c.assignment.MarkLeaving(h.InstanceName()), "leave"
	case h.Leaving() && len(c.assignment.OwnedBy(h.InstanceName())) == 0:
		c.suspendGrants()
		return c.assignment.RemoveHolder(h.InstanceName()), "left"
	default:
		return c.assignment, ""
	}
}

// suspendGrants ends all grants: the table is asked to give the keys to others, and may
// do so at any time until it has another revision of the division.
func (c *Controller) suspendGrants() { c.dropPending, c.dropBase = true, c.revision }

// resumeAfterDrop writes the division as it is, if the upstream is back although its keys
// were given up: the revision that follows shows whether they were.
func (c *Controller) resumeAfterDrop() (keyspace.Assignment, string) {
	if _, ok := c.ownHolder(); !ok || !c.dropPending {
		return c.assignment, ""
	}
	return c.assignment, "resume"
}

// handOver passes released keys to their next owners.
func (c *Controller) handOver() (keyspace.Assignment, string) {
	if _, ok := c.ownHolder(); !ok || len(c.released) == 0 {
		return c.assignment, ""
	}
	name := c.settings.Instance.Name()
	moving := slices.ContainsFunc(c.assignment.OwnedBy(name), func(r keyspace.Range) bool { return r.NextOwner() != "" && c.isReleased(r.Span) })
	if !moving {
		return c.assignment, ""
	}
	c.pendingHandover, c.pendingHandoverBase = slices.Clone(c.released), c.revision
	return c.assignment.CompleteMoves(name, c.released), "handover"
}

// isHandoverPending tells whether a write may take effect that gives keys of the span to
// others: the table still has the revision that it was to replace.
func (c *Controller) isHandoverPending(span keyspace.Span) bool {
	return c.revision == c.pendingHandoverBase && slices.ContainsFunc(c.pendingHandover, func(r keyspace.ReleasedSpan) bool { return overlaps(r.Span, span) })
}

// replaceWitnesses replaces witnesses that have stopped to answer, once the new ones
// have promised.
func (c *Controller) replaceWitnesses() (keyspace.Assignment, string) {
	h, ok := c.ownHolder()
	if !ok {
		return c.assignment, ""
	}
	if c.proposedWitnesses != nil {
		return c.confirmWitnesses(h)
	}
	silent := append(c.lease.SilentWitnesses(c.now, witnessTimeout), c.endedWitnesses...)
	few := len(h.Member().Witnesses()) < lease.WitnessCount
	if !c.lease.Fenced() && !c.anyWitnessIn(h, silent) && !few {
		return c.assignment, ""
	}
	chosen := c.chooseWitnesses(silent)
	if len(chosen) == 0 || len(chosen) <= len(h.Member().Witnesses()) && !c.anyWitnessIn(h, silent) && !c.lease.Fenced() {
		return c.assignment, ""
	}
	c.proposedWitnesses, c.witnessesProposedAt = chosen, c.now
	c.lease.ProposeWitnesses(c.nextGeneration(), chosen)
	return c.assignment, ""
}

// anyWitnessIn tells whether any witness of the holder is among the given ones.
func (c *Controller) anyWitnessIn(h keyspace.Holder, ended []identity.Incarnation) bool {
	return slices.ContainsFunc(h.Member().Witnesses(), func(w membership.Witness) bool { return slices.Contains(ended, w.Incarnation()) })
}

// witnessQuorumUnlikely tells whether so many of the proposed witnesses have ended or did not
// answer that they won't promise.
func (c *Controller) witnessQuorumUnlikely() bool {
	failed := 0
	for _, w := range c.proposedWitnesses {
		if slices.Contains(c.endedWitnesses, w.Incarnation()) || c.now < c.avoidedUntil[w.Incarnation()] {
			failed++
		}
	}
	return failed >= lease.LapseQuorum(len(c.proposedWitnesses))
}

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
	row := membership.RestoreMember(c.settings.Incarnation, c.settings.Instance, c.lease.ProposedGeneration(), c.proposedWitnesses)
	return c.assignment.AddHolder(keyspace.NewHolder(row, h.Process(), h.Slots())), "witnesses"
}

// applyMoves carries out requested moves. They stay until the table has accepted them.
func (c *Controller) applyMoves() (keyspace.Assignment, string) {
	if _, ok := c.ownHolder(); !ok || len(c.moves) == 0 || c.now >= c.movesUntil {
		c.moves = nil
		return c.assignment, ""
	}
	d := c.assignment
	for _, m := range c.moves {
		if h, ok := d.Holder(m.nextOwner); ok && !h.Leaving() {
			d = d.StartMove(c.settings.Instance.Name(), m.span, m.nextOwner)
		}
	}
	return d, reasonMove
}

// assignUnowned assigns keys without an owner. The first holder in order does it at once,
// the others if it does not.
func (c *Controller) assignUnowned() (keyspace.Assignment, string) {
	if _, ok := c.ownHolder(); !ok || !c.assignment.CanAssignUnowned() {
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

// balanceRangeCounts brings the numbers of ranges closer to each other after a holder joined.
// The first holder in order does it, the others if it does not.
func (c *Controller) balanceRangeCounts() (keyspace.Assignment, string) {
	if _, ok := c.ownHolder(); !ok || c.now-max(c.holdersChangedAt, c.balancedAt) < balanceInterval {
		return c.assignment, ""
	}
	d, moved := c.assignment.BalanceRangeCounts()
	if !moved {
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
	return d, "even"
}

// rank returns the own place among the holders that stay.
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
