// Package rendezvous implements a placement policy that uses rendezvous hashing and
// ignores the load. It is the baseline for the comparison of policies.
package rendezvous

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/ownership"
	"briarwell.dev/core/placement"
)

// maxMoves is the maximum number of owned units that one plan moves. A moved unit is
// unavailable during its handover, so that the limit keeps most units available.
const maxMoves = 16

// Policy is the rendezvous hashing policy. The zero value is ready to use.
type Policy struct{}

// Plan assigns each unowned unit to the candidate with the highest hash for it. It
// moves at most maxMoves owned units to the candidate with the highest hash.
func (Policy) Plan(input placement.Input) []placement.Move {
	if len(input.Candidates()) == 0 {
		return nil
	}
	var moves []placement.Move
	moved := 0
	for _, unit := range input.Units() {
		target := selectOwner(input.Candidates(), unit.Unit())
		switch {
		case unit.Owner() == target:
		case unit.Owner() == 0:
			moves = append(moves, placement.NewMove(unit.Unit(), 0, target))
		case input.MayMove() && moved < maxMoves:
			moved++
			moves = append(moves, placement.NewMove(unit.Unit(), unit.Owner(), target))
		}
	}
	return moves
}

// selectOwner returns the candidate with the highest hash for the unit.
func selectOwner(candidates []placement.Candidate, unit ownership.Unit) identity.Incarnation {
	var selected identity.Incarnation
	var highest uint64
	for _, c := range candidates {
		if h := hash(c.Incarnation(), unit); selected == 0 || h > highest {
			selected, highest = c.Incarnation(), h
		}
	}
	return selected
}

func hash(incarnation identity.Incarnation, unit ownership.Unit) uint64 {
	buffer := make([]byte, 0, 16+len(unit.HotKey()))
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(incarnation))
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(unit.Shard()))
	buffer = append(buffer, unit.HotKey()...)
	return xxhash.Sum64(buffer)
}
