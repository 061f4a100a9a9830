// Package failover decides when a witness may replace a holder whose promises have
// expired, and which members take over its shards.
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

// lapseQueryInterval is the time in milliseconds between two queries to a witness
// that has not reported a lapse.
const lapseQueryInterval clock.Millis = 150

// Monitor watches the holders that name this daemon as a witness. The zero value
// watches none.
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

// LapseQuery is a LapseQuery message to send to a witness.
type LapseQuery struct {
	witness    membership.Witness
	holder     identity.Incarnation
	generation uint64
}

// Witness returns the witness to which the query is sent.
func (q LapseQuery) Witness() membership.Witness { return q.witness }

// Holder returns the holder whose promise is queried.
func (q LapseQuery) Holder() identity.Incarnation { return q.holder }

// Generation returns the holder's witness generation.
func (q LapseQuery) Generation() uint64 { return q.generation }

func (m *Monitor) find(holder identity.Incarnation) (int, bool) {
	return slices.BinarySearchFunc(m.watched, holder, func(h *watchedHolder, i identity.Incarnation) int {
		return cmp.Compare(h.member.Incarnation(), i)
	})
}

// Watch starts to watch a holder whose row names this daemon as the witness with the
// given index, or updates the holder's row.
func (m *Monitor) Watch(now clock.Millis, holder membership.Member, witnessIndex int) {
	i, found := m.find(holder.Incarnation())
	if !found {
		m.watched = slices.Insert(m.watched, i, &watchedHolder{member: holder, watchedSince: now})
	}
	h := m.watched[i]
	if h.member.WitnessGeneration() != holder.WitnessGeneration() || !found {
		h.watchedSince, h.lapsedWitnesses, h.queried = now, make(map[identity.Incarnation]bool), false
	}
	h.member, h.witnessIndex = holder, witnessIndex
}

// Unwatch stops watching a holder.
func (m *Monitor) Unwatch(holder identity.Incarnation) {
	if i, found := m.find(holder); found {
		m.watched = slices.Delete(m.watched, i, i+1)
	}
}

// WatchedHolders returns the rows of the watched holders by ascending incarnation.
func (m *Monitor) WatchedHolders() []membership.Member {
	holders := make([]membership.Member, 0, len(m.watched))
	for _, h := range m.watched {
		holders = append(holders, h.member)
	}
	return holders
}

// RecordLapse records the report of another witness that its promise has expired. A
// report for another witness generation is ignored.
func (m *Monitor) RecordLapse(from, holder identity.Incarnation, generation uint64) {
	i, found := m.find(holder)
	if found && m.watched[i].member.WitnessGeneration() == generation {
		m.watched[i].lapsedWitnesses[from] = true
	}
}

// ExpiredHolders returns the holders for which the promise by local, the witness of this
// daemon, has expired at now.
func (m *Monitor) ExpiredHolders(now clock.Millis, local *witness.Witness) []membership.Member {
	var expired []membership.Member
	for _, h := range m.watched {
		if now >= h.promiseEnd(local) {
			expired = append(expired, h.member)
		}
	}
	return expired
}

func (h *watchedHolder) promiseEnd(local *witness.Witness) clock.Millis {
	until, ok := local.PromiseEnd(h.member.Incarnation(), h.member.WitnessGeneration())
	if !ok {
		return h.watchedSince + local.Timing().FirstRenewalGrace()
	}
	return until
}

// CheckLapses returns the queries to send, and the holders for which so many witnesses
// have reported a lapse that no majority of unexpired promises can exist.
//
// allPromisesExpired reports whether all promises of a witness have certainly expired. The
// expiry of the promise by local, the witness of this daemon, becomes binding only with
// FenceIfExpired: the caller must call it and find it true before it replaces a holder.
func (m *Monitor) CheckLapses(now clock.Millis, self identity.Incarnation, local *witness.Witness, allPromisesExpired func(identity.Incarnation) bool) ([]LapseQuery, []membership.Member) {
	var queries []LapseQuery
	var replaceable []membership.Member
	for _, h := range m.watched {
		if now < h.promiseEnd(local)+clock.Millis(h.witnessIndex)*lease.FailoverStagger {
			continue
		}
		witnesses := h.member.Witnesses()
		var unreported []membership.Witness
		for _, w := range witnesses {
			if w.Incarnation() != self && !h.lapsedWitnesses[w.Incarnation()] && !allPromisesExpired(w.Incarnation()) {
				unreported = append(unreported, w)
			}
		}
		if len(witnesses)-len(unreported) >= lease.LapseQuorum(len(witnesses)) {
			replaceable = append(replaceable, h.member)
			continue
		}
		if h.queried && now-h.lastQuery < lapseQueryInterval {
			continue
		}
		h.queried, h.lastQuery = true, now
		for _, w := range unreported {
			queries = append(queries, LapseQuery{witness: w, holder: h.member.Incarnation(), generation: h.member.WitnessGeneration()})
		}
	}
	return queries, replaceable
}
