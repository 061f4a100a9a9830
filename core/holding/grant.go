package holding

import (
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/report"
)

const (
	// answerBytes bounds the answer to a report; an upstream takes 4 KiB.
	answerBytes = 3800
	// rowBytes is the size of a granted row in the answer, without its handover.
	rowBytes = 24
)

// trustTime is the time in milliseconds for which a report tells what an
// upstream holds: the next one comes after 870 ms.
const trustTime clock.Millis = 1000

// answerAge is the age in milliseconds at which an answer of the store says
// nothing any more: a little more than the time between two reports.
const answerAge clock.Millis = 1200

// Grant answers a report.
type Grant struct {
	rows   []keyspace.Range
	hold   clock.Millis
	renews bool
}

// Rows returns all ranges that the upstream is to hold; it gives up the others.
func (g Grant) Rows() []keyspace.Range { return g.rows }

// Hold returns for how long, counted from when the report was sent.
func (g Grant) Hold() clock.Millis { return g.hold }

// Renews tells whether the grant says anything of the upstream's keys.
func (g Grant) Renews() bool { return g.renews }

// Reported takes a report that the tracker accepted, and returns its answer.
func (c *Custodian) Reported(now clock.Millis, r report.Report) Grant {
	c.now = now
	c.noteReleased(r)
	if _, ok := c.self(); !ok {
		c.trust(now, r)
		return Grant{}
	}
	if c.resigned {
		c.granted = nil
		return Grant{}
	}
	hold := (c.LeaseEnd() - now) * 100 / (100 + upstreamDriftPercent)
	hold = min(hold, c.settings.HoldMax)
	if hold < shortestHold {
		c.trust(now, r)
		return Grant{}
	}
	rows := c.rows(r)
	c.record(now, hold, rows)
	return Grant{rows: rows, hold: hold, renews: true}
}

// trust admits what the upstream says that it holds. A daemon that was restarted
// has not granted it, but an upstream refuses by itself what it does not hold.
func (c *Custodian) trust(now clock.Millis, r report.Report) {
	if c.tracker.Leaving() {
		return
	}
	c.granted = c.granted[:0]
	for _, h := range r.Holds {
		c.granted = append(c.granted, grantedRow{Range: keyspace.NewRange(h.Span, h.Epoch())})
	}
	c.grantedUntil = now + trustTime
}

// noteReleased keeps what the upstream has given up of the keys that move. What
// it neither holds nor was told to hold any more counts as given up: the daemon
// that took its word may have been restarted since.
func (c *Custodian) noteReleased(r report.Report) {
	c.released = slices.DeleteFunc(c.released, func(released keyspace.ReleasedSpan) bool {
		return slices.ContainsFunc(r.Holds, func(h report.Held) bool { return overlap(h.Span, released.Span) })
	})
	for _, owned := range c.division.OwnedBy(c.settings.Instance.Name()) {
		if owned.NextOwner() == "" || c.isGranted(owned.Span) || c.isReleased(owned.Span) {
			continue
		}
		if slices.ContainsFunc(r.Holds, func(h report.Held) bool { return overlap(h.Span, owned.Span) }) {
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

func (c *Custodian) isGranted(span keyspace.Span) bool {
	return slices.ContainsFunc(c.granted, func(g grantedRow) bool { return overlap(g.Span, span) })
}

func (c *Custodian) isReleased(span keyspace.Span) bool {
	return slices.ContainsFunc(c.released, func(r keyspace.ReleasedSpan) bool { return r.Covers(span) })
}

// rows returns the ranges to grant. Those that the upstream has already go
// first: what does not fit into the answer is granted with a later one.
func (c *Custodian) rows(r report.Report) []keyspace.Range {
	var held, fresh []keyspace.Range
	for _, owned := range c.division.OwnedBy(c.settings.Instance.Name()) {
		switch {
		case owned.NextOwner() != "" && c.storeAnswers(), c.isHanding(owned.Span):
		case c.holds(r, owned):
			held = append(held, owned.WithoutHandoverToken())
		default:
			fresh = append(fresh, owned)
		}
	}
	held = keyspace.MergeAdjacent(held)
	size := rowBytes * len(held)
	for _, owned := range fresh {
		if size += rowBytes + len(owned.HandoverToken()); size > answerBytes {
			break
		}
		held = append(held, owned)
	}
	slices.SortFunc(held, func(a, b keyspace.Range) int { return int(a.First()) - int(b.First()) })
	return keyspace.MergeAdjacent(held)
}

// storeAnswers tells whether the store has answered lately. A span that is given
// up while it does not stays unserved until it does again.
func (c *Custodian) storeAnswers() bool { return c.now-c.answered <= answerAge }

// holds tells whether the upstream holds the whole range under its epoch.
func (c *Custodian) holds(r report.Report, owned keyspace.Range) bool {
	return slices.ContainsFunc(r.Holds, func(h report.Held) bool {
		return h.Epoch() == owned.Epoch() && h.Covers(owned.Span)
	})
}

func (c *Custodian) record(now, hold clock.Millis, rows []keyspace.Range) {
	granted := make([]grantedRow, 0, len(rows))
	for _, row := range rows {
		from := now + grantDelay
		for _, old := range c.granted {
			if old.Covers(row.Span) && old.Epoch() == row.Epoch() && now < c.grantedUntil {
				from = old.from
			}
		}
		granted = append(granted, grantedRow{Range: row, from: from})
	}
	c.granted, c.grantedUntil = granted, now+hold
	c.released = slices.DeleteFunc(c.released, func(released keyspace.ReleasedSpan) bool { return c.isGranted(released.Span) })
	c.holdEnd = max(c.holdEnd, now+hold+hold*upstreamDriftPercent/100+1)
}
