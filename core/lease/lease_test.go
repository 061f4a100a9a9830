package lease_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"briarwell.dev/core/clock"
	"briarwell.dev/core/identity"
	"briarwell.dev/core/lease"
	"briarwell.dev/core/lease/failover"
	"briarwell.dev/core/lease/holder"
	"briarwell.dev/core/lease/witness"
	"briarwell.dev/core/membership"
	"briarwell.dev/core/peer"
)

// TestQuorumsIntersect guards against a majority of promises and a lapse quorum without
// a common witness.
func TestQuorumsIntersect(t *testing.T) {
	is := is.New(t)
	for n := 1; n <= 7; n++ {
		is.Equal(lease.Majority(n)+lease.LapseQuorum(n), n+1)
	}
}

// TestPromiseOutlastsLease guards against a holder that relies on a promise for longer
// than the witness keeps it, at any delay and clock rate.
func TestPromiseOutlastsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		rate := rapid.Int64Range(9902, 10000).Draw(t, "holder's rate")
		sent, delay := rapid.Int64Range(0, 5000).Draw(t, "sent"), rapid.Int64Range(0, 900).Draw(t, "delay")
		local := func(t int64) clock.Millis { return clock.Millis(t * rate / 10000) }
		var h holder.Holder
		h.InstallWitnesses(1, []membership.Witness{membership.NewWitness(2, "p2")})
		request := h.DueRenewals(local(sent))[0]
		w := witness.New()
		w.ExtendGrantWindow(clock.Millis(sent + delay))
		result := w.Renew(clock.Millis(sent+delay), 1, 1)
		h.HandleReply(local(sent+2*delay), 2, peer.NewRenewReply(1, request.Sequence(), result, 0))
		until, _ := w.PromiseEnd(1, 1)
		is.True(local(int64(until)) >= h.End())
	})
}

// TestWitnessRefusals guards against promises after a reported lapse, after the
// bootstrap window and after Close.
func TestWitnessRefusals(t *testing.T) {
	is := is.New(t)
	w := witness.New()
	is.Equal(w.Renew(0, 1, 1), peer.RenewRefused)
	w.ExtendGrantWindow(0)
	is.Equal(w.Renew(0, 1, 1), peer.RenewGranted)
	is.True(!w.FenceIfExpired(lease.WitnessPromiseLength()-1, 1, 1))
	is.Equal(w.Renew(lease.WitnessPromiseLength(), 1, 1), peer.RenewGranted) // expired, not reported
	is.True(w.FenceIfExpired(2*lease.WitnessPromiseLength(), 1, 1))
	is.Equal(w.Renew(2*lease.WitnessPromiseLength(), 1, 1), peer.RenewFenced)
	is.Equal(w.Renew(2*lease.WitnessPromiseLength(), 1, 2), peer.RenewGranted)
	is.True(w.FenceIfExpired(0, 9, 1)) // no record
	is.Equal(w.Renew(0, 9, 1), peer.RenewFenced)
	is.Equal(w.Renew(lease.BootstrapWindow, 3, 1), peer.RenewRefused)
	w.ExtendGrantWindow(lease.BootstrapWindow)
	w.Close()
	is.Equal(w.Renew(lease.BootstrapWindow, 3, 1), peer.RenewRefused)
}

// TestLeaseEndInDoubt guards against a lease that outlasts the majority of either
// witness set while the change of the set is in doubt.
func TestLeaseEndInDoubt(t *testing.T) {
	is := is.New(t)
	set := func(ids ...identity.Incarnation) []membership.Witness {
		witnesses := make([]membership.Witness, 0, len(ids))
		for _, id := range ids {
			witnesses = append(witnesses, membership.NewWitness(id, "p"))
		}
		return witnesses
	}
	var h holder.Holder
	is.Equal(h.End(), clock.Millis(0))
	h.InstallWitnesses(1, set(2, 3, 4))
	renew := func(now clock.Millis, generation uint64, from ...identity.Incarnation) {
		requests := h.DueRenewals(now)
		for _, id := range from {
			h.HandleReply(now, id, peer.NewRenewReply(generation, requests[0].Sequence(), peer.RenewGranted, 0))
		}
	}
	renew(100, 1, 2)
	is.Equal(h.End(), clock.Millis(0)) // one of three
	renew(400, 1, 3, 9)
	is.Equal(h.End(), 100+lease.HolderPromiseLength()) // 9 is not a witness
	h.ProposeWitnesses(2, set(5, 6, 7))
	h.MarkInDoubt()
	is.Equal(h.End(), clock.Millis(0))
	renew(700, 2, 5, 6)
	is.Equal(h.End(), 100+lease.HolderPromiseLength())
	h.InstallWitnesses(2, set(5, 6, 7))
	is.Equal(h.End(), 700+lease.HolderPromiseLength())
}

// TestMonitorNeedsLapseQuorum guards against a replacement without a lapse quorum, and
// against counting reports of another witness generation.
func TestMonitorNeedsLapseQuorum(t *testing.T) {
	is := is.New(t)
	witnesses := []membership.Witness{membership.NewWitness(2, "p2"), membership.NewWitness(3, "p3"), membership.NewWitness(4, "p4")}
	member := membership.NewMember(1, membership.Instance{}).WithWitnesses(witnesses).WithState(membership.StateActive)
	local := witness.New()
	local.ExtendGrantWindow(0)
	local.Renew(0, 1, 1)
	var m failover.Monitor
	m.Watch(0, member, 1)
	noneExpired := func(identity.Incarnation) bool { return false }
	at := lease.WitnessPromiseLength() + lease.FailoverStagger
	queries, replaceable := m.CheckLapses(at-1, 3, local, noneExpired)
	is.Equal(len(queries)+len(replaceable), 0) // waits for witness 0
	queries, replaceable = m.CheckLapses(at, 3, local, noneExpired)
	is.Equal(len(queries), 2)
	is.Equal(len(replaceable), 0)
	m.RecordLapse(4, 1, 2)
	_, replaceable = m.CheckLapses(at, 3, local, noneExpired)
	is.Equal(len(replaceable), 0) // another generation
	_, replaceable = m.CheckLapses(at, 3, local, func(i identity.Incarnation) bool { return i == 2 })
	is.Equal(len(replaceable), 1)
	m.RecordLapse(4, 1, 1)
	_, replaceable = m.CheckLapses(at, 3, local, noneExpired)
	is.Equal(len(replaceable), 1)
}
