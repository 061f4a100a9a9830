package keyowner

import (
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/heartbeat"
	"briarwell.dev/core/keyspace"
)

// reportSettleTime is the time in milliseconds after which reports that were sent before a daemon process
// had its first one of the upstream count as late, since newer ones have come. It is a little less than
// the 870 ms between two reports.
const reportSettleTime clock.Millis = 800

// unlistedGrantTime is the time in milliseconds for which a moving range is granted again and again to an
// upstream whose reports do not list it. It covers three reports. An upstream that does not take a range
// would keep it from moving otherwise.
const unlistedGrantTime clock.Millis = 2700

// holds is what the upstream may hold, also if its reports do not list it: a report may have been
// sent before the upstream got an answer with more keys, or be seconds late. Load pattern: keys move
// while daemons restart and reports and answers are delayed or lost.
//
// A key is no longer held once the upstream reports a release that it had not reported before the
// key was granted, or once the hold has certainly expired.
type holds struct {
	// inheritedUntil is the time from which all holds have certainly expired that earlier daemon
	// processes on the instance granted. They may have granted any key.
	inheritedUntil clock.Millis
	// settledAt is when a release counts that the process that reports may have reported late.
	settledAt clock.Millis
	grants    []hold
	// last is the newest report whose releases were taken.
	last heartbeat.Report
}

// hold is a span that a process was granted until a time.
type hold struct {
	keyspace.Span

	process keyspace.Process
	// since is when the process was first granted a key of the span without a gap.
	since clock.Millis
	until clock.Millis
}

// takeReleases ends the holds of spans that a report lists as released. A release that the report
// before it lists too may lie before the grant in the answer to that one.
func (h *holds) takeReleases(now clock.Millis, r heartbeat.Report) {
	switch {
	case r.Process != h.last.Process:
		all := keyspace.NewSpan(0, keyspace.LastKey)
		if now < h.inheritedUntil {
			h.remove(r.Process, all)
			h.grants = append(h.grants, hold{Span: all, process: r.Process, since: now, until: h.inheritedUntil})
		}
		h.settledAt = now
		if h.mayInclude(now, r.Process, all) {
			h.settledAt = now + reportSettleTime
		}
	case r.Sequence == h.last.Sequence:
		return
	}
	for _, released := range r.Released {
		known := r.Process == h.last.Process && slices.Contains(h.last.Released, released)
		if !known && h.settled(now) {
			h.remove(r.Process, released.Span)
		}
	}
	h.last = r
}

// settled reports whether releases count at now.
func (h *holds) settled(now clock.Millis) bool { return now >= h.settledAt }

// add records that a process was granted ranges until a time that is not before the end of any hold.
func (h *holds) add(now clock.Millis, process keyspace.Process, ranges []keyspace.Range, until clock.Millis) {
	h.grants = slices.DeleteFunc(h.grants, func(g hold) bool { return g.until <= now })
	for _, r := range ranges {
		since := h.since(now, process, r.Span)
		h.remove(process, r.Span)
		h.grants = append(h.grants, hold{Span: r.Span, process: process, since: since, until: until})
	}
}

// remove ends the holds of the keys of a span by a process.
func (h *holds) remove(process keyspace.Process, span keyspace.Span) {
	for i := len(h.grants) - 1; i >= 0; i-- {
		g := h.grants[i]
		if g.process != process || !overlaps(g.Span, span) {
			continue
		}
		h.grants = slices.Delete(h.grants, i, i+1)
		if g.First() < span.First() {
			h.grants = append(h.grants, hold{Span: keyspace.NewSpan(g.First(), span.First()-1), process: process, since: g.since, until: g.until})
		}
		if g.Last() > span.Last() {
			h.grants = append(h.grants, hold{Span: keyspace.NewSpan(span.Last()+1, g.Last()), process: process, since: g.since, until: g.until})
		}
	}
}

// mayInclude reports whether a process may hold a key of a span at now.
func (h *holds) mayInclude(now clock.Millis, process keyspace.Process, span keyspace.Span) bool {
	return slices.ContainsFunc(h.grants, func(g hold) bool {
		return g.process == process && now < g.until && overlaps(g.Span, span)
	})
}

// since returns when a process was first granted a key of a span that it may hold at now, or now.
func (h *holds) since(now clock.Millis, process keyspace.Process, span keyspace.Span) clock.Millis {
	since := now
	for _, g := range h.grants {
		if g.process == process && now < g.until && overlaps(g.Span, span) {
			since = min(since, g.since)
		}
	}
	return since
}
