package keyowner

import (
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/table"
)

// ReasonProposals is the reason of a change that writes proposals of other daemons.
const ReasonProposals = "admit"

// Proposal is a JoinProposal or a MoveProposal: a change that another daemon may write on
// behalf of the one that proposes it.
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
// what the upstream may hold.
func (c *Controller) ProposalFor(change Change) (Proposal, bool) {
	name := c.settings.Instance.Name()
	switch change.reason {
	case reasonMove:
		return NewMoveProposal(name, c.settings.Incarnation, c.moves), true
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
func ApplyProposals(a keyspace.Assignment, base table.Revision, proposals []Proposal) (Change, []bool) {
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
