package keyowner

import (
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/heartbeat"
	"briarwell.dev/core/keyspace"
)

const (
	// maxAnswerBytes bounds the answer to a report: an upstream accepts up to 4 KiB.
	maxAnswerBytes = 3800
	// rangeBytes is the size of a granted range in the answer, without its handover
	// token.
	rangeBytes = 24
)

// reportValidity is the time in milliseconds for which an upstream counts as holding the
// spans of its report if the answer grants nothing. The next report comes after 870 ms.
const reportValidity clock.Millis = 1000

// storeAnswerMaxAge is the age in milliseconds up to which an answer of the store shows
// that it is available. It is a little more than the 870 ms between two reports.
const storeAnswerMaxAge clock.Millis = 1200

// Grant is the answer to a report. The zero value changes nothing about the keys of the
// upstream: it keeps those that it holds until their hold time expires.
type Grant struct {
	ranges   []keyspace.Range
	holdTime clock.Millis
	renews   bool
}

// Ranges returns all ranges that the upstream may hold. It releases all others.
func (g Grant) Ranges() []keyspace.Range { return g.ranges }

// HoldTime returns the time in milliseconds for which the ranges may be held, counted from
// when the report was sent.
func (g Grant) HoldTime() clock.Millis { return g.holdTime }

// Renews reports whether the grant sets the ranges and the hold time. It is false for the
// zero Grant.
func (g Grant) Renews() bool { return g.renews }

// HandleReport returns the answer to a report that the tracker has accepted, or with which
// it has seen a new process start. It records what the upstream has released and is granted. A
// report without lists of keys changes nothing.
func (c *Controller) HandleReport(now clock.Millis, r heartbeat.Report) Grant {
	c.now = now
	if r.WithoutKeys {
		return Grant{}
	}
	c.holds.takeReleases(now, r)
	c.updateReleased(r)
	if _, ok := c.ownHolder(); !ok {
		c.acceptReportedKeys(now, r)
		return Grant{}
	}
	if c.dropPending {
		c.granted = nil
		return Grant{}
	}
	holdTime := (c.LeaseEnd() - now) * 100 / (100 + upstreamDriftPercent)
	holdTime = min(holdTime, c.settings.HoldMax)
	if holdTime < minHoldTime {
		c.acceptReportedKeys(now, r)
		return Grant{}
	}
	ranges := c.rangesToGrant(r)
	c.recordGrant(now, r.Process, holdTime, ranges)
	return Grant{ranges: ranges, holdTime: holdTime, renews: true}
}

// acceptReportedKeys makes the spans that the upstream reports as held the granted ones,
// unless it is leaving. A daemon that was restarted has not granted them itself, but may
// rely on the report: an upstream refuses requests for keys that it does not hold.
func (c *Controller) acceptReportedKeys(now clock.Millis, r heartbeat.Report) {
	if c.tracker.Leaving() {
		return
	}
	c.granted = c.granted[:0]
	for _, h := range r.Held {
		c.granted = append(c.granted, grantedRange{Range: keyspace.NewRange(h.Span, h.Epoch())})
	}
	c.grantedUntil = now + reportValidity
}

// updateReleased records which ranges with a next owner the upstream has released: those that it
// does not report as held and of which it can't hold a key by any grant. That a report does not list
// a range is no proof.
func (c *Controller) updateReleased(r heartbeat.Report) {
	c.released = slices.DeleteFunc(c.released, func(released keyspace.ReleasedSpan) bool {
		return listedAsHeld(r, released.Span)
	})
	for _, owned := range c.assignment.OwnedBy(c.settings.Instance.Name()) {
		if owned.NextOwner() == "" || c.isGranted(owned.Span) || c.isReleased(owned.Span) || !c.isOwnedForCertain(owned) {
			continue
		}
		if listedAsHeld(r, owned.Span) || c.holds.mayInclude(c.now, r.Process, owned.Span) {
			continue
		}
		token := ""
		for _, released := range r.Released {
			if released.Covers(owned.Span) {
				token = released.HandoverToken()
			}
		}
		c.released = append(c.released, keyspace.NewReleasedSpan(owned.Span, token))
	}
}

