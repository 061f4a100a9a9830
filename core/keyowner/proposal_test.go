package keyowner_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/heartbeat"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyowner"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/peer"
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
	change, applied := keyowner.ApplyProposals(keyspace.Assignment{}, revision(0), joins)
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
		_, applied := keyowner.ApplyProposals(a, revision(4), []keyowner.Proposal{join})
		is.True(!applied[0])
	}
	change, applied := keyowner.ApplyProposals(a, revision(4), []keyowner.Proposal{keyowner.NewJoinProposal(newHolder("i0", 8, 1), 7, 2)})
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
	change, applied := keyowner.ApplyProposals(a, revision(4), []keyowner.Proposal{
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

// TestStaleHandovers guards against a handover that arrives late and gives away a range that
// its owner holds again: after the range came back under a higher epoch, after its next owner
// went, or after the owner's daemon was restarted.
func TestStaleHandovers(t *testing.T) {
	is := is.New(t)
	a := keyspace.Assignment{}.AddHolder(newHolder("i0", 1, 1)).AddHolder(newHolder("i1", 2, 1)).AddHolder(newHolder("i2", 3, 1)).AssignUnowned()
	moving := a.OwnedBy("i0")[0]
	proposal := keyowner.NewHandoverProposal("i0", 1, 0, []keyowner.ReleasedRange{
		keyowner.NewReleasedRange(keyspace.NewReleasedSpan(moving.Span, "token"), moving.Epoch()),
	})
	ownerAfter := func(a keyspace.Assignment) string {
		change, applied := keyowner.ApplyProposals(a, revision(4), []keyowner.Proposal{proposal})
		if !applied[0] {
			return "refused"
		}
		r, _ := change.Assignment().RangeOf(moving.First())
		return r.Owner()
	}
	is.Equal(ownerAfter(a), "refused") // no move
	started := a.StartMove("i0", moving.Span, "i1")
	is.Equal(ownerAfter(started), "i1")
	change, _ := keyowner.ApplyProposals(started, revision(4), []keyowner.Proposal{proposal})
	moved, _ := change.Assignment().RangeOf(moving.First())
	is.Equal(moved.HandoverToken(), "token")
	is.True(moved.Epoch() > moving.Epoch())

	released := []keyspace.ReleasedSpan{keyspace.NewReleasedSpan(moving.Span, "")}
	back := started.CompleteMoves("i0", released).StartMove("i1", moving.Span, "i0").CompleteMoves("i1", released)
	is.Equal(ownerAfter(back.StartMove("i0", moving.Span, "i1")), "refused") // under a higher epoch

	withdrawn := started.RemoveHolder("i1").AddHolder(newHolder("i1", 2, 1))
	is.Equal(ownerAfter(withdrawn), "refused")
	is.Equal(ownerAfter(withdrawn.StartMove("i0", moving.Span, "i1")), "refused") // the owner may hold it again

	restarted := started.AddHolder(newHolder("i0", 9, 1))
	is.Equal(ownerAfter(restarted), "refused") // the new daemon may have granted it
}

// TestProposedHandoverIsNotGranted guards against granting keys whose handover another
// daemon may still write, also after other changes and while the store is down.
func TestProposedHandoverIsNotGranted(t *testing.T) {
	is := is.New(t)
	c, a := newController(t)
	for _, r := range c.DueRenewals(100) {
		c.HandleRenewReply(110, 9, peer.NewRenewReply(r.Generation(), r.Sequence(), peer.RenewGranted, 0))
	}
	moving := a.OwnedBy("i0")[0]
	process := keyspace.NewProcess("i0", 1)
	started := a.StartMove("i0", moving.Span, "i1")
	c.HandleAssignment(120, stamp(6), started)
	c.HandleStoreAnswer(120)
	c.HandleReport(130, heartbeat.Report{Process: process, Sequence: 2}) // no longer holds the moved span
	change, ok := c.NextChange(140)
	is.True(ok)
	_, ok = c.ProposalFor(change)
	is.True(ok)
	granted := func(at clock.Millis, sequence int64) bool {
		grant := c.HandleReport(at, heartbeat.Report{Process: process, Sequence: sequence})
		is.True(grant.Renews())
		return slices.ContainsFunc(grant.Ranges(), func(r keyspace.Range) bool { return r.Covers(moving.Span) })
	}
	is.True(!granted(1500, 3)) // the store has not answered since 120
	c.HandleAssignment(1500, stamp(7), started)
	is.True(!granted(1500, 4)) // another change was written, but the proposal still applies
	c.HandleAssignment(1500, stamp(8), started.RemoveHolder("i1"))
	is.True(granted(1500, 5)) // the move was withdrawn, the proposal no longer applies
}
