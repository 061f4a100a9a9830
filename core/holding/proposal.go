package holding

import (
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/table"
)

// ReasonAdmit names the change by which a daemon writes what others proposed.
const ReasonAdmit = "admit"

// Proposal is an Entry or a Transfer: a change that another daemon may write for the
// one that wants it.
type Proposal interface {
	// apply returns the division with the change, false if it does not fit.
	apply(d keyspace.Assignment) (keyspace.Assignment, bool)
}

// Transfer names the next owners of keys. It gives nothing away: the owner does, once
// its upstream has released them, so that a transfer that comes late is harmless.
type Transfer struct {
	owner       string
	incarnation identity.Incarnation
	moves       []Move
}

// NewTransfer returns the moves of keys that the process of an owner wants.
func NewTransfer(owner string, incarnation identity.Incarnation, moves []Move) Transfer {
	return Transfer{owner: owner, incarnation: incarnation, moves: moves}
}

// Owner returns the instance of the owner and its process.
func (t Transfer) Owner() (string, identity.Incarnation) { return t.owner, t.incarnation }

// Moves returns the moves.
func (t Transfer) Moves() []Move { return t.moves }

func (t Transfer) apply(d keyspace.Assignment) (keyspace.Assignment, bool) {
	h, ok := d.Holder(t.owner)
	if !ok || h.Leaving() || h.Member().Incarnation() != t.incarnation {
		return d, false
	}
	for _, m := range t.moves {
		d = d.StartMove(t.owner, m.span, m.to)
	}
	return d, true
}

// Entry is a holder whose daemon asks another one to enter it into the division.
// Load pattern: all holders of a service enter at once, at the first start or after
// all processes ended; each writes the same row, and one in a few writes succeeds.
type Entry struct {
	holder      keyspace.Holder
	incarnation identity.Incarnation
	generation  uint64
}

// NewEntry returns the entry of a holder. Incarnation and generation are those of the
// lease that its daemon saw in the place of its instance, 0 if there was none.
func NewEntry(h keyspace.Holder, incarnation identity.Incarnation, generation uint64) Entry {
	return Entry{holder: h, incarnation: incarnation, generation: generation}
}

// Holder returns the holder.
func (e Entry) Holder() keyspace.Holder { return e.holder }

// Seen returns the incarnation and the generation of the lease that was seen in the
// place of the holder, 0 if there was none.
func (e Entry) Seen() (identity.Incarnation, uint64) { return e.incarnation, e.generation }

// Proposal returns what another daemon may write in place of an own change, false if
// it must be written by this one: its outcome decides what the upstream may hold.
func (c *Custodian) Proposal(change Change) (Proposal, bool) {
	name := c.settings.Instance.Name()
	switch change.reason {
	case reasonMove:
		return NewTransfer(name, c.settings.Incarnation, c.moves), true
	case ReasonJoin:
		h, ok := change.division.Holder(name)
		if !ok {
			return nil, false
		}
		var incarnation identity.Incarnation
		var generation uint64
		if old, known := c.division.Holder(name); known {
			incarnation, generation = old.Member().Incarnation(), old.Member().WitnessGeneration()
		}
		return NewEntry(h, incarnation, generation), true
	default:
		return nil, false
	}
}

// Moved takes the news that another daemon has written the requested moves.
func (c *Custodian) Moved() { c.moves = nil }

func (e Entry) apply(d keyspace.Assignment) (keyspace.Assignment, bool) {
	var incarnation identity.Incarnation
	var generation uint64
	if h, ok := d.Holder(e.holder.InstanceName()); ok {
		incarnation, generation = h.Member().Incarnation(), h.Member().WitnessGeneration()
	}
	if incarnation != e.incarnation || generation != e.generation {
		return d, false
	}
	return d.AddHolder(e.holder), true
}

// Admit returns the change of a division that carries out proposals, and which of them
// it does. An entry fits where the division has what its daemon saw: with the condition
// on the base it takes effect only as if its own daemon had written it. It must not be
// tried on a newer division: it may be old by then.
func Admit(d keyspace.Assignment, base table.Revision, proposals []Proposal) (Change, []bool) {
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
	return Change{division: next, base: base, reason: ReasonAdmit}, admitted
}
