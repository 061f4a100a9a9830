package node

import (
	"briarwell.dev/core/clock"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/placement"
)

const (
	// slowTransaction is the time in milliseconds of a transaction above which
	// the table counts as slow. A moved unit is unserved for the length of its
	// transaction: at 400 ms for each call to the table, five shards that were
	// moved were unserved for up to 2,267 ms.
	slowTransaction clock.Millis = 150
	// slowMemory is the time in milliseconds after a slow transaction in which no
	// moves begin.
	slowMemory clock.Millis = 10_000
	// fastMemory is the time in milliseconds after a transaction in which the
	// table's speed counts as known. It is longer than planInterval, so that one
	// move shows whether those of the next plan may begin together.
	fastMemory clock.Millis = 6000
	// lossQuiet is the time in milliseconds after the loss of a member in which no
	// moves are planned: its units are being assigned, and the load is not yet
	// that of the new owners.
	lossQuiet clock.Millis = 10_000
)

// pace is what recent transactions tell of the table's speed. The zero value
// knows nothing.
type pace struct {
	known  bool
	lastAt clock.Millis
	slow   bool
	slowAt clock.Millis
}

// ended takes a transaction of the given length that ended at now.
func (p *pace) ended(now, length clock.Millis) {
	p.known, p.lastAt = true, now
	if length > slowTransaction {
		p.slow, p.slowAt = true, now
	}
}

// read takes a scan of the given length that ended at now. A fast one says
// nothing of the speed of transactions.
func (p *pace) read(now, length clock.Millis) {
	if length > slowTransaction {
		p.slow, p.slowAt = true, now
	}
}

// moveLimit returns how many moves that nobody needs may begin now: none while
// the table is slow, one while its speed is not known.
func (n *Node) moveLimit(requested int) int {
	for _, l := range []*lane{&n.selfLane, &n.sharedLane} {
		if l.busy && n.now-l.sentAt > slowTransaction {
			return 0
		}
	}
	switch {
	case n.pace.slow && n.now-n.pace.slowAt < slowMemory:
		return 0
	case !n.pace.known || n.now-n.pace.lastAt >= fastMemory:
		return min(requested, 1)
	default:
		return requested
	}
}

// heldBack returns why no owned units should be moved now, "" if they may.
func (n *Node) heldBack() string {
	if n.moveLimit(1) == 0 {
		return "tableSlow"
	}
	for _, since := range n.losses.deadSince {
		if n.now-since < lossQuiet {
			return "recentLoss"
		}
	}
	return ""
}

// Planned describes a plan of the placement of a service; the driver logs it as
// one line and exports its figures.
type Planned struct {
	input    placement.Input
	moves    int
	hotKeys  int
	heldBack string
}

// Input returns what was decided on.
func (a Planned) Input() placement.Input { return a.input }

// Moves returns the number of owned units whose move was requested.
func (a Planned) Moves() int { return a.moves }

// HotKeys returns the number of hot keys with an entry of their own.
func (a Planned) HotKeys() int { return a.hotKeys }

// HeldBack returns why owned units were not moved: "tableSlow", "recentLoss", or
// "" if they could be.
func (a Planned) HeldBack() string { return a.heldBack }

func (Planned) isAction() {}

func (n *Node) planned(input placement.Input, moves int, heldBack string) {
	hotKeys := 0
	for _, u := range input.Units() {
		if u.Unit().HotKey() != "" && n.owners.Entry(input.Service(), u.Unit()) != (ownership.Entry{}) {
			hotKeys++
		}
	}
	n.emit(Planned{input: input, moves: moves, hotKeys: hotKeys, heldBack: heldBack})
}
