package keyowner

import (
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/table"
)

// ReasonProposals names the change by which a daemon writes what others proposed.
const ReasonProposals = "admit"

// Proposal is an Entry or a Transfer: a change that another daemon may write for the
// one that wants it.
type Proposal interface {
	// apply returns the division with the change, false if it does not fit.
	apply(d keyspace.Assignment) (keyspace.Assignment, bool)
}

// MoveProposal names the next owners of keys. It gives nothing away: the owner does, once
// its upstream has released them, so that a transfer that comes late is harmless.
type MoveProposal struct {
	owner            string
	ownerIncarnation identity.Incarnation
	moves            []Move
}

// NewMoveProposal returns the moves of keys that the process of an owner wants.
func NewMoveProposal(owner string, incarnation identity.Incarnation, moves []Move) MoveProposal {
	return MoveProposal{owner: owner, ownerIncarnation: incarnation, moves: moves}
}

// Owner returns the instance of the owner and its process.
func (t MoveProposal) Owner() (string, identity.Incarnation) { return t.owner, t.ownerIncarnation }

// Moves returns the moves.
func (t MoveProposal) Moves() []Move { return t.moves }

func (t MoveProposal) apply(d keyspace.Assignment) (keyspace.Assignment, bool) {
	h, ok := d.Holder(t.owner)
	if !ok || h.Leaving() || h.Member().Incarnation() != t.ownerIncarnation {
		return d, false
	}
	for _, m := range t.moves {
		d = d.StartMove(t.owner, m.span, m.nextOwner)
	}
	return d, true
}

// JoinProposal is a holder whose daemon asks another one to enter it into the division.
// Load pattern: all holders of a service enter at once, at the first start or after
// all processes ended; each writes the same row, and one in a few writes succeeds.
type JoinProposal struct {
	holder                    keyspace.Holder
	replacedIncarnation       identity.Incarnation
	replacedWitnessGeneration uint64
}

// NewJoinProposal returns the entry of a holder. Incarnation and generation are those of the
// lease that its daemon saw in the place of its instance, 0 if there was none.
func NewJoinProposal(h keyspace.Holder, incarnation identity.Incarnation, generation uint64) JoinProposal {
	return JoinProposal{holder: h, replacedIncarnation: incarnation, replacedWitnessGeneration: generation}
}

// Holder returns the holder.
func (e JoinProposal) Holder() keyspace.Holder { return e.holder }

// ReplacedLease returns the incarnation and the generation of the lease that was seen in the
// place of the holder, 0 if there was none.
func (e JoinProposal) ReplacedLease() (identity.Incarnation, uint64) {
	return e.replacedIncarnation, e.replacedWitnessGeneration
}

// ProposalFor returns what another daemon may write in place of an own change, false if
// it must be written by this one: its outcome decides what the upstream may hold.
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
		if old, known := c.assignment.Holder(name); known {
			incarnation, generation = old.Member().Incarnation(), old.Member().WitnessGeneration()
		}
		return NewJoinProposal(h, incarnation, generation), true
	default:
		return nil, false
	}
}

// HandleMovesWritten takes the news that another daemon has written the requested moves.
func (c *Controller) HandleMovesWritten() { c.moves = nil }

func (e JoinProposal) apply(d keyspace.Assignment) (keyspace.Assignment, bool) {
	var incarnation identity.Incarnation
	var generation uint64
	if h, ok := d.Holder(e.holder.InstanceName()); ok {
		incarnation, generation = h.Member().Incarnation(), h.Member().WitnessGeneration()
	}
	if incarnation != e.replacedIncarnation || generation != e.replacedWitnessGeneration {
		return d, false
	}
	return d.AddHolder(e.holder), true
}

// ApplyProposals returns the change of a division that carries out proposals, and which of them
// it does. An entry fits where the division has what its daemon saw: with the condition
// on the base it takes effect only as if its own daemon had written it. It must not be
// tried on a newer division: it may be old by then.
func ApplyProposals(d keyspace.Assignment, base table.Revision, proposals []Proposal) (Change, []bool) {
	admitted := make([]bool, len(proposals))
	next, changed := d, false
	for i, p := range proposals {
		if next, admitted[i] = p.apply(next); admitted[i] {
			changed = true
		}
	}
	if !changed {
		return Change{}, admitted
	}
	return Change{assignment: next, base: base, reason: ReasonProposals}, admitted
}
