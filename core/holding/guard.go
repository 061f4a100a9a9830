package holding

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/lease/failover"
	"briarwell.dev/core/lease/witness"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/peer"
)

// Guard keeps the promises of this daemon to holders of any service, and finds
// the holders that have lost their leases. It is not safe for concurrent use.
type Guard struct {
	self     identity.Incarnation
	witness  *witness.Witness
	replacer failover.Monitor
	// succeeded is when an incarnation was first known to have a successor at its
	// address, which proves that its process has ended.
	succeeded map[identity.Incarnation]clock.Millis
	// current are the incarnations that have answered, by control address. They
	// are newer than the rows of daemons that were just started.
	current map[string]identity.Incarnation
}

// NewGuard returns the guard of an incarnation.
func NewGuard(self identity.Incarnation) *Guard {
	return &Guard{
		self: self, witness: witness.NewWithTiming(Terms()),
		succeeded: make(map[identity.Incarnation]clock.Millis),
		current:   make(map[string]identity.Incarnation),
	}
}

// Renew answers a holder that asks the incarnation to for a promise.
func (g *Guard) Renew(now clock.Millis, to, holder identity.Incarnation, generation uint64) peer.RenewResult {
	if to != g.self {
		return peer.RenewRefused
	}
	g.witness.ExtendGrantWindow(now)
	return g.witness.Renew(now, holder, generation)
}

// Lapsed answers another witness that asks the incarnation to whether a promise
// has expired. The answer true is binding.
func (g *Guard) Lapsed(now clock.Millis, to, holder identity.Incarnation, generation uint64) bool {
	return to == g.self && g.witness.FenceIfExpired(now, holder, generation)
}

// Watch follows the holders among the rows that name this daemon as a witness.
func (g *Guard) Watch(now clock.Millis, holders []membership.Member) {
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

// Answered takes the incarnation that answered at the control address of another,
// whose process has therefore ended.
func (g *Guard) Answered(now clock.Millis, address string, asked, from identity.Incarnation) {
	if _, known := g.succeeded[asked]; !known {
		g.succeeded[asked] = now
	}
	g.current[address] = from
}

// Current returns the newest known incarnation at a control address, or the one
// that its row names.
func (g *Guard) Current(address string, row identity.Incarnation) identity.Incarnation {
	if current, ok := g.current[address]; ok {
		return current
	}
	return row
}

// Reported takes the report of another witness that its promise has expired.
func (g *Guard) Reported(from, holder identity.Incarnation, generation uint64) {
	g.replacer.RecordLapse(from, holder, generation)
}

// Check returns the queries to send, and the holders that have certainly lost
// their leases. Peers are the holders of the own service: nobody watches those
// whose witnesses have ended, so all holders look after each other.
func (g *Guard) Check(now clock.Millis, peers []membership.Member) ([]failover.LapseQuery, []membership.Member) {
	queries, ready := g.replacer.CheckLapses(now, g.self, g.witness, func(i identity.Incarnation) bool { return g.gone(now, i) })
	var lost []membership.Member
	for _, row := range ready {
		if g.witness.FenceIfExpired(now, row.Incarnation(), row.WitnessGeneration()) {
			lost = append(lost, row)
		}
	}
	for _, row := range peers {
		if row.Incarnation() != g.self && g.orphaned(now, row) {
			lost = append(lost, row)
		}
	}
	return queries, lost
}

// orphaned tells whether so many witnesses have ended that no majority of
// promises can exist.
func (g *Guard) orphaned(now clock.Millis, row membership.Member) bool {
	ended := 0
	for _, w := range row.Witnesses() {
		if g.gone(now, w.Incarnation()) {
			ended++
		}
	}
	return ended >= lease.LapseQuorum(len(row.Witnesses()))
}

// gone tells whether all promises of a witness have certainly expired.
func (g *Guard) gone(now clock.Millis, i identity.Incarnation) bool {
	since, ok := g.succeeded[i]
	return ok && now-since >= Terms().WitnessPromiseLength()
}
