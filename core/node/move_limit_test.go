package node_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/node"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/peer"
	"briarwell.dev/core/shard"
)

// TestMovesPausedWhileTableSlow guards against moves that start while the table is slow.
// Their units would be unserved for the duration of a slow transaction. A leaving node
// hands over its units nevertheless.
func TestMovesPausedWhileTableSlow(t *testing.T) {
	is := is.New(t)
	s := startCluster(3)
	stops := 0
	s.trace = func(line string) {
		if strings.Contains(line, "drain=true") {
			stops++
		}
	}
	s.runUntil(20000)
	owner := s.processes[0]
	for _, candidate := range s.processes {
		if len(candidate.units) > len(owner.units) {
			owner = candidate
		}
	}
	target := s.latestProcess((owner.index + 1) % 3).node.Snapshot().Incarnation()
	countStopsUntil := func(until int64) int {
		stops = 0
		var targets []peer.HandoverTarget
		for id := range shard.ID(4) {
			if owner.units[ownership.NewUnit(id, "")] {
				targets = append(targets, peer.NewHandoverTarget(id, "a", target), peer.NewHandoverTarget(id, "b", target))
			}
		}
		is.True(len(targets) >= 2)
		s.inject(owner.index, peer.NewHandover(service, targets))
		s.runUntil(until)
		return stops
	}
	s.extraTableDelay = 400
	is.Equal(countStopsUntil(20400), 0) // the scan before the move is in progress
	is.Equal(countStopsUntil(23000), 0) // the scan was slow
	is.Equal(countStopsUntil(25000), 0)
	is.True(len(owner.units) > 0)
	owner.deliver(node.DrainRequested{})
	s.runUntil(40000)
	is.True(stops > 0 && len(owner.units) == 0)
	is.Equal(s.failure, "")
}

// TestMovesStartAfterScan guards against a move that starts after the table became
// unreachable. Its unit would stay unserved until the table is reachable again.
func TestMovesStartAfterScan(t *testing.T) {
	is := is.New(t)
	s := startCluster(3)
	s.runUntil(20000)
	owner := s.processes[0]
	for _, candidate := range s.processes {
		if len(candidate.units) > len(owner.units) {
			owner = candidate
		}
	}
	target := s.latestProcess((owner.index + 1) % 3).node.Snapshot().Incarnation()
	requestMoves := func() {
		targets := make([]peer.HandoverTarget, 0, len(owner.units))
		for unit := range owner.units {
			targets = append(targets, peer.NewHandoverTarget(unit.Shard(), unit.HotKey(), target))
		}
		s.inject(owner.index, peer.NewHandover(service, targets))
	}
	owned := len(owner.units)
	s.table.outage = true
	requestMoves()
	s.runUntil(26000)
	is.Equal(len(owner.units), owned) // all units are served during the outage
	s.table.outage = false
	s.runUntil(40000)
	requestMoves()
	s.runUntil(42000)
	is.True(len(owner.units) < owned) // moves start after a scan
	is.Equal(s.failure, "")
}