// listedAsHeld reports whether a report lists a key of a span as held.
func listedAsHeld(r heartbeat.Report, span keyspace.Span) bool {
	return slices.ContainsFunc(r.Held, func(h heartbeat.HeldSpan) bool { return overlaps(h.Span, span) })
}

func (c *Controller) isGranted(span keyspace.Span) bool {
	return slices.ContainsFunc(c.granted, func(g grantedRange) bool { return overlaps(g.Span, span) })
}

func (c *Controller) isReleased(span keyspace.Span) bool {
	return slices.ContainsFunc(c.released, func(r keyspace.ReleasedSpan) bool { return r.Covers(span) })
}

// rangesToGrant returns the owned ranges to grant in the answer to a report. Ranges that the
// upstream already holds go first. Those that don't fit into the answer are granted with a
// later one. It leaves out ranges that other holders may get or may have, or that are to be released
// for a move now.
func (c *Controller) rangesToGrant(r heartbeat.Report) []keyspace.Range {
	var granted, unheld []keyspace.Range
	for _, owned := range c.assignment.OwnedBy(c.settings.Instance.Name()) {
		switch {
		case owned.NextOwner() != "" && c.mayRelease(r, owned), c.isHandoverPending(owned):
		case c.reportedAsHeld(r, owned):
			c.recovery.inherit(owned)
			granted = append(granted, owned.WithoutHandoverToken())
		case !c.isOwnedForCertain(owned):
		default:
			unheld = append(unheld, owned)
		}
	}
	granted = keyspace.MergeAdjacent(granted)
	size := rangeBytes * len(granted)
	for _, owned := range unheld {
		if size += rangeBytes + len(owned.HandoverToken()); size > maxAnswerBytes {
			break
		}
		granted = append(granted, owned)
	}
	slices.SortFunc(granted, func(a, b keyspace.Range) int { return int(a.First()) - int(b.First()) })
	return keyspace.MergeAdjacent(granted)
}

// mayRelease reports whether the answer to a report may take a range from the upstream for a move. A
// range that the upstream may hold although the report does not list it is granted once more: a later
// report lists it then, and the one after that its release. Without that it would be unserved until
// the hold has expired.
func (c *Controller) mayRelease(r heartbeat.Report, owned keyspace.Range) bool {
	if !c.storeAnsweredRecently() || !c.holds.settled(c.now) {
		return false
	}
	return listedAsHeld(r, owned.Span) || !c.holds.mayInclude(c.now, r.Process, owned.Span)
}

// storeAnsweredRecently reports whether the last answer of the store is at most
// storeAnswerMaxAge old. A span that is released for a move while the store is down stays
// unserved until it answers again.
func (c *Controller) storeAnsweredRecently() bool {
	return c.now-c.storeAnsweredAt <= storeAnswerMaxAge
}

// reportedAsHeld reports whether the report lists the whole owned range under its epoch.
func (c *Controller) reportedAsHeld(r heartbeat.Report, owned keyspace.Range) bool {
	return slices.ContainsFunc(r.Held, func(h heartbeat.HeldSpan) bool {
		return h.Epoch() == owned.Epoch() && h.Covers(owned.Span)
	})
}

func (c *Controller) recordGrant(now clock.Millis, process keyspace.Process, holdTime clock.Millis, ranges []keyspace.Range) {
	granted := make([]grantedRange, 0, len(ranges))
	for _, r := range ranges {
		activeFrom := now + grantDelay
		for _, old := range c.granted {
			if old.Covers(r.Span) && old.Epoch() == r.Epoch() && now < c.grantedUntil {
				activeFrom = old.activeFrom
			}
		}
		granted = append(granted, grantedRange{Range: r, activeFrom: activeFrom})
	}
	c.granted, c.grantedUntil = granted, now+holdTime
	c.released = slices.DeleteFunc(c.released, func(released keyspace.ReleasedSpan) bool { return c.isGranted(released.Span) })
	c.holdEnd = max(c.holdEnd, now+holdTime+holdTime*upstreamDriftPercent/100+1)
	c.holds.add(now, process, ranges, c.holdEnd)
}
