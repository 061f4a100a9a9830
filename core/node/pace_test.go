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

// TestMovesWaitForTable guards against moves that begin while the table is slow,
// whose units are unserved for the length of a slow transaction. Leaving does not
// wait.
func TestMovesWaitForTable(t *testing.T) {
	is := is.New(t)
	s := cluster(3)
	stops := 0
	s.trace = func(line string) {
		if strings.Contains(line, "drain=true") {
			stops++
		}
	}
	s.run(20000)
	p := s.procs[0]
	for _, q := range s.procs {
		if len(q.units) > len(p.units) {
			p = q
		}
	}
	other := s.current((p.index + 1) % 3).node.Snapshot().Incarnation()
	move := func(until int64) int {
		stops = 0
		var targets []peer.HandoverTarget
		for id := range shard.ID(4) {
			if p.units[ownership.NewUnit(id, "")] {
				targets = append(targets, peer.NewHandoverTarget(id, "a", other), peer.NewHandoverTarget(id, "b", other))
			}
		}
		is.True(len(targets) >= 2)
		s.inject(p.index, peer.NewHandover(service, targets))
		s.run(until)
		return stops
	}
	s.slow = 400
	is.Equal(move(20400), 0) // the scan before the move is under way
	is.Equal(move(23000), 0) // it was slow
	is.Equal(move(25000), 0)
	is.True(len(p.units) > 0)
	p.deliver(node.DrainRequested{})
	s.run(40000)
	is.True(stops > 0 && len(p.units) == 0)
	is.Equal(s.failure, "")
}

// TestMovesWaitForScan guards against a move that begins after the table became
// unreachable: its unit stays unserved until the table is back.
func TestMovesWaitForScan(t *testing.T) {
	is := is.New(t)
	s := cluster(3)
	s.run(20000)
	p := s.procs[0]
	for _, q := range s.procs {
		if len(q.units) > len(p.units) {
			p = q
		}
	}
	other := s.current((p.index + 1) % 3).node.Snapshot().Incarnation()
	request := func() {
		targets := make([]peer.HandoverTarget, 0, len(p.units))
		for unit := range p.units {
			targets = append(targets, peer.NewHandoverTarget(unit.Shard(), unit.HotKey(), other))
		}
		s.inject(p.index, peer.NewHandover(service, targets))
	}
	owned := len(p.units)
	s.table.outage = true
	request()
	s.run(26000)
	is.Equal(len(p.units), owned) // served through the outage
	s.table.outage = false
	s.run(40000)
	request()
	s.run(42000)
	is.True(len(p.units) < owned) // a move begins after a scan
	is.Equal(s.failure, "")
}
