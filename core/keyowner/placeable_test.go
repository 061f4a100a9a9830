package keyowner_test

import (
	"testing"

	"github.com/matryer/is"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/heartbeat"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/keyowner"
	"briarwell.dev/core/keyspace"
	"briarwell.dev/core/membership"
)

// handoverWithin is the time in milliseconds after which the upstreams of an evacuated failure
// domain hold no keys, from when their daemons learn of it.
const handoverWithin = 5000

// TestUnplaceableHandsOver guards against keys that stay with upstreams that may not own any or
// that nobody holds afterwards, against handovers without tokens, and against holders that don't
// join again once they may own keys.
func TestUnplaceableHandsOver(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		s := newSim(seed+300, 6)
		s.run(warmupMillis)
		s.setParityPlaceable(0, false)
		if seed%2 > 0 { // The daemons are restarted before their keys have moved.
			s.run(s.now + 700)
			for _, h := range s.hosts {
				h.daemon.alive = false
				h.startDaemon()
			}
		}
		s.run(s.now + handoverWithin + 600)
		for _, h := range s.hosts {
			is.Equal(len(h.upstream.held) > 0, h.index%2 > 0)
			_, ok := s.store.assignment.Holder(h.instance.Name())
			is.Equal(ok, h.index%2 > 0)
		}
		withToken := 0
		for _, r := range s.store.assignment.Ranges() {
			if r.HandoverToken() != "" {
				withToken++
			}
		}
		is.True(withToken > 0)
		s.served, s.checks = 0, 0
		s.run(s.now + 1000)
		is.Equal(s.served, s.checks)
		s.setParityPlaceable(0, true)
		s.run(s.now + 10_000)
		s.served, s.checks = 0, 0
		s.run(s.now + 1000)
		is.Equal(s.served, s.checks)
		for _, h := range s.hosts {
			is.True(len(h.upstream.held) > 0)
		}
		is.Equal(s.failure, "")
	}
}

// TestUnplaceableWithoutOthers guards against keys that are given up although no holder can take
// them, against writes without end meanwhile, and against keys that stay with an upstream that
// may not own them once another one can take them.
func TestUnplaceableWithoutOthers(t *testing.T) {
	is := is.New(t)
	s := newSim(41, 4)
	s.run(warmupMillis)
	s.setParityPlaceable(0, false)
	s.run(s.now + 1500) // The keys are on their way to holders that leave too.
	s.setParityPlaceable(1, false)
	s.run(s.now + 10_000)
	owned := 0
	for _, h := range s.hosts {
		owned += len(s.store.assignment.OwnedBy(h.instance.Name()))
	}
	is.Equal(owned, len(s.store.assignment.Ranges()))
	before := s.store.number
	s.run(s.now + 5000)
	is.True(s.store.number-before <= 2)
	s.served, s.checks = 0, 0
	s.run(s.now + 1000)
	is.Equal(s.served, s.checks)
	for _, h := range s.hosts[:2] {
		h.setPlaceable(true)
	}
	s.run(s.now + 10_000)
	for _, h := range s.hosts {
		is.Equal(len(h.upstream.held) > 0, h.index < 2)
	}
	s.served, s.checks = 0, 0
	s.run(s.now + 1000)
	is.Equal(s.served, s.checks)
	is.Equal(s.failure, "")
}

// TestMostHoldersUnplaceable guards against keys that stay with upstreams that may not own them
// since the few others would get more ranges than fit into a grant.
func TestMostHoldersUnplaceable(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		s := newSim(seed+700, 6)
		s.run(warmupMillis)
		for _, h := range s.hosts[:4] {
			h.setPlaceable(false)
		}
		s.run(s.now + 12_000)
		for _, h := range s.hosts {
			is.Equal(len(s.store.assignment.OwnedBy(h.instance.Name())) > 0, h.index >= 4)
			is.Equal(len(h.upstream.held) > 0, h.index >= 4)
			is.True(len(h.upstream.held) <= keyspace.MaxRangesPerHolder)
		}
		s.served, s.checks = 0, 0
		s.run(s.now + 1000)
		is.Equal(s.served, s.checks)
		for _, h := range s.hosts[:4] {
			h.setPlaceable(true)
		}
		s.run(s.now + 12_000)
		s.served, s.checks = 0, 0
		s.run(s.now + 1000)
		is.Equal(s.served, s.checks)
		is.Equal(s.failure, "")
	}
}

