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

// LeaseWitness keeps the promises of this daemon to holders of any service, and finds
// the holders that have lost their leases. It is not safe for concurrent use.
type LeaseWitness struct {
	self     identity.Incarnation
	witness  *witness.Witness
	replacer failover.Monitor
	// succeededAt is when an incarnation was first known to have a successor at its
	// address, which proves that its process has ended.
	succeededAt map[identity.Incarnation]clock.Millis
	// incarnationAt are the incarnations that have answered, by control address. They
	// are newer than the rows of daemons that were just started.
	incarnationAt map[string]identity.Incarnation
}

// NewLeaseWitness returns the guard of an incarnation.
func NewLeaseWitness(self identity.Incarnation) *LeaseWitness {
	return &LeaseWitness{
		self: self, witness: witness.NewWithTiming(LeaseTiming()),
		succeededAt:   make(map[identity.Incarnation]clock.Millis),
		incarnationAt: make(map[string]identity.Incarnation),
	}
}

// HandleRenew answers a holder that asks the incarnation to for a promise.
func (g *LeaseWitness) HandleRenew(now clock.Millis, to, holder identity.Incarnation, generation uint64) peer.RenewResult {
	if to != g.self {
		return peer.RenewRefused
	}
	g.witness.ExtendGrantWindow(now)
	return g.witness.Renew(now, holder, generation)
}

// HandleLapseQuery answers another witness that asks the incarnation to whether a promise
// has expired. The answer true is binding.
func (g *LeaseWitness) HandleLapseQuery(now clock.Millis, to, holder identity.Incarnation, generation uint64) bool {
	return to == g.self && g.witness.FenceIfExpired(now, holder, generation)
}

// WatchHolders follows the holders among the rows that name this daemon as a witness.
func (g *LeaseWitness) WatchHolders(now clock.Millis, holders []membership.Member) {
	named := make(map[identity.Incarnation]bool)
	for _, row := range holders {
		for i, w := range row.Witnesses() {
			if w.Incarnation() == g.self {
				g.replacer.Watch(now, row, i)
				named[row.Incarnation()] = true
			}
		}
	}
	for _, row := range g.replacer.WatchedHolders() {
		if !named[row.Incarnation()] {
			g.replacer.Unwatch(row.Incarnation())
		}
	}
}

// RecordSuccessor takes the incarnation that answered at the control address of another,
// whose process has therefore ended.
func (g *LeaseWitness) RecordSuccessor(now clock.Millis, address string, asked, from identity.Incarnation) {
	if _, known := g.succeededAt[asked]; !known {
		g.succeededAt[asked] = now
	}
	g.incarnationAt[address] = from
}

// CurrentIncarnation returns the newest known incarnation at a control address, or the one
// that its row names.
func (g *LeaseWitness) CurrentIncarnation(address string, row identity.Incarnation) identity.Incarnation {
	if current, ok := g.incarnationAt[address]; ok {
		return current
	}
	return row
}

// RecordLapse takes the report of another witness that its promise has expired.
func (g *LeaseWitness) RecordLapse(from, holder identity.Incarnation, generation uint64) {
	g.replacer.RecordLapse(from, holder, generation)
}

// CheckLeases returns the queries to send, and the holders that have certainly lost
// their leases. Peers are the holders of the own service: nobody watches those
// whose witnesses have ended, so all holders look after each other.
func (g *LeaseWitness) CheckLeases(now clock.Millis, peers []membership.Member) ([]failover.LapseQuery, []membership.Member) {
	queries, ready := g.replacer.CheckLapses(now, g.self, g.witness, func(i identity.Incarnation) bool { return g.promisesExpired(now, i) })
	var lost []membership.Member
	for _, row := range ready {
		if g.witness.FenceIfExpired(now, row.Incarnation(), row.WitnessGeneration()) {
			lost = append(lost, row)
		}
	}
	for _, row := range peers {
		if row.Incarnation() != g.self && g.lapseCertain(now, row) {
			lost = append(lost, row)
		}
	}
	return queries, lost
}

// lapseCertain tells whether so many witnesses have ended that no majority of
// promises can exist.
func (g *LeaseWitness) lapseCertain(now clock.Millis, row membership.Member) bool {
	ended := 0
	for _, w := range row.Witnesses() {
		if g.promisesExpired(now, w.Incarnation()) {
			ended++
		}
	}
	return ended >= lease.LapseQuorum(len(row.Witnesses()))
}

// promisesExpired tells whether all promises of a witness have certainly expired.
func (g *LeaseWitness) promisesExpired(now clock.Millis, i identity.Incarnation) bool {
	since, ok := g.succeededAt[i]
	return ok && now-since >= LeaseTiming().WitnessPromiseLength()
}
