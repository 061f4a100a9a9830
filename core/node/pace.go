package node

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/placement"
)

const (
	// slowTransactionThreshold is the time in milliseconds of a transaction above which
	// the table counts as slow. A moved unit is unserved for the length of its
	// transaction: at 400 ms for each call to the table, five shards that were
	// moved were unserved for up to 2,267 ms.
	slowTransactionThreshold clock.Millis = 150
	// slowTableHoldoff is the time in milliseconds after a slow transaction in which no
	// moves begin.
	slowTableHoldoff clock.Millis = 10_000
	// latencyValidity is the time in milliseconds after a transaction in which the
	// table's speed counts as known. It is longer than planInterval, so that one
	// move shows whether those of the next plan may begin together.
	latencyValidity clock.Millis = 6000
	// lossHoldoff is the time in milliseconds after the loss of a member in which no
	// moves are planned: its units are being assigned, and the load is not yet
	// that of the new owners.
	lossHoldoff clock.Millis = 10_000
)

// tableLatency is what recent transactions tell of the table's speed. The zero value
// knows nothing.
type tableLatency struct {
	hasTransaction    bool
	lastTransactionAt clock.Millis
	wasSlow           bool
	lastSlowAt        clock.Millis
}

// recordTransaction takes a transaction of the given length that ended at now.
func (p *tableLatency) recordTransaction(now, length clock.Millis) {
	p.hasTransaction, p.lastTransactionAt = true, now
	if length > slowTransactionThreshold {
		p.wasSlow, p.lastSlowAt = true, now
	}
}

// recordScan takes a scan of the given length that ended at now. A fast one says
// nothing of the speed of transactions.
func (p *tableLatency) recordScan(now, length clock.Millis) {
	if length > slowTransactionThreshold {
		p.wasSlow, p.lastSlowAt = true, now
	}
}

// moveLimit returns how many moves that nobody needs may begin now: none while
// the table is slow, one while its speed is not known.
func (n *Node) moveLimit(requested int) int {
	for _, l := range []*commitSlot{&n.ownRowSlot, &n.sharedRowsSlot} {
		if l.inProgress && n.now-l.sentAt > slowTransactionThreshold {
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

// moveBlockReason returns why no owned units should be moved now, "" if they may.
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

// PlacementPlanned describes a plan of the placement of a service; the driver logs it as
// one line and exports its figures.
type PlacementPlanned struct {
	input         placement.Input
	moves         int
	hotKeys       int
	blockedReason string
}

// Input returns what was decided on.
func (a PlacementPlanned) Input() placement.Input { return a.input }

// Moves returns the number of owned units whose move was requested.
func (a PlacementPlanned) Moves() int { return a.moves }

// HotKeys returns the number of hot keys with an entry of their own.
func (a PlacementPlanned) HotKeys() int { return a.hotKeys }

// BlockedReason returns why owned units were not moved: "tableSlow", "recentLoss", or
// "" if they could be.
func (a PlacementPlanned) BlockedReason() string { return a.blockedReason }

func (PlacementPlanned) isAction() {}

func (n *Node) emitPlan(input placement.Input, moves int, heldBack string) {
	hotKeys := 0
	for _, u := range input.Units() {
		if u.Unit().HotKey() != "" && n.owners.Entry(input.Service(), u.Unit()) != (ownership.Entry{}) {
			hotKeys++
		}
	}
	n.emit(PlacementPlanned{input: input, moves: moves, hotKeys: hotKeys, blockedReason: heldBack})
}
