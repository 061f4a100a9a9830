package fleet

import "briarwell.dev/core/table"

const (
	// maxLoggedDeltas and maxLoggedBytes bound the deltas that a ChangeLog keeps. A daemon
	// that is further behind gets the whole row.
	maxLoggedDeltas = 64
	maxLoggedBytes  = 32 << 10
)

// Delta is a change of a row from one revision to the next known one.
type Delta struct {
	base     table.Revision
	revision table.Revision
	data     []byte
}

// NewDelta returns a delta from the revision base to the given revision.
func NewDelta(base, revision table.Revision, data []byte) Delta {
	return Delta{base: base, revision: revision, data: data}
}

// Base returns the revision that the delta changes.
func (d Delta) Base() table.Revision { return d.base }

// Revision returns the revision after the change.
func (d Delta) Revision() table.Revision { return d.revision }

// Data returns the encoded change. Callers must not modify it.
func (d Delta) Data() []byte { return d.data }

// ChangeLog holds the newest deltas of one row. Load pattern: a row that changes many times
// a second and that hundreds of daemons follow. The zero value is empty. It is not safe for
// concurrent use.
type ChangeLog struct {
	deltas []Delta
	bytes  int
}

// Append adds a delta. One that does not follow the last delta replaces all others.
func (l *ChangeLog) Append(d Delta) {
	if n := len(l.deltas); n > 0 && l.deltas[n-1].revision != d.base {
		l.deltas, l.bytes = nil, 0
	}
	l.deltas = append(l.deltas, d)
	l.bytes += len(d.data)
	for len(l.deltas) > maxLoggedDeltas || l.bytes > maxLoggedBytes {
		l.bytes -= len(l.deltas[0].data)
		l.deltas = l.deltas[1:]
	}
}

// Since returns the deltas that lead from a revision to the newest one, or false if the log
// does not reach back to it.
func (l *ChangeLog) Since(revision table.Revision) ([]Delta, bool) {
	for i, d := range l.deltas {
		if d.base == revision {
			return l.deltas[i:], true
		}
	}
	return nil, false
}

// Last returns the newest delta, or false if there is none.
func (l *ChangeLog) Last() (Delta, bool) {
	if len(l.deltas) == 0 {
		return Delta{}, false
	}
	return l.deltas[len(l.deltas)-1], true
}
