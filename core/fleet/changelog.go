package fleet

import "briarwell.dev/core/era"

const (
	// maxLoggedDeltas and maxLoggedBytes bound the deltas that a ChangeLog keeps. A daemon
	// that is further behind gets the whole row.
	maxLoggedDeltas = 64
	maxLoggedBytes  = 32 << 10
)

// Delta is a change of a row's content from one revision to the next known one.
type Delta struct {
	base  era.Revision
	stamp era.Stamp
	data  []byte
}

// NewDelta returns a delta from the content written at base to that of the stamp's origin.
func NewDelta(base era.Revision, stamp era.Stamp, data []byte) Delta {
	return Delta{base: base, stamp: stamp, data: data}
}

// Base returns the revision at which the content that the delta changes was written.
func (d Delta) Base() era.Revision { return d.base }

// Stamp returns the stamp of the row after the change.
func (d Delta) Stamp() era.Stamp { return d.stamp }

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
	if n := len(l.deltas); n > 0 && l.deltas[n-1].stamp.Origin() != d.base {
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
func (l *ChangeLog) Since(revision era.Revision) ([]Delta, bool) {
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
