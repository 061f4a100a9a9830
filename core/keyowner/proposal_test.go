package keyowner_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyowner"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/membership"
)

func newHolder(instance string, incarnation identity.Incarnation, generation uint64) keyspace.Holder {
	member := membership.RestoreMember(incarnation, membership.NewInstance(instance, "", "p"+instance, identity.NewLocation("r", "d")), generation,
		[]membership.Witness{membership.NewWitness(99, "w")})
	return keyspace.NewHolder(member, keyspace.NewProcess(instance, 1), 2)
}

// TestManyJoinsInOneChange guards against a join that needs its own write: 50 holders that
// join at once take one write instead of 50.
func TestManyJoinsInOneChange(t *testing.T) {
	is := is.New(t)
	joins := make([]keyowner.Proposal, 0, 50)
	for i := range 50 {
		joins = append(joins, keyowner.NewJoinProposal(newHolder(fmt.Sprintf("i%d", i), identity.Incarnation(i+1), 1), 0, 0))
	}
	change, applied := keyowner.ApplyProposals(keyspace.Assignment{}, 0, joins)
	is.Equal(len(change.Assignment().Holders()), 50)
	for _, ok := range applied {
		is.True(ok)
	}
}

// TestStaleJoins guards against a join that arrives after a newer one of the same instance:
// of a process that has ended since, or with witnesses that were replaced since.
func TestStaleJoins(t *testing.T) {
	is := is.New(t)
	a := keyspace.Assignment{}.AddHolder(newHolder("i0", 7, 2))
	for _, join := range []keyowner.JoinProposal{
		keyowner.NewJoinProposal(newHolder("i0", 7, 1), 0, 0), // its second witness set is already written
		keyowner.NewJoinProposal(newHolder("i0", 6, 1), 5, 1), // the previous process
		keyowner.NewJoinProposal(newHolder("i0", 7, 3), 7, 1), // saw an older witness set
	} {
		_, applied := keyowner.ApplyProposals(a, 4, []keyowner.Proposal{join})
		is.True(!applied[0])
	}
	change, applied := keyowner.ApplyProposals(a, 4, []keyowner.Proposal{keyowner.NewJoinProposal(newHolder("i0", 8, 1), 7, 2)})
	is.True(applied[0])
	h, _ := change.Assignment().Holder("i0")
	is.Equal(h.Member().Incarnation(), identity.Incarnation(8))
}

// TestManyMovesInOneChange guards against moves that need their own write when many holders
// move keys at once. The moves of a process that has ended since are left out.
func TestManyMovesInOneChange(t *testing.T) {
	is := is.New(t)
	a := keyspace.Assignment{}.AddHolder(newHolder("i0", 1, 1)).AddHolder(newHolder("i1", 2, 1)).AddHolder(newHolder("i2", 3, 1)).AssignUnowned()
	moves := func(from, to string) []keyowner.Move {
		return []keyowner.Move{keyowner.NewMove(a.OwnedBy(from)[0].Span, to)}
	}
	change, applied := keyowner.ApplyProposals(a, 4, []keyowner.Proposal{
		keyowner.NewMoveProposal("i0", 1, moves("i0", "i2")),
		keyowner.NewMoveProposal("i1", 2, moves("i1", "i2")),
		keyowner.NewMoveProposal("i2", 9, moves("i2", "i0")),
	})
	is.Equal(applied, []bool{true, true, false})
	for owner, next := range map[string]string{"i0": "i2", "i1": "i2", "i2": ""} {
		r, _ := change.Assignment().RangeOf(a.OwnedBy(owner)[0].First())
		is.Equal(r.Owner(), owner)
		is.Equal(r.NextOwner(), next)
	}
}
