// Package replacer decides when a witness may replace a holder whose promises
// have expired, and who takes its shards.
package failover

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
	// lapseQueryInterval is the time in milliseconds between two queries of a witness
	// that has not reported a lapse.
	lapseQueryInterval clock.Millis = 150
	// firstRenewalGrace is the time in milliseconds that a holder has for its first
	// renewal after its row named the witness. A holder that was lost before it is
	// replaced after that.
	firstRenewalGrace = 2 * lease.PromiseLength
)

// Monitor follows the holders that name this daemon as a witness. The zero
// value follows none.
type Monitor struct {
	watched []*watchedHolder
}

type watchedHolder struct {
	member          membership.Member
	witnessIndex    int
	watchedSince    clock.Millis
	lapsedWitnesses map[identity.Incarnation]bool
	lastQuery       clock.Millis
	queried         bool
}

// LapseQuery is a LapseQuery to send.
type LapseQuery struct {
	witness    membership.Witness
	holder     identity.Incarnation
	generation uint64
}

// Witness returns the receiver.
func (q LapseQuery) Witness() membership.Witness { return q.witness }

// Holder returns the holder.
func (q LapseQuery) Holder() identity.Incarnation { return q.holder }

// Generation returns the holder's witness generation.
func (q LapseQuery) Generation() uint64 { return q.generation }

func (r *Monitor) find(holder identity.Incarnation) (int, bool) {
	return slices.BinarySearchFunc(r.watched, holder, func(c *watchedHolder, i identity.Incarnation) int {
		return cmp.Compare(c.member.Incarnation(), i)
	})
}

// Watch follows a holder whose row names this daemon as the witness with the
// given index, or takes its changed row.
func (r *Monitor) Watch(now clock.Millis, row membership.Member, index int) {
	position, found := r.find(row.Incarnation())
	if !found {
		r.watched = slices.Insert(r.watched, position, &watchedHolder{member: row, watchedSince: now})
	}
	c := r.watched[position]
	if c.member.WitnessGeneration() != row.WitnessGeneration() || !found {
		c.watchedSince, c.lapsedWitnesses, c.queried = now, make(map[identity.Incarnation]bool), false
	}
	c.member, c.witnessIndex = row, index
}

// Unwatch stops following a holder.
func (r *Monitor) Unwatch(holder identity.Incarnation) {
	if position, found := r.find(holder); found {
		r.watched = slices.Delete(r.watched, position, position+1)
	}
}

// WatchedHolders returns the rows of the holders that are followed.
func (r *Monitor) WatchedHolders() []membership.Member {
	rows := make([]membership.Member, 0, len(r.watched))
	for _, c := range r.watched {
		rows = append(rows, c.member)
	}
	return rows
}

// RecordLapse takes the report of another witness that its promise has expired.
func (r *Monitor) RecordLapse(from, holder identity.Incarnation, generation uint64) {
	position, found := r.find(holder)
	if found && r.watched[position].member.WitnessGeneration() == generation {
		r.watched[position].lapsedWitnesses[from] = true
	}
}

// ExpiredHolders returns the holders whose promise by this daemon has expired at now.
func (r *Monitor) ExpiredHolders(now clock.Millis, own *witness.Witness) []membership.Member {
	var expired []membership.Member
	for _, c := range r.watched {
		if now >= c.promiseEnd(own) {
			expired = append(expired, c.member)
		}
	}
	return expired
}

func (c *watchedHolder) promiseEnd(own *witness.Witness) clock.Millis {
	until, ok := own.PromiseEnd(c.member.Incarnation(), c.member.WitnessGeneration())
	if !ok {
		return c.watchedSince + firstRenewalGrace
	}
	return until
}

// CheckLapses returns the queries to send and the holders for which enough witnesses
// have reported that no majority of unexpired promises can exist. Gone tells
// that all promises of a witness have certainly expired. The reports of this
// daemon become binding only with Witness.Report, which the caller must ask
// before it replaces a holder.
func (r *Monitor) CheckLapses(now clock.Millis, self identity.Incarnation, own *witness.Witness, gone func(identity.Incarnation) bool) ([]LapseQuery, []membership.Member) {
	var queries []LapseQuery
	var ready []membership.Member
	for _, c := range r.watched {
		if now < c.promiseEnd(own)+clock.Millis(c.witnessIndex)*lease.FailoverStagger {
			continue
		}
		witnesses := c.member.Witnesses()
		var missing []membership.Witness
		for _, w := range witnesses {
			if w.Incarnation() != self && !c.lapsedWitnesses[w.Incarnation()] && !gone(w.Incarnation()) {
				missing = append(missing, w)
			}
		}
		if len(witnesses)-len(missing) >= lease.LapseQuorum(len(witnesses)) {
			ready = append(ready, c.member)
			continue
		}
		if c.queried && now-c.lastQuery < lapseQueryInterval {
			continue
		}
		c.queried, c.lastQuery = true, now
		for _, w := range missing {
			queries = append(queries, LapseQuery{witness: w, holder: c.member.Incarnation(), generation: c.member.WitnessGeneration()})
		}
	}
	return queries, ready
}
