package keyowner

import (
	"briarwell.dev/core/era"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
)

// ReasonProposals is the reason of a change that writes proposals of other daemons.
const ReasonProposals = "admit"

// Proposal is a JoinProposal, a LeaveProposal, a MoveProposal or a HandoverProposal: a change that another
// daemon may write on behalf of the one that proposes it.
type Proposal interface {
	// apply returns the assignment with the change, or false if the change does not
	// apply to it.
	apply(a keyspace.Assignment) (keyspace.Assignment, bool)
}

// MoveProposal proposes next owners for keys. It does not change the owner: the owner's own
// daemon does so once its upstream has released the keys. A proposal that arrives late is
// therefore harmless.
type MoveProposal struct {
	owner            string
	ownerIncarnation identity.Incarnation
	moves            []Move
}

// NewMoveProposal returns the proposal of moves of keys by their owner. Incarnation is the
// owner's daemon process.
func NewMoveProposal(owner string, incarnation identity.Incarnation, moves []Move) MoveProposal {
	return MoveProposal{owner: owner, ownerIncarnation: incarnation, moves: moves}
}

// Owner returns the instance of the owner and the incarnation of its daemon.
func (p MoveProposal) Owner() (string, identity.Incarnation) { return p.owner, p.ownerIncarnation }

// Moves returns the proposed moves.
func (p MoveProposal) Moves() []Move { return p.moves }

func (p MoveProposal) apply(a keyspace.Assignment) (keyspace.Assignment, bool) {
	h, ok := a.Holder(p.owner)
	if !ok || h.Leaving() || h.Member().Incarnation() != p.ownerIncarnation {
		return a, false
	}
	for _, m := range p.moves {
		a = a.StartMove(p.owner, m.span, m.nextOwner)
	}
	return a, true
}

// LeaveProposal proposes to mark a holder as leaving, and to remove one that is leaving and owns
// no keys. Its load pattern is an evacuated failure domain, whose holders all leave at once.
//
// It does not change the owner of any key. One that arrives late and marks a holder that may own
// keys again is undone by that holder's own daemon.
type LeaveProposal struct {
	owner            string
	ownerIncarnation identity.Incarnation
}

// NewLeaveProposal returns the proposal that the holder on an instance leaves. Incarnation is
// that of its daemon.
func NewLeaveProposal(owner string, incarnation identity.Incarnation) LeaveProposal {
	return LeaveProposal{owner: owner, ownerIncarnation: incarnation}
}

// Owner returns the instance of the holder and the incarnation of its daemon.
func (p LeaveProposal) Owner() (string, identity.Incarnation) { return p.owner, p.ownerIncarnation }

func (p LeaveProposal) apply(a keyspace.Assignment) (keyspace.Assignment, bool) {
	h, ok := a.Holder(p.owner)
	switch {
	case !ok || h.Member().Incarnation() != p.ownerIncarnation:
		return a, false
	case !h.Leaving() || a.LacksNextOwners(p.owner):
		return a.MarkLeaving(p.owner), true
	case len(a.OwnedBy(p.owner)) == 0:
		return a.RemoveHolder(p.owner), true
	default:
		return a, false
	}
}

// ReleasedRange is a range that an upstream has released under an epoch.
type ReleasedRange struct {
	keyspace.ReleasedSpan

	epoch identity.Epoch
}

// NewReleasedRange returns a span that was released under an epoch.
func NewReleasedRange(span keyspace.ReleasedSpan, epoch identity.Epoch) ReleasedRange {
	return ReleasedRange{ReleasedSpan: span, epoch: epoch}
}

// Epoch returns the epoch under which the owner had the range.
func (r ReleasedRange) Epoch() identity.Epoch { return r.epoch }

// HandoverProposal proposes to give released ranges to their next owners. Its load pattern
// is a busy service with many holders that move keys at the same time.
//
// It may be written at any later time. Until it is known not to apply any more, the owner
// does not grant the ranges again. It applies only to ranges that still belong to the same
// daemon process of the owner under the same epoch, and only while none of the owner's moves
// was withdrawn: a range that the owner gets back has a higher epoch, and one that it keeps
// since its next owner has gone raises the owner's move generation.
type HandoverProposal struct {
	owner            string
	ownerIncarnation identity.Incarnation
	moveGeneration   uint64
	released         []ReleasedRange
}

// NewHandoverProposal returns the proposal of an owner, whose daemon has the incarnation and
// whose holder has the move generation, to hand over released ranges.
func NewHandoverProposal(owner string, incarnation identity.Incarnation, moveGeneration uint64, released []ReleasedRange) HandoverProposal {
	return HandoverProposal{owner: owner, ownerIncarnation: incarnation, moveGeneration: moveGeneration, released: released}
}

// Owner returns the instance of the owner and the incarnation of its daemon.
func (p HandoverProposal) Owner() (string, identity.Incarnation) { return p.owner, p.ownerIncarnation }

// MoveGeneration returns the move generation of the owner.
func (p HandoverProposal) MoveGeneration() uint64 { return p.moveGeneration }

// Released returns the released ranges.
func (p HandoverProposal) Released() []ReleasedRange { return p.released }

