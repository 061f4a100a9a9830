package keyowner

import (
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/heartbeat"
	"briarwell.dev/core/keyspace"
)

const (
	// maxAnswerBytes bounds the answer to a report; an upstream takes 4 KiB.
	maxAnswerBytes = 3800
	// rangeBytes is the size of a granted row in the answer, without its handover.
	rangeBytes = 24
)

// reportValidity is the time in milliseconds for which a report tells what an
// upstream holds: the next one comes after 870 ms.
const reportValidity clock.Millis = 1000

// storeAnswerMaxAge is the age in milliseconds at which an answer of the store says
// nothing any more: a little more than the time between two reports.
const storeAnswerMaxAge clock.Millis = 1200

// Grant answers a report.
type Grant struct {
	ranges   []keyspace.Range
	holdTime clock.Millis
	renews   bool
}

// Ranges returns all ranges that the upstream is to hold; it gives up the others.
func (g Grant) Ranges() []keyspace.Range { return g.ranges }

// HoldTime returns for how long, counted from when the report was sent.
func (g Grant) HoldTime() clock.Millis { return g.holdTime }

// Renews tells whether the grant says anything of the upstream's keys.
func (g Grant) Renews() bool { return g.renews }

// HandleReport takes a report that the tracker accepted, and returns its answer.
func (c *Controller) HandleReport(now clock.Millis, r heartbeat.Report) Grant {
	c.now = now
	c.updateReleased(r)
	if _, ok := c.ownHolder(); !ok {
		c.acceptReportedKeys(now, r)
		return Grant{}
	}
	if c.dropPending {
		c.granted = nil
		return Grant{}
	}
	hold := (c.LeaseEnd() - now) * 100 / (100 + upstreamDriftPercent)
	hold = min(hold, c.settings.HoldMax)
	if hold < minHoldTime {
		c.acceptReportedKeys(now, r)
		return Grant{}
	}
	rows := c.rangesToGrant(r)
	c.recordGrant(now, hold, rows)
	return Grant{ranges: rows, holdTime: hold, renews: true}
}

// acceptReportedKeys admits what the upstream says that it holds. A daemon that was restarted
// has not granted it, but an upstream refuses by itself what it does not hold.
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

// updateReleased keeps what the upstream has given up of the keys that move. What
// it neither holds nor was told to hold any more counts as given up: the daemon
// that took its word may have been restarted since.
func (c *Controller) updateReleased(r heartbeat.Report) {
	c.released = slices.DeleteFunc(c.released, func(released keyspace.ReleasedSpan) bool {
		return slices.ContainsFunc(r.Held, func(h heartbeat.HeldSpan) bool { return overlaps(h.Span, released.Span) })
	})
	for _, owned := range c.assignment.OwnedBy(c.settings.Instance.Name()) {
		if owned.NextOwner() == "" || c.isGranted(owned.Span) || c.isReleased(owned.Span) {
			continue
		}
		if slices.ContainsFunc(r.Held, func(h heartbeat.HeldSpan) bool { return overlaps(h.Span, owned.Span) }) {
			continue
		}
		handover := ""
		for _, released := range r.Released {
			if released.Covers(owned.Span) {
				handover = released.HandoverToken()
			}
		}
		c.released = append(c.released, keyspace.NewReleasedSpan(owned.Span, handover))
	}
}

func (c *Controller) isGranted(span keyspace.Span) bool {
	return slices.ContainsFunc(c.granted, func(g grantedRange) bool { return overlaps(g.Span, span) })
}

func (c *Controller) isReleased(span keyspace.Span) bool {
	return slices.ContainsFunc(c.released, func(r keyspace.ReleasedSpan) bool { return r.Covers(span) })
}

// rangesToGrant returns the ranges to grant. Those that the upstream has already go
// first: what does not fit into the answer is granted with a later one.
func (c *Controller) rangesToGrant(r heartbeat.Report) []keyspace.Range {
	var held, fresh []keyspace.Range
	for _, owned := range c.assignment.OwnedBy(c.settings.Instance.Name()) {
		switch {
		case owned.NextOwner() != "" && c.storeAnsweredRecently(), c.isHandoverPending(owned.Span):
		case c.reportedAsHeld(r, owned):
			held = append(held, owned.WithoutHandoverToken())
		default:
			fresh = append(fresh, owned)
		}
	}
	held = keyspace.MergeAdjacent(held)
	size := rangeBytes * len(held)
	for _, owned := range fresh {
		if size += rangeBytes + len(owned.HandoverToken()); size > maxAnswerBytes {
			break
		}
		held = append(held, owned)
	}
	slices.SortFunc(held, func(a, b keyspace.Range) int { return int(a.First()) - int(b.First()) })
	return keyspace.MergeAdjacent(held)
}

// storeAnsweredRecently tells whether the store has answered lately. A span that is given
// up while it does not stays unserved until it does again.
func (c *Controller) storeAnsweredRecently() bool {
	return c.now-c.storeAnsweredAt <= storeAnswerMaxAge
}

// reportedAsHeld tells whether the upstream holds the whole range under its epoch.
func (c *Controller) reportedAsHeld(r heartbeat.Report, owned keyspace.Range) bool {
	return slices.ContainsFunc(r.Held, func(h heartbeat.HeldSpan) bool {
		return h.Epoch() == owned.Epoch() && h.Covers(owned.Span)
	})
}

func (c *Controller) recordGrant(now, hold clock.Millis, rows []keyspace.Range) {
	granted := make([]grantedRange, 0, len(rows))
	for _, row := range rows {
		from := now + grantDelay
		for _, old := range c.granted {
			if old.Covers(row.Span) && old.Epoch() == row.Epoch() && now < c.grantedUntil {
				from = old.activeFrom
			}
		}
		granted = append(granted, grantedRange{Range: row, activeFrom: from})
	}
	c.granted, c.grantedUntil = granted, now+hold
	c.released = slices.DeleteFunc(c.released, func(released keyspace.ReleasedSpan) bool { return c.isGranted(released.Span) })
	c.holdEnd = max(c.holdEnd, now+hold+hold*upstreamDriftPercent/100+1)
}