// TestPlaceableAgain guards against a holder that goes on leaving although it may own keys again,
// also if it was marked or is removed by a late proposal.
func TestPlaceableAgain(t *testing.T) {
	is := is.New(t)
	c, a := newController(t)
	c.SetPlaceable(false)
	leave, ok := c.NextChange(100)
	is.True(ok)
	is.Equal(leave.Reason(), "leave")
	proposal, ok := c.ProposalFor(leave)
	is.True(ok)
	c.HandleCommit(110, stamp(6), leave)
	c.SetPlaceable(true)
	stay, ok := c.NextChange(120)
	is.True(ok)
	is.Equal(stay.Reason(), "stay")
	c.HandleCommit(130, stamp(7), stay)
	late, applied := keyowner.ApplyProposals(stay.Assignment(), revision(7), []keyowner.Proposal{proposal})
	is.Equal(applied, []bool{true})
	c.HandleAssignment(140, stamp(8), late.Assignment())
	again, ok := c.NextChange(150)
	is.True(ok)
	is.Equal(again.Reason(), "stay")
	// The holder owns no keys any more and is removed.
	moved := late.Assignment().CompleteMoves("i0", releasedSpans(late.Assignment()))
	removal, applied := keyowner.ApplyProposals(moved, revision(9), []keyowner.Proposal{proposal})
	is.Equal(applied, []bool{true})
	_, known := removal.Assignment().Holder("i0")
	is.True(!known)
	_, applied = keyowner.ApplyProposals(removal.Assignment(), revision(10), []keyowner.Proposal{proposal})
	is.Equal(applied, []bool{false})
	c.HandleAssignment(160, stamp(10), removal.Assignment())
	c.SetMembers(witnessMembers())
	join, ok := c.NextChange(200 + 1500)
	is.True(!ok || join.Reason() == "join")
	join, ok = c.NextChange(200 + 3500)
	is.True(ok)
	is.Equal(join.Reason(), "join")
	_, known = a.Holder("i0")
	is.True(known)
}

// TestUnplaceableDoesNotJoin guards against an upstream that joins although it may not own keys.
func TestUnplaceableDoesNotJoin(t *testing.T) {
	is := is.New(t)
	tracker := heartbeat.NewTracker("s", "a0")
	instance := membership.NewInstance("i0", "", "pi0", identity.NewLocation("r", "d"))
	c := keyowner.New(0, keyowner.Settings{Instance: instance, Incarnation: 1, HoldMax: 10_000}, tracker)
	c.SetPlaceable(false)
	c.SetMembers(witnessMembers())
	tracker.Observe(50, heartbeat.Report{Process: keyspace.NewProcess("i0", 1), Service: "s", Address: "a0", Slots: 2, Sequence: 1})
	c.HandleAssignment(60, stamp(0), keyspace.Assignment{})
	for now := clock.Millis(100); now < 4000; now += 50 {
		_, due := c.NextChange(now)
		is.True(!due)
	}
	c.SetPlaceable(true)
	_, _ = c.NextChange(4000)
	join, due := c.NextChange(5500)
	is.True(due)
	is.Equal(join.Reason(), "join")
}

func witnessMembers() []membership.Member {
	instance := membership.NewInstance("w", "", "pw", identity.NewLocation("r", "d2"))
	return []membership.Member{membership.RestoreMember(9, instance, 0, nil)}
}

// releasedSpans returns the spans of all ranges that are to move.
func releasedSpans(a keyspace.Assignment) []keyspace.ReleasedSpan {
	var released []keyspace.ReleasedSpan
	for _, r := range a.Ranges() {
		if r.NextOwner() != "" {
			released = append(released, keyspace.NewReleasedSpan(r.Span, "t"))
		}
	}
	return released
}