func (p HandoverProposal) apply(a keyspace.Assignment) (keyspace.Assignment, bool) {
	h, ok := a.Holder(p.owner)
	if !ok || h.Member().Incarnation() != p.ownerIncarnation || h.MoveGeneration() != p.moveGeneration {
		return a, false
	}
	var completed []keyspace.ReleasedSpan
	for _, r := range a.OwnedBy(p.owner) {
		for _, released := range p.released {
			if r.NextOwner() != "" && released.Covers(r.Span) && r.Epoch() == released.epoch {
				completed = append(completed, keyspace.NewReleasedSpan(r.Span, released.HandoverToken()))
				break
			}
		}
	}
	if len(completed) == 0 {
		return a, false
	}
	return a.CompleteMoves(p.owner, completed), true
}

// JoinProposal proposes to add a holder to the assignment. Its load pattern is that all
// holders of a service join at once, at the first start or after all processes ended: each
// writes the same row, and only one in a few writes succeeds.
type JoinProposal struct {
	holder                    keyspace.Holder
	replacedIncarnation       identity.Incarnation
	replacedWitnessGeneration uint64
}

// NewJoinProposal returns the proposal to add a holder. Incarnation and generation identify
// the lease that its daemon saw for its instance in the assignment, 0 if there was none.
func NewJoinProposal(h keyspace.Holder, incarnation identity.Incarnation, generation uint64) JoinProposal {
	return JoinProposal{holder: h, replacedIncarnation: incarnation, replacedWitnessGeneration: generation}
}

// Holder returns the holder to add.
func (p JoinProposal) Holder() keyspace.Holder { return p.holder }

// ReplacedLease returns the incarnation and the witness generation of the lease that the
// holder replaces, 0 if there was none.
func (p JoinProposal) ReplacedLease() (identity.Incarnation, uint64) {
	return p.replacedIncarnation, p.replacedWitnessGeneration
}

// ProposalFor returns the proposal with which another daemon may write a change of this one.
// It returns false if this daemon must write the change itself because its outcome decides
// what the upstream may hold. The ranges of a handover that is proposed are not granted again
// until it is known that the proposal no longer applies.
func (c *Controller) ProposalFor(change Change) (Proposal, bool) {
	name := c.settings.Instance.Name()
	switch change.reason {
	case ReasonMove:
		return NewMoveProposal(name, c.settings.Incarnation, c.moves), true
	case ReasonHandover:
		return c.proposeHandover()
	case ReasonLeave, ReasonLeft:
		// Only a holder of this daemon process: another one may have been replaced meanwhile.
		_, ok := c.ownHolder()
		return NewLeaveProposal(name, c.settings.Incarnation), ok
	case ReasonJoin:
		h, ok := change.assignment.Holder(name)
		if !ok {
			return nil, false
		}
		var incarnation identity.Incarnation
		var generation uint64
		if replaced, known := c.assignment.Holder(name); known {
			incarnation, generation = replaced.Member().Incarnation(), replaced.Member().WitnessGeneration()
		}
		return NewJoinProposal(h, incarnation, generation), true
	default:
		return nil, false
	}
}

// proposeHandover returns the proposal to hand over the released ranges.
func (c *Controller) proposeHandover() (Proposal, bool) {
	h, ok := c.ownHolder()
	if !ok {
		return nil, false
	}
	name := c.settings.Instance.Name()
	var released []ReleasedRange
	for _, r := range c.assignment.OwnedBy(name) {
		if r.NextOwner() == "" || !c.isReleased(r.Span) {
			continue
		}
		token := ""
		for _, s := range c.released {
			if s.Covers(r.Span) {
				token = s.HandoverToken()
			}
		}
		released = append(released, NewReleasedRange(keyspace.NewReleasedSpan(r.Span, token), r.Epoch()))
		c.proposedHandovers = append(c.proposedHandovers, proposedHandover{span: r.Span, epoch: r.Epoch(), moveGeneration: h.MoveGeneration()})
	}
	return NewHandoverProposal(name, c.settings.Incarnation, h.MoveGeneration(), released), len(released) > 0
}

// HandleMovesWritten records that another daemon has written the requested moves.
func (c *Controller) HandleMovesWritten() { c.moves = nil }

func (p JoinProposal) apply(a keyspace.Assignment) (keyspace.Assignment, bool) {
	var incarnation identity.Incarnation
	var generation uint64
	if h, ok := a.Holder(p.holder.InstanceName()); ok {
		incarnation, generation = h.Member().Incarnation(), h.Member().WitnessGeneration()
	}
	if incarnation != p.replacedIncarnation || generation != p.replacedWitnessGeneration {
		return a, false
	}
	return a.AddHolder(p.holder), true
}

// ApplyProposals returns the change of an assignment that carries out the proposals that
// apply to it, and for each proposal whether it applies. A join applies if the assignment has
// the lease that its daemon saw: with the condition on the base, the write takes effect only
// where the daemon's own write would have. The change must not be retried on a newer
// assignment, for which the proposals may be out of date.
func ApplyProposals(a keyspace.Assignment, base era.Revision, proposals []Proposal) (Change, []bool) {
	applied := make([]bool, len(proposals))
	proposed, changed := a, false
	for i, p := range proposals {
		if proposed, applied[i] = p.apply(proposed); applied[i] {
			changed = true
		}
	}
	if !changed {
		return Change{}, applied
	}
	return Change{assignment: proposed, base: base, reason: ReasonProposals}, applied
}
