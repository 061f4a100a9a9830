// Package replacer decides when a witness may replace a holder whose promises
// have expired, and who takes its shards.
package replacer

import (
	"cmp"
	"slices"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/lease/witness"
	"briarwell.dev/core/membership"
)

const (
	// queryInterval is the time in milliseconds between two queries of a witness
	// that has not reported a lapse.
	queryInterval clock.Millis = 150
	// noRecordGrace is the time in milliseconds that a holder has for its first
	// renewal after its row named the witness. A holder that was lost before it is
	// replaced after that.
	noRecordGrace = 2 * lease.Length
)

// Replacer follows the holders that name this daemon as a witness. The zero
// value follows none.
type Replacer struct {
	cases []*watched
}

type watched struct {
	row       membership.Member
	index     int
	seen      clock.Millis
	lapsed    map[identity.Incarnation]bool
	lastQuery clock.Millis
	queried   bool
}

// Query is a LapseQuery to send.
type Query struct {
	to         membership.Witness
	holder     identity.Incarnation
	generation uint64
}

// To returns the receiver.
func (q Query) To() membership.Witness { return q.to }

// Holder returns the holder.
func (q Query) Holder() identity.Incarnation { return q.holder }

// Generation returns the holder's witness generation.
func (q Query) Generation() uint64 { return q.generation }

func (r *Replacer) find(holder identity.Incarnation) (int, bool) {
	return slices.BinarySearchFunc(r.cases, holder, func(c *watched, i identity.Incarnation) int {
		return cmp.Compare(c.row.Incarnation(), i)
	})
}

// Watch follows a holder whose row names this daemon as the witness with the
// given index, or takes its changed row.
func (r *Replacer) Watch(now clock.Millis, row membership.Member, index int) {
	position, found := r.find(row.Incarnation())
	if !found {
		r.cases = slices.Insert(r.cases, position, &watched{row: row, seen: now})
	}
	c := r.cases[position]
	if c.row.Generation() != row.Generation() || !found {
		c.seen, c.lapsed, c.queried = now, make(map[identity.Incarnation]bool), false
	}
	c.row, c.index = row, index
}

// Unwatch stops following a holder.
func (r *Replacer) Unwatch(holder identity.Incarnation) {
	if position, found := r.find(holder); found {
		r.cases = slices.Delete(r.cases, position, position+1)
	}
}

// Holders returns the rows of the holders that are followed.
func (r *Replacer) Holders() []membership.Member {
	rows := make([]membership.Member, 0, len(r.cases))
	for _, c := range r.cases {
		rows = append(rows, c.row)
	}
	return rows
}

// Reported takes the report of another witness that its promise has expired.
func (r *Replacer) Reported(from, holder identity.Incarnation, generation uint64) {
	position, found := r.find(holder)
	if found && r.cases[position].row.Generation() == generation {
		r.cases[position].lapsed[from] = true
	}
}

// Expired returns the holders whose promise by this daemon has expired at now.
func (r *Replacer) Expired(now clock.Millis, own *witness.Witness) []membership.Member {
	var expired []membership.Member
	for _, c := range r.cases {
		if now >= c.expiry(own) {
			expired = append(expired, c.row)
		}
	}
	return expired
}

func (c *watched) expiry(own *witness.Witness) clock.Millis {
	until, ok := own.Until(c.row.Incarnation(), c.row.Generation())
	if !ok {
		return c.seen + noRecordGrace
	}
	return until
}

// Check returns the queries to send and the holders for which enough witnesses
// have reported that no majority of unexpired promises can exist. Gone tells
// that all promises of a witness have certainly expired. The reports of this
// daemon become binding only with Witness.Report, which the caller must ask
// before it replaces a holder.
func (r *Replacer) Check(now clock.Millis, self identity.Incarnation, own *witness.Witness, gone func(identity.Incarnation) bool) ([]Query, []membership.Member) {
	var queries []Query
	var ready []membership.Member
	for _, c := range r.cases {
		if now < c.expiry(own)+clock.Millis(c.index)*lease.ReplacerStagger {
			continue
		}
		witnesses := c.row.Witnesses()
		var missing []membership.Witness
		for _, w := range witnesses {
			if w.Incarnation() != self && !c.lapsed[w.Incarnation()] && !gone(w.Incarnation()) {
				missing = append(missing, w)
			}
		}
		if len(witnesses)-len(missing) >= lease.LapseQuorum(len(witnesses)) {
			ready = append(ready, c.row)
			continue
		}
		if c.queried && now-c.lastQuery < queryInterval {
			continue
		}
		c.queried, c.lastQuery = true, now
		for _, w := range missing {
			queries = append(queries, Query{to: w, holder: c.row.Incarnation(), generation: c.row.Generation()})
		}
	}
	return queries, ready
}
