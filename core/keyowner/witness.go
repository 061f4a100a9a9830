package keyowner

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/lease/failover"
	"briarwell.dev/core/lease/witness"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/peer"
)

// LeaseWitness makes the lease promises of this daemon to holders of any service, and
// finds the holders whose leases have lapsed. It is not safe for concurrent use.
type LeaseWitness struct {
	self    identity.Incarnation
	witness *witness.Witness
	monitor failover.Monitor
	// succeededAt is the time at which an incarnation was first known to have a
	// successor at its address, which proves that its process has ended.
	succeededAt map[identity.Incarnation]clock.Millis
	// incarnationAt maps control addresses to the incarnations that last answered
	// there. They are newer than the member rows of daemons that were just started.
	incarnationAt map[string]identity.Incarnation
	// holderSince is the time at which a holder was first seen in an assignment with its witnesses.
	holderSince map[holderKey]clock.Millis
}

// holderKey identifies a holder with its witnesses.
type holderKey struct {
	incarnation       identity.Incarnation
	witnessGeneration uint64
}

func keyOf(holder membership.Member) holderKey {
	return holderKey{incarnation: holder.Incarnation(), witnessGeneration: holder.WitnessGeneration()}
}

// NewLeaseWitness returns the LeaseWitness of the daemon with the incarnation self.
func NewLeaseWitness(self identity.Incarnation) *LeaseWitness {
	return &LeaseWitness{
		self: self, witness: witness.NewWithTiming(LeaseTiming()),
		succeededAt:   make(map[identity.Incarnation]clock.Millis),
		incarnationAt: make(map[string]identity.Incarnation),
		holderSince:   make(map[holderKey]clock.Millis),
	}
}

// HandleRenew answers a holder's renewal request. It refuses requests that were sent to
// another incarnation than this one.
func (l *LeaseWitness) HandleRenew(now clock.Millis, to, holder identity.Incarnation, generation uint64) peer.RenewResult {
	if to != l.self {
		return peer.RenewRefused
	}
	l.witness.ExtendGrantWindow(now)
	return l.witness.Renew(now, holder, generation)
}

// HandleLapseQuery reports to another witness whether the promise to a holder has expired.
// The answer true is binding: the promise is never renewed afterwards. A query that was
// sent to another incarnation gets the answer false.
func (l *LeaseWitness) HandleLapseQuery(now clock.Millis, to, holder identity.Incarnation, generation uint64) bool {
	return to == l.self && l.witness.FenceIfExpired(now, holder, generation)
}

// WatchHolders watches the leases that name this daemon as a witness, in place of those
// watched before. The holders are those of all services.
func (l *LeaseWitness) WatchHolders(now clock.Millis, holders []membership.Member) {
	watched := make(map[identity.Incarnation]bool)
	holderSince := make(map[holderKey]clock.Millis, len(holders))
	for _, member := range holders {
		since, known := l.holderSince[keyOf(member)]
		if !known {
			since = now
		}
		holderSince[keyOf(member)] = since
		for i, w := range member.Witnesses() {
			if w.Incarnation() == l.self {
				l.monitor.Watch(now, member, i)
				watched[member.Incarnation()] = true
			}
		}
	}
	for _, member := range l.monitor.WatchedHolders() {
		if !watched[member.Incarnation()] {
			l.monitor.Unwatch(member.Incarnation())
		}
	}
	l.holderSince = holderSince
}

// RecordSuccessor records that the incarnation successor answered at the control address
// of the incarnation predecessor, whose process has therefore ended.
func (l *LeaseWitness) RecordSuccessor(now clock.Millis, address string, predecessor, successor identity.Incarnation) {
	if _, known := l.succeededAt[predecessor]; !known {
		l.succeededAt[predecessor] = now
	}
	l.incarnationAt[address] = successor
}

// CurrentIncarnation returns the newest known incarnation at a control address. It is the
// incarnation inRow of its member row if none has answered there.
func (l *LeaseWitness) CurrentIncarnation(address string, inRow identity.Incarnation) identity.Incarnation {
	if current, ok := l.incarnationAt[address]; ok {
		return current
	}
	return inRow
}

// RecordLapse records the answer of another witness that its promise to a holder has
// expired.
func (l *LeaseWitness) RecordLapse(from, holder identity.Incarnation, generation uint64) {
	l.monitor.RecordLapse(from, holder, generation)
}

// CheckLeases returns the lapse queries to send, and the holders whose leases have certainly
// lapsed. Peers are the holders of the service of this daemon. They check each other because
// a holder whose witnesses have all ended has no witness left to watch it.
func (l *LeaseWitness) CheckLeases(now clock.Millis, peers []membership.Member) ([]failover.LapseQuery, []membership.Member) {
	queries, expired := l.monitor.CheckLapses(now, l.self, l.witness, func(i identity.Incarnation) bool { return l.promisesExpired(now, i) })
	var lapsed []membership.Member
	for _, member := range expired {
		if l.witness.FenceIfExpired(now, member.Incarnation(), member.WitnessGeneration()) {
			lapsed = append(lapsed, member)
		}
	}
	if len(l.succeededAt) == 0 {
		return queries, lapsed
	}
	for _, member := range peers {
		if member.Incarnation() != l.self && l.lapseCertain(now, member) {
			lapsed = append(lapsed, member)
		}
	}
	return queries, lapsed
}

// lapseCertain reports whether so many witnesses have ended that no majority of promises
// can exist: the lease has certainly lapsed. The grace is for earlier leases on the holder's
// instance, of other daemon processes or with other witnesses, whose grants the upstream may
// still hold.
func (l *LeaseWitness) lapseCertain(now clock.Millis, member membership.Member) bool {
	since, known := l.holderSince[keyOf(member)]
	if !known || now-since < LeaseTiming().FirstRenewalGrace() {
		return false
	}
	ended := 0
	for _, w := range member.Witnesses() {
		if l.promisesExpired(now, w.Incarnation()) {
			ended++
		}
	}
	return ended >= lease.LapseQuorum(len(member.Witnesses()))
}

// promisesExpired reports whether all promises of a witness have certainly expired, as its
// process ended at least the length of a promise ago.
func (l *LeaseWitness) promisesExpired(now clock.Millis, i identity.Incarnation) bool {
	endedAt, ok := l.succeededAt[i]
	return ok && now-endedAt >= LeaseTiming().WitnessPromiseLength()
}
