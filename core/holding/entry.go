package holding

import (
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/table"
)

// ReasonAdmit names the change by which a daemon enters the upstreams of others.
const ReasonAdmit = "admit"

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

// EntryOf returns the entry for a change by which an upstream enters the division d.
func EntryOf(d keyspace.Division, change Change, instance string) (Entry, bool) {
	h, ok := change.division.Holder(instance)
	if !ok || change.reason != ReasonJoin {
		return Entry{}, false
	}
	old, known := d.Holder(instance)
	if !known {
		return NewEntry(h, 0, 0), true
	}
	return NewEntry(h, old.Lease().Incarnation(), old.Lease().Generation()), true
}

// Admit returns the change of a division that enters the holders, and which of them it
// enters: those in whose place the division has what their daemons saw. Together with
// the condition on the base, an entry then takes effect only as if its own daemon had
// written it. It must not be tried on a newer division: it may be old by then.
func Admit(d keyspace.Division, base table.Revision, entries []Entry) (Change, []bool) {
	admitted := make([]bool, len(entries))
	next, any := d, false
	for i, e := range entries {
		var incarnation identity.Incarnation
		var generation uint64
		if h, ok := next.Holder(e.holder.Name()); ok {
			incarnation, generation = h.Lease().Incarnation(), h.Lease().Generation()
		}
		if incarnation != e.incarnation || generation != e.generation {
			continue
		}
		next, any = next.Join(e.holder), true
		admitted[i] = true
	}
	if !any {
		return Change{}, admitted
	}
	return Change{division: next, base: base, reason: ReasonAdmit}, admitted
}
