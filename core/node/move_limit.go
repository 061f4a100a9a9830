package node

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/placement"
)

const (
	// slowTransactionThreshold is the duration in milliseconds of a transaction above
	// which the table counts as slow. A unit is unserved while the transaction of its
	// move runs: with 400 ms for each call to the table, five moved shards were
	// unserved for up to 2,267 ms.
	slowTransactionThreshold clock.Millis = 150
	// slowTableHoldoff is the time in milliseconds after a slow transaction or scan
	// during which no moves start.
	slowTableHoldoff clock.Millis = 10_000
	// latencyValidity is the time in milliseconds after a transaction during which the
	// table's latency counts as known. It is longer than planInterval, so that one
	// move determines whether those of the next plan may start together.
	latencyValidity clock.Millis = 6000
	// lossHoldoff is the time in milliseconds after the loss of a member during which
	// no moves are planned. Its units are being assigned, and the load reports do not
	// yet include their load at the new owners.
	lossHoldoff clock.Millis = 10_000
)

// tableLatency tracks whether recent transactions and scans of the table were slow. The
// zero value has no measurements.
type tableLatency struct {
	hasTransaction    bool
	lastTransactionAt clock.Millis
	wasSlow           bool
	lastSlowAt        clock.Millis
}

// recordTransaction records a transaction that took duration and ended at now.
func (l *tableLatency) recordTransaction(now, duration clock.Millis) {
	l.hasTransaction, l.lastTransactionAt = true, now
	if duration > slowTransactionThreshold {
		l.wasSlow, l.lastSlowAt = true, now
	}
}

// recordScan records a scan that took duration and ended at now. A fast scan does not show
// that transactions are fast.
func (l *tableLatency) recordScan(now, duration clock.Millis) {
	if duration > slowTransactionThreshold {
		l.wasSlow, l.lastSlowAt = true, now
	}
}

// moveLimit returns how many of the requested moves may start now: none while the table
// is slow, and one while its latency is unknown. It applies to moves that only balance
// the load.
func (n *Node) moveLimit(requested int) int {
	for _, slot := range []*commitSlot{&n.ownRowSlot, &n.sharedRowsSlot} {
		if slot.inProgress && n.now-slot.sentAt > slowTransactionThreshold {
			return 0
		}
	}
	switch {
	case n.tableLatency.wasSlow && n.now-n.tableLatency.lastSlowAt < slowTableHoldoff:
		return 0
	case !n.tableLatency.hasTransaction || n.now-n.tableLatency.lastTransactionAt >= latencyValidity:
		return min(requested, 1)
	default:
		return requested
	}
}

// moveBlockReason returns why no owned units should be moved now, or "" if they may be.
func (n *Node) moveBlockReason() string {
	if n.moveLimit(1) == 0 {
		return "tableSlow"
	}
	for _, since := range n.losses.deadSince {
		if n.now-since < lossHoldoff {
			return "recentLoss"
		}
	}
	return ""
}

// PlacementPlanned describes a placement plan of a service. The driver logs it as one
// line and exports its figures as metrics.
type PlacementPlanned struct {
	input         placement.Input
	moves         int
	hotKeys       int
	blockedReason string
}

// Input returns the input of the placement policy.
func (a PlacementPlanned) Input() placement.Input { return a.input }

// Moves returns the number of owned units whose move was requested.
func (a PlacementPlanned) Moves() int { return a.moves }

// HotKeys returns the number of hot keys that have their own entry.
func (a PlacementPlanned) HotKeys() int { return a.hotKeys }

// BlockedReason returns why owned units were not allowed to move: "tableSlow",
// "recentLoss", or "" if they were.
func (a PlacementPlanned) BlockedReason() string { return a.blockedReason }

func (PlacementPlanned) isAction() {}

// emitPlan emits the PlacementPlanned action for a plan.
func (n *Node) emitPlan(input placement.Input, moves int, blockedReason string) {
	hotKeys := 0
	for _, u := range input.Units() {
		if u.Unit().HotKey() != "" && n.owners.Entry(input.Service(), u.Unit()) != (ownership.Entry{}) {
			hotKeys++
		}
	}
	n.emit(PlacementPlanned{input: input, moves: moves, hotKeys: hotKeys, blockedReason: blockedReason})
}
