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

func holderOf(instance string, incarnation identity.Incarnation, generation uint64) keyspace.Holder {
	row := membership.RestoreMember(incarnation, membership.NewInstance(instance, "", "p"+instance, identity.NewLocation("r", "d")), generation,
		[]membership.Witness{membership.NewWitness(99, "w")})
	return keyspace.NewHolder(row, keyspace.NewProcess(instance, 1), 2)
}

// TestCrowd replays 50 holders that enter at once: one write in place of 50.
func TestCrowd(t *testing.T) {
	is := is.New(t)
	entries := make([]keyowner.Proposal, 0, 50)
	for i := range 50 {
		entries = append(entries, keyowner.NewJoinProposal(holderOf(fmt.Sprintf("i%d", i), identity.Incarnation(i+1), 1), 0, 0))
	}
	change, admitted := keyowner.ApplyProposals(keyspace.Assignment{}, 0, entries)
	is.Equal(len(change.Assignment().Holders()), 50)
	for _, ok := range admitted {
		is.True(ok)
	}
}

// TestOldEntries guards against an entry that comes after a newer one of the same
// instance: of a process that has ended since, or with witnesses that were replaced.
func TestOldEntries(t *testing.T) {
	is := is.New(t)
	d := keyspace.Assignment{}.AddHolder(holderOf("i0", 7, 2))
	for _, e := range []keyowner.JoinProposal{
		keyowner.NewJoinProposal(holderOf("i0", 7, 1), 0, 0), // its second set was entered already
		keyowner.NewJoinProposal(holderOf("i0", 6, 1), 5, 1), // the process before
		keyowner.NewJoinProposal(holderOf("i0", 7, 3), 7, 1), // saw an older set
	} {
		_, admitted := keyowner.ApplyProposals(d, 4, []keyowner.Proposal{e})
		is.True(!admitted[0])
	}
	change, admitted := keyowner.ApplyProposals(d, 4, []keyowner.Proposal{keyowner.NewJoinProposal(holderOf("i0", 8, 1), 7, 2)})
	is.True(admitted[0])
	h, _ := change.Assignment().Holder("i0")
	is.Equal(h.Member().Incarnation(), identity.Incarnation(8))
}

// TestTransfers replays holders that all give keys away at once: one write in place of
// one each. That of a process that has ended since is left out.
func TestTransfers(t *testing.T) {
	is := is.New(t)
	d := keyspace.Assignment{}.AddHolder(holderOf("i0", 1, 1)).AddHolder(holderOf("i1", 2, 1)).AddHolder(holderOf("i2", 3, 1)).AssignUnowned()
	moves := func(from, to string) []keyowner.Move {
		return []keyowner.Move{keyowner.NewMove(d.OwnedBy(from)[0].Span, to)}
	}
	change, admitted := keyowner.ApplyProposals(d, 4, []keyowner.Proposal{
		keyowner.NewMoveProposal("i0", 1, moves("i0", "i2")),
		keyowner.NewMoveProposal("i1", 2, moves("i1", "i2")),
		keyowner.NewMoveProposal("i2", 9, moves("i2", "i0")),
	})
	is.Equal(admitted, []bool{true, true, false})
	for owner, next := range map[string]string{"i0": "i2", "i1": "i2", "i2": ""} {
		r, _ := change.Assignment().RangeOf(d.OwnedBy(owner)[0].First())
		is.Equal(r.Owner(), owner)
		is.Equal(r.NextOwner(), next)
	}
}
